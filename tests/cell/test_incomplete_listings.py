"""Reports of workers on which more runs have ended than one report lists."""

import asyncio

import pytest

from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.listings import ListedEnd, Listing
from cactustiller.cell.records.runs import RunEnd, RunPhase
from cactustiller.model import Amounts, JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.store import Trouble
from standins.fleet.workers import MAX_LISTED_ENDS
from tests.cell.builders import make_worker

JOBS = 24
TASKS_PER_JOB = 58
OUTAGE_SECONDS = 4.4
NOW = 100.0
STARTED_AT = 90.0


@pytest.mark.looptime
@pytest.mark.parametrize("is_owner_lost", [False, True])
async def test_tasks_that_ended_in_an_outage_of_the_store_run_once(is_owner_lost):
    # Guards against tasks that are started again since their ends were beyond the first
    # 500 that a worker lists.
    capacity = Amounts(64_000, 200_000, 0)
    async with FleetCell(workers=1, capacity=capacity) as cell:
        jobs = [
            make_job(number, count=TASKS_PER_JOB, cpu=40, estimate_ms=6000)
            for number in range(1, JOBS + 1)
        ]
        for number, job in enumerate(jobs):
            await cell.submit(job, 6.0 + 0.1 * number)
        async with asyncio.timeout(5.0):
            while len(cell.audit.starts) < JOBS * TASKS_PER_JOB:
                await asyncio.sleep(0.02)
        await asyncio.sleep(5.0)
        for store in cell.stores.values():
            store.trouble = Trouble.REFUSING
        await asyncio.sleep(OUTAGE_SECONDS)
        assert len(cell.workers["w0"].ends) > 2 * MAX_LISTED_ENDS
        if is_owner_lost:
            await cell.kill(cell.find_owner())
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        for job in jobs:
            await cell.wait_for_state(job, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == JOBS * TASKS_PER_JOB


def make_running_task():
    """Return an engine, its worker and a task that runs there."""
    engine = Engine(lambda: NOW, lambda: 1000)
    engine.workers["w0"] = worker = make_worker("w0")
    engine.add_job(make_job())
    (step,) = engine.find_eligible_steps()
    task = step.tasks[0]
    task.phase, task.worker, task.run = RunPhase.RUNNING, worker.info.worker, 1
    task.is_start_sent = True
    task.started_at = task.progressed_at = STARTED_AT
    step.pending_count -= 1
    engine._add_run(worker, task)
    return engine, worker, task


def list_ends(first, count, is_complete):
    """Return a report of ends of runs that the owner does not know."""
    numbers = range(first, first + count)
    ended = tuple(ListedEnd(n, f"f{n:015x}.0.0.0", 1, RunEnd.DONE, "") for n in numbers)
    return Listing(1, 1, (), ended, is_complete)


def test_missing_run_is_settled_only_by_a_complete_report():
    # Guards against both: a second run of a task that is done, and a task that waits
    # for ever for the end of a run that its worker never got.
    engine, worker, task = make_running_task()
    engine.apply_listing(worker, list_ends(1, 500, is_complete=False), NOW, NOW)
    assert task.phase is RunPhase.RUNNING
    engine.apply_listing(worker, list_ends(501, 3, is_complete=True), NOW, NOW)
    assert task.phase is RunPhase.WAITING


def test_worker_is_synchronized_only_by_a_complete_report():
    # Guards against a new owner that places tasks on a worker, or settles its runs,
    # before it knows all ends.
    engine, worker, task = make_running_task()
    worker.is_synchronized = False
    engine.apply_listing(worker, list_ends(1, 500, is_complete=False), NOW, NOW)
    assert task.phase is RunPhase.RUNNING
    assert not worker.is_schedulable(NOW)
    engine.apply_listing(worker, list_ends(501, 3, is_complete=True), NOW, NOW)
    assert task.phase is RunPhase.WAITING
    assert worker.is_schedulable(NOW)


def test_run_whose_end_is_not_listed_yet_does_not_count_as_stalled():
    # Guards against a sound worker that is avoided since runs that are done there show
    # no progress while their ends are not listed yet.
    engine, worker, task = make_running_task()
    task.progressed_at = task.started_at = 1.0
    engine.apply_listing(worker, list_ends(1, 500, is_complete=False), NOW, NOW)
    engine.stop_stalled_runs()
    assert not task.is_stopping
