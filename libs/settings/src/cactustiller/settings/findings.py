"""Checks of a settings tree before it is submitted.

Errors are what a gateway rejects. Warnings are entries without effect and values that
contradict each other; a gateway accepts these.
"""

import json
from enum import StrEnum
from itertools import groupby, product
from operator import itemgetter
from typing import NamedTuple

from result import Err, Result

from cactustiller.model import Record

from .checks import TEAM_LIMIT_BY_TASK_LIMIT, parse_tree
from .names import Level, Spread
from .parsing import SettingsError, parse_json, read_text, validate
from .positions import find_positions
from .resolution import DEFAULT_ORIGIN, show_origin
from .tree import SettingsTree, format_location, iterate_nodes, split_path

KEYS_REASON = "keys are changed at /v1/keys, not with the tree"

# Gateways resolve these for the caller's team, or for the cell if an operator calls;
# a request names no queue.
REQUEST_VALUES = frozenset(
    {
        "request_timeout_ms",
        "request_retry_percent",
        "max_request_bytes",
        "max_queued_requests",
    }
)
# The product resolves these for the cell alone.
CELL_VALUES = frozenset({"evacuated_zones"})
# Spreading over a domain and colocation within it exclude each other; a rack is within
# one zone.
COLOCATIONS_BY_SPREAD = {
    Spread.RACK: (Spread.RACK,),
    Spread.ZONE: (Spread.RACK, Spread.ZONE),
}
TEAM_LIMITS = (
    "limit_cpu_millis",
    "limit_memory_mib",
    "limit_accelerators",
    "limit_tasks",
)


class Severity(StrEnum):
    """Whether a finding prevents the submission."""

    ERROR = "error"
    WARNING = "warning"


class Finding(Record):
    """One finding in a file, with the dotted path of the entry and its line."""

    severity: Severity
    file: str
    line: int
    path: str
    reason: str

    def __str__(self):
        place = f"{self.path}: " if self.path else ""
        return f"{self.file}:{self.line}: {self.severity}: {place}{self.reason}"


class CheckedFile(NamedTuple):
    """Findings in a file by line; `tree` is None if there are errors."""

    tree: SettingsTree | None
    findings: list[Finding]


def validate_submission(
    data, keys, file: str, prefix: str = ""
) -> Result[SettingsTree, list[SettingsError]]:
    """Return the tree to put in force, or every error that rejects `data`.

    `keys` are those in force, in JSON form; a submission has none of its own. `prefix`
    precedes the path of submitted keys in an error.
    """
    if not isinstance(data, dict):
        return validate(SettingsTree, data, file)
    if data.get("keys"):
        path = f"{prefix}keys"
        return Err([SettingsError(file=file, path=path, reason=KEYS_REASON)])
    return parse_tree(json.dumps({**data, "keys": keys}), file)


def check_file(path) -> Result[CheckedFile, list[SettingsError]]:
    """Return all findings in a file; ``Err`` if it cannot be read or parsed."""
    file = str(path)
    return read_text(path).and_then(
        lambda text: parse_json(text, file).map(
            lambda data: _check_data(data, text, file)
        )
    )


def _check_data(data, text, file):
    positions = find_positions(text)
    result = validate_submission(data, {}, file)
    tree = result.ok()
    found = [
        (Severity.ERROR, positions.find_line(error.path), error.path, error.reason)
        for error in result.err() or ()
    ]
    found += [
        (Severity.WARNING, positions.find_line(path), path, reason)
        for path, reason in (find_warnings(tree) if tree is not None else ())
    ]
    for path, line, later_line in positions.repeated:
        reason = f"has no effect: the name follows again in line {later_line}"
        found.append((Severity.WARNING, line, path, reason))
    findings = [
        Finding(severity=severity, file=file, line=line, path=path, reason=reason)
        for severity, line, path, reason in found
    ]
    findings.sort(key=lambda item: (item.line, item.path, item.reason))
    return CheckedFile(tree, findings)


