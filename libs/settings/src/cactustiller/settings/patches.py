"""JSON merge patches (RFC 7386) between two serialized settings trees."""

import json


def make_patch(old_text, new_text):
    """Return the merge patch from `old_text` to `new_text`, as compact JSON."""
    patch = _compare(json.loads(old_text), json.loads(new_text))
    return json.dumps(patch, separators=(",", ":"))


def apply_patch(old_text, patch_text):
    """Return `old_text` with a merge patch applied, as JSON text."""
    return json.dumps(_merge(json.loads(old_text), json.loads(patch_text)))


def _compare(old, new):
    patch = {name: None for name in old if name not in new}
    for name, value in new.items():
        current = old.get(name)
        if isinstance(value, dict) and isinstance(current, dict):
            inner = _compare(current, value)
            if inner:
                patch[name] = inner
        elif name not in old or _differs(current, value):
            patch[name] = value
    return patch


def _differs(current, value):
    # Python treats True and 1 as equal; in the tree they are different values.
    return current != value or type(current) is not type(value)


def _merge(target, patch):
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = _merge(merged.get(name), value)
    return merged
