"""Draws every arrival of a workload in advance, the same ones for the same seed."""

import json
import random
from typing import NamedTuple

from cactustiller.model import TaskTemplate

from ..submissions import JobSubmission
from .workload import JobLoad, RequestLoad, draw_resources


class Arrival(NamedTuple):
    """Call that is due `at` seconds after the begin."""

    at: float
    load: JobLoad | RequestLoad
    team: str
    job: JobSubmission | None = None
    cancel_at: float | None = None
    work_ms: int = 0


def plan_arrivals(workload):
    """Return the `Arrival` records of a workload, sorted by time."""
    arrivals = []
    for number, load in enumerate(workload.jobs):
        generator = random.Random(f"{workload.seed}/job/{number}")
        arrivals += _plan_jobs(generator, load, workload.duration_seconds)
    for number, load in enumerate(workload.requests):
        generator = random.Random(f"{workload.seed}/request/{number}")
        arrivals += _plan_requests(generator, load, workload.duration_seconds)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_times(generator, per_second, begin, end):
    at = begin
    while True:
        at += generator.expovariate(per_second)
        if at >= end:
            return
        yield at


def _plan_jobs(generator, load, end):
    weights = [1 / rank**load.skew for rank in range(1, len(load.teams) + 1)]
    for at in _draw_times(generator, load.per_minute / 60, load.starts_at_seconds, end):
        (team,) = generator.choices(load.teams, weights)
        job = _draw_job(generator, load, team)
        is_cancelled = generator.random() < load.cancelled
        cancel_at = at + load.cancel_after_seconds if is_cancelled else None
        yield Arrival(at, load, team, job, cancel_at)


def _draw_job(generator, load, team):
    seconds = round(generator.uniform(*load.run_seconds), 2)
    truth = {}
    if generator.random() < load.wrong_estimates:
        truth["actual_seconds"] = round(seconds * load.wrong_factor, 2)
    if generator.random() < load.fails:
        truth["exit"] = "failed"
    return JobSubmission(
        name=load.name,
        team=team,
        queue=load.name,
        kind=load.kind,
        task_count=generator.randint(*load.tasks),
        template=TaskTemplate(
            resources=draw_resources(generator, load),
            run_seconds=seconds,
            payload=json.dumps(truth) if truth else "",
        ),
        deadline_seconds=load.deadline_seconds,
    )


def _plan_requests(generator, load, end):
    for at in _draw_times(generator, load.per_second, 0.0, end):
        yield Arrival(at, load, load.team, work_ms=generator.randint(*load.work_ms))
