"""Differences between two settings trees."""

from cactustiller.model import Record

from .names import Level
from .tree import SettingsTree, Value, iterate_nodes

SHOWN_DIGITS = 8


class Change(Record):
    """One difference between two trees; a side is None where it is absent.

    For a value, `path` is that of its level and `name` is the value's name. For a
    level that was added or removed, `name` is the kind of level, such as
    ``"team"``, and the side that has it is ``"present"``. For a key, `path` is
    ``key:<id>`` and `name` is ``"state"`` (``"valid"`` or ``"withdrawn"``),
    ``"secret"`` (the first digits of salt and digest) or a field of the key.
    """

    path: str
    name: str
    old: Value | None
    new: Value | None


def diff_trees(old: SettingsTree, new: SettingsTree) -> list[Change]:
    """Return the changes from `old` to `new`, sorted by path and name."""
    before, after = _flatten(old), _flatten(new)
    return [
        Change(path=path, name=name, old=before.get(entry), new=after.get(entry))
        for entry in sorted(before.keys() | after.keys())
        if _differs(before.get(entry), after.get(entry))
        for path, name in [entry]
    ]


def _differs(old, new):
    # Python treats True and 1 as equal; in the tree they are different values.
    return old != new or isinstance(old, bool) != isinstance(new, bool)


def _flatten(tree):
    entries = {}
    for names, node in iterate_nodes(tree):
        path = "/".join(names)
        if names:
            entries[path, Level(len(names)).name.lower()] = "present"
        entries |= {(path, name): value for name, value in node.values.items()}
    for key_id, key in tree.keys.items():
        path = f"key:{key_id}"
        entries[path, "state"] = "withdrawn" if key.withdrawn_at else "valid"
        fields = key.model_dump(exclude={"salt", "digest"})
        fields["secret"] = f"{key.salt[:SHOWN_DIGITS]}:{key.digest[:SHOWN_DIGITS]}"
        entries |= {(path, name): value for name, value in fields.items()}
    return entries
