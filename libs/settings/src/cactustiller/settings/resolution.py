"""Values in force at a path, and where each comes from."""

import json
import weakref

from cactustiller.model import Record

from .names import Level, ResolvedValues
from .tree import Scalar, SettingsTree, find_nodes, split_path

DEFAULT_ORIGIN = "(default)"

# Records are not hashable, so the cache goes by identity; the finalizer drops a
# tree's entry before its id can be used again.
_resolved_by_tree_id: dict[int, dict[tuple, ResolvedValues]] = {}


class ValueOrigin(Record):
    """Value and the path that sets it; ``""`` is the system's path."""

    name: str
    value: Scalar
    origin: str


def resolve(
    tree: SettingsTree,
    site: str,
    cell: str,
    team: str | None = None,
    queue: str | None = None,
) -> ResolvedValues:
    """Return the values in force, kept for as long as the tree lives.

    Raises
    ------
    KeyError
        If the tree has no such path; see `has_path`.
    """
    if queue is not None and team is None:
        raise KeyError(queue)
    names = tuple(name for name in (site, cell, team, queue) if name is not None)
    cache = _resolved_by_tree_id.get(id(tree))
    if cache is None:
        cache = _resolved_by_tree_id[id(tree)] = {}
        weakref.finalize(tree, _resolved_by_tree_id.pop, id(tree), None)
    if names not in cache:
        cache[names] = _resolve_uncached(tree, names)
    return cache[names]


def show_origin(tree: SettingsTree, path: str) -> list[ValueOrigin]:
    """Return every value at `path` with its origin; KeyError if there is no path."""
    names = split_path(path)
    values = _resolve_uncached(tree, names).model_dump(mode="json")
    origins = {}
    for depth, node in enumerate(find_nodes(tree, names)):
        origins |= dict.fromkeys(node.values, "/".join(names[:depth]))
    return [
        ValueOrigin(name=name, value=value, origin=origins.get(name, DEFAULT_ORIGIN))
        for name, value in values.items()
    ]


def _resolve_uncached(tree, names):
    nodes = find_nodes(tree, names)
    if nodes is None or len(names) > Level.QUEUE:
        raise KeyError("/".join(names))
    values = {}
    for node in nodes:
        values |= node.values
    return ResolvedValues.model_validate_json(json.dumps(values))
