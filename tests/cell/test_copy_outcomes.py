"""Failures, limits and random disturbances of copies in a whole cell."""

import asyncio
import random

import pytest

from cactustiller.cell import Acceptance
from cactustiller.model import Amounts, JobState
from standins.fleet import make_job, make_queue
from standins.fleet.store import Trouble
from standins.fleet.workers import WorkerTrouble

from .copied_jobs import (
    COUNT,
    SLOW,
    WORKERS,
    check_released,
    find_runs,
    find_slow_task,
    finish,
    list_started_runs,
    list_tasks,
    make_cell,
    submit_with_straggler,
    wait_for_copy,
    wait_for_no_runs,
)

pytestmark = pytest.mark.looptime


async def fail_run(worker, name):
    """Let one run of a worker fail."""
    worker.trouble = WorkerTrouble.FAILING
    async with asyncio.timeout(5.0):
        while name in worker.runs:
            await asyncio.sleep(0.005)
    worker.trouble = WorkerTrouble.NONE


@pytest.mark.parametrize("index", [0, 1])
async def test_the_failure_of_either_run_counts_and_the_other_continues(index):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 2.0
        workers = await wait_for_copy(cell, spec)
        await asyncio.sleep(0.3)
        await fail_run(workers[index], find_slow_task(spec))
        await asyncio.sleep(0.3)
        task = list_tasks(cell, spec)[SLOW]
        assert task.failures == 1
        assert task.run == 2 - index
        assert task.copy is None
        await finish(cell, spec)
        assert cell.audit.count_starts(find_slow_task(spec)) == 2


async def test_a_task_with_one_attempt_left_is_not_copied():
    queue = make_queue(max_attempts=1)
    async with make_cell(queues=[queue]) as cell:
        spec = await submit_with_straggler(cell, queue=queue)
        await finish(cell, spec)
        assert cell.audit.copied == set()


async def test_the_number_of_an_ended_copy_is_not_used_again_after_a_takeover():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        first, second = await wait_for_copy(cell, spec)
        await asyncio.sleep(0.3)
        await fail_run(second, find_slow_task(spec))
        await asyncio.sleep(0.3)
        owner = cell.find_owner()
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        task = list_tasks(cell, spec)[SLOW]
        assert (task.run, task.copy_run, task.failures) == (1, 2, 1)
        await fail_run(first, find_slow_task(spec))
        await finish(cell, spec)
        runs = list_started_runs(cell, spec)
        assert runs == sorted(set(runs))
        assert runs[:2] == [1, 2]


async def test_cancellation_stops_both_runs():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        await wait_for_copy(cell, spec)
        outcome = await cell.members["m1"].intake.cancel(spec.job)
        assert outcome is Acceptance.ACCEPTED
        # Both at once, not the copy only after the first run.
        await asyncio.sleep(0.5)
        assert not find_runs(cell, find_slow_task(spec))
        await finish(cell, spec, JobState.CANCELLED)
        assert len(cell.audit.starts) == COUNT + 1


async def test_cancellation_and_takeover_stop_both_runs():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        await wait_for_copy(cell, spec)
        owner = cell.find_owner()
        member = next(name for name in cell.members if name != owner)
        assert await cell.members[member].intake.cancel(spec.job) is Acceptance.ACCEPTED
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await finish(cell, spec, JobState.CANCELLED)


@pytest.mark.parametrize("index", [0, 1])
async def test_a_run_on_a_draining_worker_is_replaced_by_the_other(index):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 2.0
        workers = await wait_for_copy(cell, spec)
        cell.drain_worker(workers[index].info.worker, 1000)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        await wait_for_no_runs(cell)
        assert cell.audit.count_starts(find_slow_task(spec)) == 2


async def test_no_copy_starts_in_an_evacuated_zone():
    async with make_cell(zones=("east", "west")) as cell:
        spec = await submit_with_straggler(cell)
        await cell.wait_for_state(spec, JobState.RUNNING)
        (first,) = find_runs(cell, find_slow_task(spec)).values()
        other = "west" if first.info.zone == "east" else "east"
        cell.evacuate_zone(other)
        _, second = await wait_for_copy(cell, spec)
        assert second.info.zone == first.info.zone
        await finish(cell, spec)


async def test_a_copy_runs_on_an_approved_worker():
    queue = make_queue("approved", needs_approval=True)
    cell = make_cell(queues=[queue], approves=lambda _, worker: worker in ("w1", "w4"))
    async with cell:
        spec = await submit_with_straggler(cell, queue=queue)
        await finish(cell, spec)
        assert cell.audit.copied
        assert {start[2] for start in cell.audit.starts} <= {"w1", "w4"}


