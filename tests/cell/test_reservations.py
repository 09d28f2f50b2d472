"""Capacity held for gangs that do not fit, beside other work that would."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell.decisions.ordering import IN_TIME, URGENT, OrderKey
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.decisions.reservations import (
    MAX_RESERVED_FRACTION,
    MAX_WAIT_FOR_GANGS_SECONDS,
)
from cactustiller.cell.decisions.service_usage import measure_usage
from cactustiller.cell.records.runs import RunPhase
from cactustiller.model import Amounts, JobState
from standins.fleet import FleetCell, make_job, make_queue

from .builders import fill, make_round, make_step, make_worker

IN_TIME_KEY = OrderKey(IN_TIME, 0, 0.0, 0.0)
URGENT_KEY = OrderKey(URGENT, 0, 0.0, 0.0)
NOW = 100.0


def place(workers, *entries, usage=None):
    """Place steps in order; return the names of the jobs with placements."""
    current = make_round(workers, usage=usage)
    place_steps(current, [(key, step, step.job.spec.rules) for key, step in entries])
    return {p.task.step.job.spec.job for p in current.placements}


def list_reserved(workers):
    return [worker.info.worker for worker in workers if worker.reserved_for is not None]


def make_gang(number=1, count=6, cpu=20_000, memory=100, accelerators=0, **changes):
    """Return a gang of which one task fits on an empty worker."""
    gang = make_step(number, count=count, is_gang=True, **changes)
    gang.spec = replace(gang.spec, amounts=Amounts(cpu, memory, accelerators))
    return gang


def add_run(worker, cpu=0, memory=0, accelerators=0, number=9, **changes):
    """Start a run on a worker 10 s ago and return its task."""
    changes = {"cpu": 0, "has_checkpoints": False} | changes
    (task,) = fill(worker, count=1, number=number, **changes)
    counted = task.step.spec.counted
    worker.release_capacity(counted)
    task.step.spec = replace(task.step.spec, amounts=Amounts(cpu, memory, accelerators))
    worker.take_capacity(task.step.spec.counted)
    return task


def add_standing_run(worker):
    """Start a run that made progress 8 s ago and none since."""
    task = add_run(worker, cpu=20_000, estimate_ms=1_000_000)
    task.progress, task.progressed_at = 50, 92.0


OBSTACLES = {
    "lasting": lambda w: add_run(w, cpu=20_000, is_service=True),
    "lasting memory": lambda w: add_run(w, memory=60_000, is_service=True, fills=True),
    "lasting accelerator": lambda w: add_run(w, accelerators=1, is_service=True),
    "overrun": lambda w: add_run(w, cpu=20_000, estimate_ms=1000),
    "standing": add_standing_run,
    "far end": lambda w: add_run(w, cpu=20_000, estimate_ms=60_000),
    "unknown run": lambda w: w.take_capacity(Amounts(20_000, 0, 0)),
}


@pytest.mark.parametrize("key", [IN_TIME_KEY, URGENT_KEY], ids=["batch", "urgent"])
@pytest.mark.parametrize("obstacle", OBSTACLES.values(), ids=OBSTACLES)
def test_a_gang_holds_nothing_without_evidence_that_it_will_fit(obstacle, key):
    # Guards against batch jobs that wait on an idle service for a gang that cannot
    # start (review/8).
    workers = [make_worker(f"w{n}", accelerators=1) for n in range(6)]
    obstacle(workers[0])
    gang = make_gang(memory=10_000, accelerators=1)
    batch = make_step(2, count=1)
    assert place(workers, (key, gang), (IN_TIME_KEY, batch)) == {batch.job.spec.job}
    assert list_reserved(workers) == []


@pytest.mark.parametrize("gang_sizes", [(2,), (2, 2), (2, 3), (1, 1, 1, 1, 1, 1), (9,)])
def test_gangs_hold_a_bounded_part_of_a_service(gang_sizes):
    # Guards against a bound that is tested before a reservation only.
    workers = [make_worker(f"w{n}") for n in range(10)]
    for number, worker in enumerate(workers):
        add_run(worker, cpu=20_000, number=50 + number, estimate_ms=18_000)
    gangs = [make_gang(n, count) for n, count in enumerate(gang_sizes, start=1)]
    place(workers, *((IN_TIME_KEY, gang) for gang in gangs))
    assert len(list_reserved(workers)) <= MAX_RESERVED_FRACTION * len(workers)
    assert bool(list_reserved(workers)) == (gang_sizes != (9,))


def test_the_workers_of_other_services_do_not_raise_the_bound():
    others = [make_worker(f"o{n}", service="other") for n in range(20)]
    workers = [make_worker(f"w{n}") for n in range(4)]
    for number, worker in enumerate(workers):
        add_run(worker, cpu=20_000, number=50 + number, estimate_ms=18_000)
    place([*others, *workers], (IN_TIME_KEY, make_gang(count=2)))
    assert list_reserved(workers) == []


def test_a_large_gang_holds_a_service_that_is_free_within_a_moment():
    workers = [make_worker(f"w{n}") for n in range(4)]
    for number, worker in enumerate(workers):
        add_run(worker, cpu=20_000, number=50 + number, estimate_ms=10_500)
    first, second = make_gang(1, count=4), make_gang(2, count=1)
    place(workers, (IN_TIME_KEY, first), (IN_TIME_KEY, second))
    assert {worker.reserved_for for worker in workers} == {first}


def make_held_service(used):
    """Return workers of which a gang holds one, with `used` runs of 20 cores."""
    workers = [make_worker(f"w{n}") for n in range(3)]
    for number, worker in enumerate(workers[:used]):
        add_run(worker, cpu=20_000, number=50 + number, estimate_ms=10_400)
    return workers


def place_beside_gang(waited, used=1, started=0, **changes):
    """Return whether a step of 14 cores a task runs beside a gang's reservation."""
    workers = make_held_service(used)
    for worker in workers[1:]:
        add_run(worker, cpu=14_000 if worker.free_cpu > 20_000 else 0, number=70)
    gang = make_gang(1, count=1, cpu=30_000)
    step = make_step(2, count=2, cpu=19_000, **changes)
    step.eligible_at = NOW - waited
    for task in step.tasks[:started]:
        task.phase = RunPhase.RUNNING
        step.pending_count -= 1
    # The fullest worker is the one that the gang holds.
    workers[0].release_capacity(Amounts(20_000, 0, 0))
    workers[0].runs.clear()
    add_run(workers[0], cpu=3000, number=80, estimate_ms=10_400)
    usage = measure_usage(workers)
    placed = place(workers, (IN_TIME_KEY, gang), (IN_TIME_KEY, step), usage=usage)
    assert workers[0].reserved_for is gang
    return step.job.spec.job in placed


