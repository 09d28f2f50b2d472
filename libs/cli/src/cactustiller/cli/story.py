"""Merges the log lines of members into the story of one job."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

# Lines that change what the whole cell believes, told where they fall into the job's
# life.
CONTEXT_EVENTS = frozenset(
    {
        "takeover",
        "ownership_lost",
        "ownership_released",
        "handover_asked",
        "dependency_lost",
        "dependency_back",
        "desired_state_applied",
        "zone_evacuated",
        "zone_restored",
        "interference_learned",
        "interference_dropped",
        "lines_dropped",
        "term_failed",
        "task_failed",
    }
)
# Lines about a worker matter only where the job has runs.
WORKER_EVENTS = frozenset(
    {"worker_lost", "worker_back", "worker_reborn", "worker_avoided", "lease_lapsed"}
)
CONTEXT_SECONDS = 3.0
GAP_SECONDS = 2.0
HIDDEN_FIELDS = ("event", "level", "time", "member")


class StoryLine(NamedTuple):
    """Line of a story; `gap` is the silence before it in seconds."""

    at: float
    member: str
    event: str
    fields: dict
    gap: float = 0.0


def read_lines(lines: Iterable[str]):
    """Yield the `StoryLine` of each log line; others are passed over."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            at = datetime.fromisoformat(fields["time"]).timestamp()
            event = fields["event"]
        except (ValueError, KeyError, TypeError):
            continue
        rest = {k: v for k, v in fields.items() if k not in HIDDEN_FIELDS}
        yield StoryLine(at, fields.get("member", ""), event, rest)


def read_files(paths):
    """Return the `StoryLine` of each log line of several files, file by file."""
    lines = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_lines(file)
    return lines


def tell_story(job, lines):
    """Return the lines that explain a job, in order, with the gaps between them.

    Parameters
    ----------
    job : str
        Its id, as callers know it.
    lines : list of StoryLine
    """
    own = [line for line in lines if _is_about(line, job)]
    if not own:
        return []
    first = min(line.at for line in own) - CONTEXT_SECONDS
    last = max(line.at for line in own) + CONTEXT_SECONDS
    workers = {line.fields.get("worker") for line in own} - {None}
    context = [
        line
        for line in lines
        if first <= line.at <= last
        and (
            line.event in CONTEXT_EVENTS
            or (line.event in WORKER_EVENTS and line.fields.get("worker") in workers)
        )
    ]
    return _mark_gaps(sorted([*own, *context], key=lambda line: line.at))


def _is_about(line, job):
    fields = line.fields
    stored = fields.get("jobs")
    return (
        fields.get("job") == job
        or str(fields.get("task", "")).startswith(f"{job}.")
        or (isinstance(stored, list) and job in stored)
        or str(fields.get("path", "")).endswith(f"/{job}")
    )


def _mark_gaps(lines):
    story = []
    before = None
    for line in lines:
        gap = 0.0 if before is None else line.at - before
        story.append(line._replace(gap=gap if gap >= GAP_SECONDS else 0.0))
        before = line.at
    return story