def find_warnings(tree: SettingsTree) -> list[tuple[str, str]]:
    """Return dotted path and reason of each warning about a valid tree."""
    origins = {
        names: {item.name: item for item in show_origin(tree, "/".join(names))}
        for names, _ in iterate_nodes(tree)
    }
    found = [*_find_unused(tree, origins), *_find_reversed_limits(origins)]
    for names, items in origins.items():
        if len(names) == Level.QUEUE:
            found += _find_contradictions(items)
    # Queues that inherit the same values have the same warnings.
    return list(dict.fromkeys(found))


def _find_unused(tree, origins):
    """Yield entries from which nothing in the tree takes its value.

    The system level is left out: it holds defaults for what is added later.
    """
    used = {
        (split_path(item.origin), name)
        for names, items in origins.items()
        for name, item in items.items()
        if item.origin != DEFAULT_ORIGIN and len(names) in _get_users(name)
    }
    for names, node in iterate_nodes(tree):
        for name in node.values:
            if names and (names, name) not in used:
                yield _locate(names, name), _explain_unused(names, origins)


def _get_users(name):
    """Return the levels for which the product resolves a value."""
    if name in REQUEST_VALUES:
        return Level.CELL, Level.TEAM
    if name in CELL_VALUES:
        return (Level.CELL,)
    return Level.TEAM, Level.QUEUE


def _explain_unused(names, origins):
    if len(names) == Level.QUEUE:
        return "requests use the value of the caller's team, not of a queue"
    if any(len(n) == Level.TEAM and n[: len(names)] == names for n in origins):
        return "has no effect: overridden on every path below"
    return "has no effect: no team below"


def _find_contradictions(items):
    """Yield the contradictions between the effective values of one queue."""
    values = {name: item.value for name, item in items.items()}
    for task_limit, team_limit in TEAM_LIMIT_BY_TASK_LIMIT.items():
        # A task limit that the team or queue sets itself is an error (`check_tree`).
        if 0 < values[team_limit] < values[task_limit]:
            yield _compare(items[team_limit], "is below", items[task_limit])
    opposites = []
    if not values["preemptible"] and values["max_preemptions"]:
        opposites.append(("max_preemptions", "preemptible"))
    if values["colocate"] in COLOCATIONS_BY_SPREAD.get(values["spread"], ()):
        opposites.append(("spread", "colocate"))
    for name, other in opposites:
        # A value that a deeper level contradicts is a default with an exception.
        depths = [len(split_path(items[key].origin)) for key in (name, other)]
        if items[name].origin != DEFAULT_ORIGIN and depths[0] >= depths[1]:
            yield _compare(items[name], "has no effect beside", items[other])


def _find_reversed_limits(origins):
    """Yield limits below that of a team of the same cell with a smaller weight.

    Shares are in proportion to the weights, and such a limit denies the team the
    larger share. Teams without a limit are not compared.
    """
    cells = {}
    for names, items in origins.items():
        if len(names) == Level.TEAM:
            cells.setdefault(names[:-1], []).append((names[-1], items))
    for teams, limit in product(cells.values(), TEAM_LIMITS):
        greatest = []  # the greatest limit among the teams of smaller weight
        limited = [
            (items["share_weight"].value, items[limit].value, team, items[limit].origin)
            for team, items in teams
            if items[limit].value
        ]
        for _, group in groupby(sorted(limited), key=itemgetter(0)):
            equals = list(group)
            for pair in product(equals, greatest):
                yield from _compare_limits(limit, *pair)
            greatest = [max(equals + greatest, key=itemgetter(1))]


def _compare_limits(limit, heavy, light):
    weight, value, team, origin = heavy
    light_weight, light_value, light_team, _ = light
    if value < light_value:
        yield (
            _locate(split_path(origin), limit),
            f"{value} is below {light_value} of team {light_team}, although the weight "
            f"of {team} is {weight:g} and that of {light_team} is {light_weight:g}",
        )


def _compare(item, relation, other):
    place = other.origin or "the system level"
    value, other_value = json.dumps(item.value), json.dumps(other.value)
    reason = f"{value} {relation} {other.name} of {other_value}, set at {place}"
    return _locate(split_path(item.origin), item.name), reason


def _locate(names, name):
    return ".".join(filter(None, (format_location(names), "values", name)))