def test_a_step_waits_for_a_gang_only_for_a_short_time_if_its_service_is_idle():
    assert not place_beside_gang(waited=MAX_WAIT_FOR_GANGS_SECONDS - 0.1)
    assert place_beside_gang(waited=MAX_WAIT_FOR_GANGS_SECONDS)


def test_a_step_that_runs_already_waits_for_a_gang():
    assert not place_beside_gang(waited=60.0, started=1)
    assert place_beside_gang(waited=60.0, started=1, is_service=True)


@pytest.mark.looptime
@pytest.mark.parametrize(
    "lasting",
    [
        {"cpu": 20_000, "is_service": True},
        {"cpu": 20_000, "estimate_ms": 500},
    ],
    ids=["lasting", "overrun"],
)
async def test_batch_jobs_run_beside_a_gang_that_cannot_start(lasting):
    # Guards against batch jobs that wait for 33 s and longer while 172 of 192 cores are
    # free, since a gang holds all workers (review/8).
    queues = [make_queue("urgent", slack_factor=30.0), make_queue("batch", priority=2)]
    async with FleetCell(workers=6, queues=queues) as cell:
        await cell.submit(make_job(1, queues[1], **lasting), seconds=200.0)
        await cell.wait_for_state(cell.jobs[f"{1:016x}"], JobState.RUNNING)
        gang = make_job(2, queues[0], count=6, cpu=20_000, is_gang=True)
        await cell.submit(gang, seconds=1.0)
        batch = [make_job(number, queues[1]) for number in range(3, 9)]
        await asyncio.gather(*map(cell.submit, batch))
        await asyncio.sleep(3.0)
        for spec in batch:
            assert cell.audit.count_starts(f"{spec.job}.0.0.0") == 1
