"""Edits of the settings tree; each returns a validated copy or its problems."""

import json

from result import Ok, Result

from .checks import validate_tree
from .keys import KeyRecord
from .parsing import SettingsError
from .resolution import resolve
from .tree import (
    QueueSettings,
    SettingsTree,
    StoredKey,
    TeamSettings,
    add_child,
    find_nodes,
    make_edit_error,
    replace_node,
    split_path,
)

Edited = Result[SettingsTree, list[SettingsError]]


def set_value(tree: SettingsTree, path: str, name: str, value) -> Edited:
    """Return a tree with a value set at `path`; None removes the value there."""
    names = split_path(path)
    nodes = find_nodes(tree, names)
    if nodes is None:
        return make_edit_error(path, "no such path")
    values = {
        key: old_value for key, old_value in nodes[-1].values.items() if key != name
    }
    if value is not None:
        try:
            values[name] = json.loads(json.dumps(value))
        except (TypeError, ValueError):
            return make_edit_error(f"{path}.{name}", "not a JSON value")
    return validate_tree(
        replace_node(tree, names, nodes[-1].with_changes(values=values))
    )


def set_zone_evacuated(
    tree: SettingsTree, path: str, zone: str, is_evacuated: bool
) -> Edited:
    """Return a tree in which the cell at `path` evacuates `zone`, or does not.

    The cell keeps the zones that it inherits. Returns `tree` itself if the zone is in
    the wanted state already.
    """
    nodes = find_nodes(tree, split_path(path))
    if nodes is None:
        return make_edit_error(path, "no such path")
    name = "evacuated_zones"
    zones = resolve(tree, *split_path(path)).evacuated_zones
    if (zone in zones) is is_evacuated:
        return Ok(tree)
    changed = [*zones, zone] if is_evacuated else [z for z in zones if z != zone]
    inherited = [node.values[name] for node in nodes[:-1] if name in node.values]
    is_inherited = changed == (inherited[-1] if inherited else [])
    return set_value(tree, path, name, None if is_inherited else changed)


def add_team(tree: SettingsTree, site: str, cell: str, team: str) -> Edited:
    """Return a tree with a new team."""
    return add_child(tree, (site, cell, team), TeamSettings()).and_then(validate_tree)


def add_queue(
    tree: SettingsTree, site: str, cell: str, team: str, queue: str
) -> Edited:
    """Return a tree with a new queue of an existing team."""
    return add_child(tree, (site, cell, team, queue), QueueSettings()).and_then(
        validate_tree
    )


def add_key(tree: SettingsTree, key: KeyRecord) -> Edited:
    """Return a tree with a new key; refuses an id in use, even by a withdrawn key."""
    if key.key_id in tree.keys:
        return make_edit_error(f"keys.{key.key_id}", "already exists")
    stored = StoredKey(**key.model_dump(exclude={"key_id"}))
    return validate_tree(tree.with_changes(keys={**tree.keys, key.key_id: stored}))


def withdraw_key(tree: SettingsTree, key_id: str, now: float) -> Edited:
    """Return a tree with the key withdrawn at `now`, in Unix seconds."""
    key = tree.keys.get(key_id)
    if key is None:
        return make_edit_error(f"keys.{key_id}", "no such key")
    if key.withdrawn_at:
        return Ok(tree)
    if not now > 0:
        return make_edit_error(
            f"keys.{key_id}", "the time of withdrawal must be positive"
        )
    withdrawn = key.with_changes(withdrawn_at=float(now))
    return validate_tree(tree.with_changes(keys={**tree.keys, key_id: withdrawn}))
