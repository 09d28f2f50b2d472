"""Preemption of batch work on full workers, as at the start of an urgent burst."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell.decisions.ordering import IN_TIME, URGENT, OrderKey
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.records.runs import RunPhase
from cactustiller.model import Amounts, JobState
from standins.fleet import FleetCell, make_job, make_queue

from .builders import fill, make_round, make_step, make_worker

KEY = OrderKey(URGENT, 0, 0.0, 0.0)


def find_preempted(worker, step):
    current = make_round([worker])
    place_steps(current, [(KEY, step, step.job.spec.rules)])
    return [task for task, _ in current.preempted]


def test_as_few_runs_as_possible_are_preempted():
    worker = make_worker()
    fill(worker)
    assert len(find_preempted(worker, make_step(count=1, cpu=3000))) == 2


def test_nothing_is_preempted_while_the_step_fits():
    worker = make_worker()
    fill(worker, count=14)
    assert find_preempted(worker, make_step(count=1, cpu=3000)) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"has_checkpoints": False},
        {"is_gang": True},
        {"is_service": True},
        {"started_at": 99.9},
    ],
)
def test_runs_that_would_lose_work_are_not_preempted(changes):
    worker = make_worker()
    fill(worker, **changes)
    assert find_preempted(worker, make_step(count=1, cpu=3000)) == []


def test_capacity_of_stopping_runs_counts_as_free():
    worker = make_worker()
    tasks = fill(worker)
    tasks[0].is_stopping = tasks[1].is_stopping = True
    assert find_preempted(worker, make_step(count=1, cpu=3000)) == []


@pytest.mark.looptime
async def test_urgent_work_starts_at_once_on_a_full_cell():
    urgent, batch = make_queue("urgent"), make_queue("batch", priority=2)
    async with FleetCell(workers=2, queues=[urgent, batch]) as cell:
        load = make_job(
            1, batch, count=32, cpu=2000, estimate_ms=8000, has_checkpoints=True
        )
        await cell.submit(load, seconds=8.0)
        await cell.wait_for_state(load, JobState.RUNNING)
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        submitted_at = loop.time()
        spec = make_job(2, urgent, count=4, cpu=3000)
        await cell.submit(spec, seconds=0.6)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert loop.time() - submitted_at < 2.0
        await cell.wait_for_state(load, JobState.SUCCEEDED, seconds=60.0)


IN_TIME_KEY = OrderKey(IN_TIME, 0, 0.0, 0.0)
# Estimate of runs that started 10 s ago and end in 0.5 s.
ENDING_SOON_MS = 10_500


def place_gang(workers, slack, **changes):
    """Return the runs preempted for a gang with `slack` seconds left."""
    gang = make_step(1, count=6, cpu=9000, is_gang=True, **changes)
    current = make_round(workers)
    current.wall_now = -slack
    place_steps(current, [(IN_TIME_KEY, gang, gang.job.spec.rules)])
    return [task for task, _ in current.preempted]


def test_a_gang_with_slack_waits_for_runs_to_end():
    workers = [make_worker("w0"), make_worker("w1")]
    for number, worker in enumerate(workers, start=8):
        fill(worker, number=number, estimate_ms=ENDING_SOON_MS)
    assert place_gang(workers, slack=6.0) == []
    assert all(worker.reserved_for is not None for worker in workers)


def test_runs_are_preempted_for_a_gang_without_slack():
    workers = [make_worker("w0"), make_worker("w1")]
    for number, worker in enumerate(workers, start=8):
        fill(worker, number=number)
    # Three tasks of nine cores per worker need 27 of its 32 cores, so 14 runs of two
    # cores are preempted on each.
    assert len(place_gang(workers, slack=1.0)) == 28


def test_nothing_is_preempted_for_a_gang_that_still_would_not_fit():
    workers = [make_worker("w0"), make_worker("w1")]
    fill(workers[0], number=8)
    fill(workers[1], number=9, has_checkpoints=False)
    assert place_gang(workers, slack=1.0) == []


def test_the_search_for_victims_is_rate_limited():
    # Long queues on a full cell would otherwise use up the owner's time in each round.
    workers = [make_worker("w0"), make_worker("w1")]
    for number, worker in enumerate(workers, start=8):
        fill(worker, number=number, has_checkpoints=False)
    step = make_step(1, count=2, cpu=3000)
    find_preempted(workers[0], step)
    other_worker = make_worker("w2")
    fill(other_worker, number=7)
    assert find_preempted(other_worker, step) == []
    step.next_preemption_at = 0.0
    assert find_preempted(other_worker, step) != []


def test_runs_that_free_nothing_a_step_lacks_are_not_preempted():
    worker = make_worker(accelerators=1)
    fill(worker, count=8)
    worker.free_accelerators = 0
    step = make_step(1, count=1)
    step.spec = replace(step.spec, amounts=Amounts(1000, 100, 1))
    assert find_preempted(worker, step) == []


def test_no_run_is_preempted_where_the_limit_per_worker_is_reached():
    worker = make_worker()
    fill(worker)
    step = make_step(1, count=2, cpu=3000, max_per_worker=1)
    running = step.tasks[0]
    running.phase, running.worker = RunPhase.RUNNING, worker.info.worker
    step.pending_count = 1
    assert find_preempted(worker, step) == []
