"""Differences between two trees."""

from cactustiller.model import Record

from .names import Level
from .tree import Scalar, SettingsTree, iterate_nodes

SHOWN_DIGITS = 8


class Change(Record):
    """One difference; None stands for absent.

    For a level added or removed, `name` is the level (``"team"``) and the present
    side is ``"present"``. For a key, `path` is ``key:<id>`` and `name` ``"state"``
    (``"valid"`` or ``"withdrawn"``) or a field of the key;
    ``"secret"`` holds the first digits of salt and digest.
    """

    path: str
    name: str
    old: Scalar | None
    new: Scalar | None


def diff_trees(old: SettingsTree, new: SettingsTree) -> list[Change]:
    """Return what changed from `old` to `new`, sorted by path and name."""
    before, after = _flatten(old), _flatten(new)
    return [
        Change(path=path, name=name, old=before.get(entry), new=after.get(entry))
        for entry in sorted(before.keys() | after.keys())
        if _differs(before.get(entry), after.get(entry))
        for path, name in [entry]
    ]


def _differs(old, new):
    # True equals 1 in Python, but not in the tree.
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
