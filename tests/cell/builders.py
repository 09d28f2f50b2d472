"""Builders of workers, steps and scheduling rounds."""

from cactustiller.cell.decisions.ordering import IN_TIME, OrderKey
from cactustiller.cell.decisions.placement_round import PlacementRound
from cactustiller.cell.records.runs import JobRun
from cactustiller.cell.records.workers import Worker, WorkerInfo
from cactustiller.model import Amounts, WorkerId
from standins.fleet import make_job

SERVICE = "recon"


def make_order_key(band=IN_TIME):
    """Return the order key of a step without any slack."""
    return OrderKey(band, 0, 0.0, 0.0)


def make_worker(name="w0", cpu=32_000, memory=65_536, zone="z", **changes):
    """Return a schedulable worker."""
    info = WorkerInfo(
        WorkerId(name), f"{name}:1", SERVICE, zone, Amounts(cpu, memory, 0), ("a", "r0")
    )
    return Worker(info, is_reachable=True, is_synchronized=True, **changes)


def make_step(number=1, **changes):
    """Return the only step of a new job."""
    return JobRun(make_job(number, **changes)).open_occurrence(0)[0]


def make_round(workers, team_room=10_000, now=100.0):
    """Return a round in which each team's limit allows `team_room` more tasks."""
    return PlacementRound(
        now,
        workers,
        lambda team, amounts, max_count: min(max_count, team_room),
        lambda team, amounts: None,
    )