async def test_a_teams_limit_includes_its_copies():
    limit = (COUNT * 1000, 0, 0)
    async with make_cell(limit=limit) as cell:
        spec = await submit_with_straggler(cell)
        most = 0
        while cell.find_engine().jobs[spec.job].state is not JobState.SUCCEEDED:
            running = sum(len(worker.runs) for worker in cell.workers.values())
            most = max(most, running)
            await asyncio.sleep(0.01)
        assert most == COUNT
        # As soon as other tasks have ended there is room for the copy.
        assert cell.audit.copied


async def test_no_copy_starts_while_work_on_time_waits():
    capacity = Amounts(5_000, 65_536, 0)
    async with make_cell(workers=5, capacity=capacity) as cell:
        spec = await submit_with_straggler(cell, cpu=250, slowdown=4.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        # The gang fits on no worker until the job has ended, and copies would fit.
        waiting = make_job(2, count=5, cpu=5_000, is_gang=True, estimate_ms=30_000)
        await cell.submit(waiting)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert cell.audit.copied == set()
        await cell.wait_for_state(waiting, JobState.SUCCEEDED)


async def test_a_limit_per_worker_includes_copies():
    async with make_cell(workers=4) as cell:
        spec = await submit_with_straggler(cell, count=4, max_per_worker=1)
        name = find_slow_task(spec)
        async with asyncio.timeout(30.0):
            while cell.find_engine().jobs[spec.job].state is not JobState.SUCCEEDED:
                for worker in cell.workers.values():
                    assert len(worker.runs) <= 1
                await asyncio.sleep(0.01)
        assert cell.audit.copied == {name}


async def test_copies_keep_within_their_budget():
    # 4 % of 256 cores is room for ten copies, and 2 % for five of a team.
    async with make_cell() as cell:
        specs = []
        for number in range(1, 9):
            specs.append(await submit_with_straggler(cell, number=number, seconds=3.0))
        most = 0
        async with asyncio.timeout(60.0):
            while any(
                cell.find_engine().jobs[spec.job].state is not JobState.SUCCEEDED
                for spec in specs
            ):
                most = max(most, cell.find_engine().speculation.count_copies())
                await asyncio.sleep(0.01)
        assert most == 5


async def disturb(cell, chance, seconds):
    """Disturb owners, workers, calls and the store at random for some time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        await asyncio.sleep(chance.uniform(0.2, 1.5))
        workers = [
            worker
            for worker in cell.workers.values()
            if worker.trouble is WorkerTrouble.NONE
        ]
        worker = chance.choice(workers)
        kind = chance.randrange(6)
        if kind == 0:
            await cell.kill(await cell.wait_for_owner())
            await cell.add_member()
        elif kind == 1 and len(workers) > WORKERS // 2:
            worker.crash()
        elif kind == 2:
            worker.trouble = WorkerTrouble.CUT_OFF
            loop.call_later(chance.uniform(0.5, 9.0), restore_worker, worker)
        elif kind == 3:
            worker.trouble = WorkerTrouble.ORDERS_LATE
            worker.late_seconds = chance.uniform(0.1, 3.0)
            loop.call_later(chance.uniform(0.5, 3.0), restore_worker, worker)
        elif kind == 4:
            worker.trouble = WorkerTrouble.STANDING_STILL
            loop.call_later(chance.uniform(0.5, 3.0), restore_worker, worker)
        else:
            store = cell.stores[await cell.wait_for_owner()]
            store.trouble = chance.choice(
                [Trouble.REFUSING, Trouble.SILENT, Trouble.CARRYING_OUT_LATE]
            )
            await asyncio.sleep(chance.uniform(0.1, 2.0))
            store.trouble = Trouble.NONE


def restore_worker(worker):
    if worker.trouble is not WorkerTrouble.CRASHED:
        worker.trouble = WorkerTrouble.NONE


@pytest.mark.parametrize("seed", range(2))
async def test_disturbances_at_random(seed):
    # The audit finds a third run, a run after success, and an old number.
    chance = random.Random(seed)
    async with make_cell(members=4) as cell:
        cell.keeps_ids = bool(seed % 2)
        specs = []
        disturbance = asyncio.create_task(disturb(cell, chance, 25.0))
        for number in range(1, 17):
            spec = make_job(
                number, count=10, allows_copies=bool(number % 4), estimate_ms=2000
            )
            for index in range(10):
                for run in range(1, 4):
                    if chance.random() < 0.1:
                        name = f"{spec.job}.0.0.{index}"
                        cell.slow_runs[name, run] = chance.uniform(3.0, 9.0)
            member = chance.choice(list(cell.members))
            await cell.submit(spec, chance.uniform(0.5, 3.0), member=member)
            specs.append(spec)
            await asyncio.sleep(chance.uniform(0.0, 2.0))
        await disturbance
        await asyncio.sleep(30.0)
        await wait_for_no_runs(cell)
        await asyncio.sleep(8.0)
        check_released(cell)
        states = cell.find_engine().published_states
        assert all(states[job].is_final for job in states)
        assert cell.audit.copied


# Engine
