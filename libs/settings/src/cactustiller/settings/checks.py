"""Validation of a whole settings tree."""

from result import Err, Ok, Result

from .names import Level, ResolvedValues, get_levels
from .parsing import SettingsError, validate
from .tree import (
    DEFAULT_FILE,
    SettingsTree,
    find_nodes,
    format_location,
    iterate_nodes,
    read_tree,
)

TEAM_LIMIT_BY_TASK_LIMIT = {
    "max_task_cpu_millis": "limit_cpu_millis",
    "max_task_memory_mib": "limit_memory_mib",
}


def check_tree(tree: SettingsTree, file: str = DEFAULT_FILE) -> list[SettingsError]:
    """Return every problem of the tree; an empty list if it is valid."""
    # Edits copy records without validation, so the structure is validated here.
    structure = validate(SettingsTree, tree.model_dump(mode="json"), file)
    errors = list(structure.err() or ())
    for names, node in iterate_nodes(tree):
        errors += _check_level(tree, names, node, file)
    return errors + list(_check_keys(tree, file))


def parse_tree(text: str, file: str) -> Result[SettingsTree, list[SettingsError]]:
    """Return the tree in `text`, JSON with comments, or every problem in it.

    Values are checked only if the structure is valid.
    """
    return read_tree(text, file).and_then(lambda tree: validate_tree(tree, file))


def validate_tree(
    tree, file: str = DEFAULT_FILE
) -> Result[SettingsTree, list[SettingsError]]:
    """Return ``Ok(tree)`` if it is valid, else ``Err`` with every problem."""
    errors = check_tree(tree, file)
    return Err(errors) if errors else Ok(tree)


def _check_level(tree, names, node, file):
    location = ".".join(filter(None, (format_location(names), "values")))
    errors = list(validate(ResolvedValues, node.values, file, location).err() or ())
    level = Level(len(names))
    for name in node.values:
        if name not in ResolvedValues.model_fields:
            continue
        levels = get_levels(name)
        if level not in levels:
            allowed = ", ".join(item.name.lower() for item in sorted(levels))
            reason = f"may not be set at level {level.name.lower()}, only at: {allowed}"
            errors.append(
                SettingsError(file=file, path=f"{location}.{name}", reason=reason)
            )
    if not errors and level >= Level.TEAM:
        errors += _check_task_limits(tree, names, node, file, location)
    return errors


def _check_task_limits(tree, names, node, file, location):
    nodes = find_nodes(tree, names)
    for task_limit, team_limit in TEAM_LIMIT_BY_TASK_LIMIT.items():
        found = [item.values[team_limit] for item in nodes if team_limit in item.values]
        maximum = found[-1] if found else 0
        if not isinstance(maximum, int) or not 0 < maximum < node.values.get(
            task_limit, 0
        ):
            continue
        reason = (
            f"{node.values[task_limit]} exceeds the team's {team_limit} of {maximum}"
        )
        yield SettingsError(file=file, path=f"{location}.{task_limit}", reason=reason)


def _check_keys(tree, file):
    teams = {names[-1] for names, _ in iterate_nodes(tree) if len(names) == Level.TEAM}
    for key_id, key in tree.keys.items():
        if key.withdrawn_at:
            continue
        if key.team is None and not key.operator:
            reason = "missing; only an operator's key may have no team"
        elif key.team is not None and key.team not in teams:
            reason = f"no team {key.team!r} in any cell"
        else:
            continue
        yield SettingsError(file=file, path=f"keys.{key_id}.team", reason=reason)
