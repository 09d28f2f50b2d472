"""Values of the settings tree: type, default, range, levels and description."""

import json
from enum import IntEnum, StrEnum
from typing import Annotated, get_origin

from pydantic import Field

from cactustiller.model import Urgency, WorkloadKind
from cactustiller.model.jobs import MAX_TASKS_PER_JOB, NAME_PATTERN

from .parsing import StrictRecord

MAX_INT = 2**53 - 1
MAX_EVACUATED_ZONES = 64

ZoneName = Annotated[str, Field(pattern=NAME_PATTERN)]


class Level(IntEnum):
    """Level of the settings tree; equals the number of names in its path."""

    SYSTEM = 0
    SITE = 1
    CELL = 2
    TEAM = 3
    QUEUE = 4


class Levels(frozenset):
    """Levels at which a value may be set."""


class Spread(StrEnum):
    """Failure domains over which tasks are spread or colocated."""

    NONE = "none"
    RACK = "rack"
    ZONE = "zone"


CELL_AND_ABOVE = Levels((Level.SYSTEM, Level.SITE, Level.CELL))
TEAM_AND_ABOVE = Levels((*CELL_AND_ABOVE, Level.TEAM))
ALL_LEVELS = Levels(Level)
QUEUE_ONLY = Levels((Level.QUEUE,))


def _declare(default, description, **bounds):
    return Field(default=default, description=description, **bounds)


def _declare_integer(default, description, low=0, high=MAX_INT):
    return _declare(default, description, ge=low, le=high)


class ResolvedValues(StrictRecord):
    """Effective values at one path; each field declares a value of the tree."""

    share_weight: Annotated[float, TEAM_AND_ABOVE] = _declare(
        1.0, "Weight of the team's share.", gt=0, le=1e6
    )
    limit_cpu_millis: Annotated[int, TEAM_AND_ABOVE] = _declare_integer(
        0, "Most CPU that one team holds, in thousandths of a core; 0 = no limit."
    )
    limit_memory_mib: Annotated[int, TEAM_AND_ABOVE] = _declare_integer(
        0, "Most memory that one team holds, in MiB; 0 = no limit."
    )
    limit_accelerators: Annotated[int, TEAM_AND_ABOVE] = _declare_integer(
        0, "Most accelerators that one team holds; 0 = no limit."
    )
    limit_tasks: Annotated[int, TEAM_AND_ABOVE] = _declare_integer(
        0, "Most tasks of one team that run at once; 0 = no limit."
    )
    kind: Annotated[WorkloadKind, ALL_LEVELS] = _declare(
        WorkloadKind.BATCH, "Kind of the queue's jobs."
    )
    urgency: Annotated[Urgency, ALL_LEVELS] = _declare(
        Urgency.NORMAL, "Urgency of the queue's work."
    )
    open_to_all: Annotated[bool, QUEUE_ONLY] = _declare(
        False, "Whether every team may send to the queue."
    )
    max_attempts: Annotated[int, ALL_LEVELS] = _declare_integer(
        3, "Most attempts of a task.", 1, 100
    )
    max_task_cpu_millis: Annotated[int, ALL_LEVELS] = _declare_integer(
        0, "Most CPU of one task, in thousandths of a core; 0 = no limit."
    )
    max_task_memory_mib: Annotated[int, ALL_LEVELS] = _declare_integer(
        0, "Most memory of one task, in MiB; 0 = no limit."
    )
    max_tasks_per_job: Annotated[int, ALL_LEVELS] = _declare_integer(
        MAX_TASKS_PER_JOB, "Most tasks of one job.", 1, MAX_TASKS_PER_JOB
    )
    max_run_seconds: Annotated[float, ALL_LEVELS] = _declare(
        0.0, "Longest run of a task, in seconds; 0 = no limit.", ge=0, le=1e9
    )
    preemptible: Annotated[bool, ALL_LEVELS] = _declare(
        True, "Whether a running task may be stopped for other work."
    )
    max_preemptions: Annotated[int, ALL_LEVELS] = _declare_integer(
        3, "Most times that one task is preempted.", 0, 1000
    )
    ageing_seconds: Annotated[float, ALL_LEVELS] = _declare(
        600.0, "Wait after which work moves ahead, in seconds.", gt=0, le=1e7
    )
    share_window_seconds: Annotated[float, CELL_AND_ABOVE] = _declare(
        600.0, "Window over which use counts for shares, in seconds.", gt=0, le=1e7
    )
    request_timeout_ms: Annotated[int, ALL_LEVELS] = _declare_integer(
        10_000, "Longest time of a request, in milliseconds.", 1, 3_600_000
    )
    request_retry_percent: Annotated[int, ALL_LEVELS] = _declare_integer(
        5, "Retries allowed per hundred requests.", 0, 100
    )
    max_request_bytes: Annotated[int, ALL_LEVELS] = _declare_integer(
        1_048_576, "Longest body of a request, in bytes.", 1, 67_108_864
    )
    max_queued_requests: Annotated[int, ALL_LEVELS] = _declare_integer(
        1000, "Most requests waiting at one gateway.", 0, 1_000_000
    )
    spread: Annotated[Spread, ALL_LEVELS] = _declare(
        Spread.NONE, "Places over which the tasks of a job are spread."
    )
    colocate: Annotated[Spread, ALL_LEVELS] = _declare(
        Spread.NONE, "Place that the tasks of a job share where it has room."
    )
    evacuated_zones: Annotated[tuple[ZoneName, ...], CELL_AND_ABOVE] = _declare(
        (),
        "Availability zones in which nothing new starts.",
        max_length=MAX_EVACUATED_ZONES,
    )


def get_levels(name: str) -> Levels:
    """Return the levels at which the value `name` may be set."""
    metadata = ResolvedValues.model_fields[name].metadata
    return next(item for item in metadata if isinstance(item, Levels))


def format_names_table() -> str:
    """Return a Markdown table that documents all values."""
    rows = [
        "| name | type | default | range | levels | description |",
        "|---|---|---|---|---|---|",
    ]
    rows += [
        f"| `{name}` | {_format_type(field.annotation)} | {_format(field.default)}"
        f" | {_format_range(field.metadata)}"
        f" | {', '.join(level.name.lower() for level in sorted(get_levels(name)))}"
        f" | {field.description} |"
        for name, field in ResolvedValues.model_fields.items()
    ]
    return "\n".join(rows) + "\n"


def _format_type(annotation):
    if get_origin(annotation) is tuple:
        return "list of names"
    if issubclass(annotation, StrEnum):
        return ", ".join(f"`{member}`" for member in annotation)
    return annotation.__name__


def _format(value):
    return json.dumps(value) if isinstance(value, bool | tuple) else str(value)


def _format_range(metadata):
    signs = {"gt": ">", "ge": ">=", "le": "<=", "max_length": "length <="}
    found = [
        f"{sign} {_format(getattr(item, attribute))}"
        for item in metadata
        for attribute, sign in signs.items()
        if hasattr(item, attribute)
    ]
    return ", ".join(found)
