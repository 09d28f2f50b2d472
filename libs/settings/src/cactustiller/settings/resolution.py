"""Effective values at a path of the settings tree, and the origin of each."""

import json
import weakref

from cactustiller.model import Record

from .names import Level, ResolvedValues
from .tree import SettingsTree, Value, find_nodes, iterate_nodes, split_path

DEFAULT_ORIGIN = "(default)"

# Records are not hashable, so the key is the tree's id. A finalizer removes the
# tree's entry before Python can reuse the id.
_resolved_by_tree_id: dict[int, dict[tuple, ResolvedValues]] = {}


class ValueOrigin(Record):
    """Effective value and the path at which it is set; ``""`` is the system level."""

    name: str
    value: Value
    origin: str


def resolve(
    tree: SettingsTree,
    site: str,
    cell: str,
    team: str | None = None,
    queue: str | None = None,
) -> ResolvedValues:
    """Return the effective values at a path, cached for the tree's lifetime.

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
    """Return all effective values at `path` with origins; KeyError if no such path."""
    names = split_path(path)
    values = _resolve_uncached(tree, names).model_dump(mode="json")
    origins = {}
    for depth, node in enumerate(find_nodes(tree, names)):
        origins |= dict.fromkeys(node.values, "/".join(names[:depth]))
    return [
        ValueOrigin(name=name, value=value, origin=origins.get(name, DEFAULT_ORIGIN))
        for name, value in values.items()
    ]


def find_largest(tree: SettingsTree, name: str):
    """Return the largest value of a number over all levels and its default."""
    values = [ResolvedValues.model_fields[name].default]
    values += [
        node.values[name] for _, node in iterate_nodes(tree) if name in node.values
    ]
    return max(values)


def _resolve_uncached(tree, names):
    nodes = find_nodes(tree, names)
    if nodes is None or len(names) > Level.QUEUE:
        raise KeyError("/".join(names))
    values = {}
    for node in nodes:
        values |= node.values
    return ResolvedValues.model_validate_json(json.dumps(values))
