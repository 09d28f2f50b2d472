"""Small differences between two texts of a tree: JSON merge patches (RFC 7386)."""

import json


def make_patch(old_text, new_text):
    """Return the merge patch between two texts of trees, as compact JSON."""
    patch = _compare(json.loads(old_text), json.loads(new_text))
    return json.dumps(patch, separators=(",", ":"))


def apply_patch(old_text, patch_text):
    """Return the JSON text that a merge patch makes of `old_text`."""
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
    # True equals 1 in Python, but not in the tree.
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
