"""Edits of the tree; each checks the whole new tree."""

import json

from result import Ok, Result

from .checks import accept
from .keys import KeyRecord
from .parsing import SettingsError
from .tree import (
    QueueSettings,
    SettingsTree,
    StoredKey,
    TeamSettings,
    find_nodes,
    put_child,
    refuse,
    replace_node,
    split_path,
)

Edited = Result[SettingsTree, list[SettingsError]]


def set_value(tree: SettingsTree, path: str, name: str, value) -> Edited:
    """Return a tree with the value set at `path`; None removes it there."""
    names = split_path(path)
    nodes = find_nodes(tree, names)
    if nodes is None:
        return refuse(path, "no such path")
    values = {key: held for key, held in nodes[-1].values.items() if key != name}
    if value is not None:
        try:
            values[name] = json.loads(json.dumps(value))
        except (TypeError, ValueError):
            return refuse(f"{path}.{name}", "no JSON value")
    return accept(replace_node(tree, names, nodes[-1].with_changes(values=values)))


def add_team(tree: SettingsTree, site: str, cell: str, team: str) -> Edited:
    """Return a tree with a new team."""
    return put_child(tree, (site, cell, team), TeamSettings()).and_then(accept)


def add_queue(
    tree: SettingsTree, site: str, cell: str, team: str, queue: str
) -> Edited:
    """Return a tree with a new queue of an existing team."""
    return put_child(tree, (site, cell, team, queue), QueueSettings()).and_then(accept)


def add_key(tree: SettingsTree, key: KeyRecord) -> Edited:
    """Return a tree with a new key; an id is never used twice."""
    if key.key_id in tree.keys:
        return refuse(f"keys.{key.key_id}", "already exists")
    stored = StoredKey(**key.model_dump(exclude={"key_id"}))
    return accept(tree.with_changes(keys={**tree.keys, key.key_id: stored}))


def withdraw_key(tree: SettingsTree, key_id: str, now: float) -> Edited:
    """Return a tree in which the key is withdrawn since `now` (Unix seconds)."""
    key = tree.keys.get(key_id)
    if key is None:
        return refuse(f"keys.{key_id}", "no such key")
    if key.withdrawn_at:
        return Ok(tree)
    if not now > 0:
        return refuse(f"keys.{key_id}", "the time of withdrawal must be above 0")
    withdrawn = key.with_changes(withdrawn_at=float(now))
    return accept(tree.with_changes(keys={**tree.keys, key_id: withdrawn}))
