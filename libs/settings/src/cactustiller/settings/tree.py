"""Records of the settings tree, and functions that traverse and copy it."""

import json
from typing import Annotated, Any

from pydantic import Field
from result import Err, Ok, Result

from cactustiller.model.jobs import NAME_PATTERN

from .parsing import SettingsError, StrictRecord, parse_json, validate

DEFAULT_FILE = "settings"
CHILDREN = ("sites", "cells", "teams", "queues")
SALT_PATTERN = r"^[0-9a-f]{32}$"
DIGEST_PATTERN = r"^[0-9a-f]{128}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Value = str | int | float | bool | list[str]


class StoredKey(StrictRecord):
    """API key in the settings tree; `withdrawn_at` is 0 while the key is valid."""

    team: Name | None = None
    name: Name
    operator: bool = False
    salt: str = Field(pattern=SALT_PATTERN, repr=False)
    digest: str = Field(pattern=DIGEST_PATTERN, repr=False)
    created_at: float = Field(ge=0)
    withdrawn_at: float = Field(default=0.0, ge=0)


class QueueSettings(StrictRecord):
    """Values set for a queue."""

    values: dict[str, Any] = Field(default_factory=dict)


class TeamSettings(StrictRecord):
    """Values set for a team, and its queues."""

    values: dict[str, Any] = Field(default_factory=dict)
    queues: dict[Name, QueueSettings] = Field(default_factory=dict)


class CellSettings(StrictRecord):
    """Values set for a cell, and its teams."""

    values: dict[str, Any] = Field(default_factory=dict)
    teams: dict[Name, TeamSettings] = Field(default_factory=dict)


class SiteSettings(StrictRecord):
    """Values set for a site, and its cells."""

    values: dict[str, Any] = Field(default_factory=dict)
    cells: dict[Name, CellSettings] = Field(default_factory=dict)


class SettingsTree(StrictRecord):
    """Root of the tree: values for the whole system, the sites and all keys."""

    values: dict[str, Any] = Field(default_factory=dict)
    sites: dict[Name, SiteSettings] = Field(default_factory=dict)
    keys: dict[Name, StoredKey] = Field(default_factory=dict)


def split_path(path: str) -> tuple[str, ...]:
    """Return the names in `path`; the path of the system level is empty."""
    return tuple(path.split("/")) if path else ()


def find_nodes(tree: SettingsTree, names) -> list | None:
    """Return the nodes from the root down to `names`, or None if one is absent."""
    nodes: list[Any] = [tree]
    if len(names) > len(CHILDREN):
        return None
    for children, name in zip(CHILDREN, names, strict=False):
        node = getattr(nodes[-1], children).get(name)
        if node is None:
            return None
        nodes.append(node)
    return nodes


def has_path(tree: SettingsTree, path: str) -> bool:
    """Return whether the tree has a level at `path`."""
    return find_nodes(tree, split_path(path)) is not None


def iterate_nodes(tree: SettingsTree):
    """Yield ``(names, node)`` for every level, parents first."""
    pending = [((), tree)]
    while pending:
        names, node = pending.pop(0)
        yield names, node
        if len(names) < len(CHILDREN):
            children = getattr(node, CHILDREN[len(names)])
            pending += [((*names, name), child) for name, child in children.items()]


def format_location(names) -> str:
    """Return the dotted path of a level within the file."""
    pairs = zip(CHILDREN, names, strict=False)
    return ".".join(part for pair in pairs for part in pair)


def replace_node(tree, names, node):
    """Return a tree with `node` at `names`; the parent must exist."""
    if not names:
        return node
    children = CHILDREN[len(names) - 1]
    parent = find_nodes(tree, names[:-1])[-1]
    changed = {**getattr(parent, children), names[-1]: node}
    return replace_node(tree, names[:-1], parent.with_changes(**{children: changed}))


def read_tree(text: str, file: str) -> Result[SettingsTree, list[SettingsError]]:
    """Return the tree in `text`; validates the structure but not the values."""
    return parse_json(text, file).and_then(
        lambda data: validate(SettingsTree, data, file)
    )


def dump_tree(tree: SettingsTree) -> str:
    """Return the tree as JSON text; equal trees have equal texts."""
    return json.dumps(tree.model_dump(mode="json"), sort_keys=True, indent=1)


def default_tree(site: str, cell: str) -> SettingsTree:
    """Return a tree with one cell and no values set."""
    return SettingsTree(sites={site: SiteSettings(cells={cell: CellSettings()})})


def make_edit_error(path: str, reason: str) -> Err[list[SettingsError]]:
    """Return an ``Err`` with one problem of an edit."""
    return Err([SettingsError(file=DEFAULT_FILE, path=path, reason=reason)])


def add_child(tree, names, node) -> Result[SettingsTree, list[SettingsError]]:
    """Return a tree with `node` added at `names`, or an edit error."""
    path = "/".join(names)
    if find_nodes(tree, names[:-1]) is None:
        return make_edit_error("/".join(names[:-1]), "no such path")
    if find_nodes(tree, names) is not None:
        return make_edit_error(path, "already exists")
    return Ok(replace_node(tree, names, node))
