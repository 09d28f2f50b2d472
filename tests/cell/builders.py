"""Builders of workers, steps and scheduling rounds."""

from cactustiller.cell.decisions.ordering import IN_TIME, OrderKey
from cactustiller.cell.decisions.placement_round import PlacementRound
from cactustiller.cell.records.runs import JobRun, RunPhase
from cactustiller.cell.records.workers import Worker, WorkerInfo
from cactustiller.model import Amounts, WorkerId
from standins.fleet import make_job

SERVICE = "recon"


def make_order_key(band=IN_TIME):
    """Return the order key of a step without any slack."""
    return OrderKey(band, 0, 0.0, 0.0)


def make_worker(
    name="w0",
    cpu=32_000,
    memory=65_536,
    zone="z",
    accelerators=0,
    service=SERVICE,
    **changes,
):
    """Return a schedulable worker."""
    capacity = Amounts(cpu, memory, accelerators)
    info = WorkerInfo(WorkerId(name), f"{name}:1", service, zone, capacity, ("a", "r0"))
    return Worker(info, is_reachable=True, is_synchronized=True, **changes)


def fill(worker, count=16, started_at=90.0, number=9, **changes):
    """Add running tasks of a batch step to a worker and return them."""
    changes = {"has_checkpoints": True, "cpu": 2000} | changes
    step = make_step(number, count=count, **changes)
    for task in step.tasks:
        task.phase, task.run, task.started_at = RunPhase.RUNNING, 1, started_at
        task.worker = worker.info.worker
        worker.runs[task.name] = (task, 1)
        worker.take_capacity(step.spec.counted)
    return step.tasks


def make_step(number=1, **changes):
    """Return the only step of a new job."""
    return JobRun(make_job(number, **changes)).open_occurrence(0)[0]


def make_round(workers, team_room=10_000, now=100.0, **changes):
    """Return a round in which each team's limit allows `team_room` more tasks."""
    return PlacementRound(
        now,
        workers,
        lambda team, amounts, max_count: min(max_count, team_room),
        lambda team, amounts: None,
        **changes,
    )
