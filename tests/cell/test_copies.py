"""Copies of late runs in a whole cell, with failures of owners, workers and calls."""

import asyncio

import pytest

from cactustiller.cell.records.runs import RunPhase
from cactustiller.model import JobState
from standins.fleet.store import Trouble
from standins.fleet.workers import WorkerTrouble

from .copied_jobs import (
    COUNT,
    SLOW,
    find_runs,
    find_slow_task,
    finish,
    list_tasks,
    make_cell,
    submit_with_straggler,
    wait_for_copy,
)

pytestmark = pytest.mark.looptime


async def test_a_step_ends_without_waiting_for_its_straggler():
    loop = asyncio.get_running_loop()
    async with make_cell() as cell:
        started_at = loop.time()
        spec = await submit_with_straggler(cell)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert loop.time() - started_at < 6.0
        assert cell.audit.copied == {find_slow_task(spec)}
        assert len(cell.audit.starts) == COUNT + 1
        await finish(cell, spec)


async def test_nothing_is_copied_without_consent():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, allows_copies=False)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == COUNT
        assert cell.audit.copied == set()


async def test_the_first_run_may_end_before_its_copy():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        cell.slow_runs[find_slow_task(spec), 2] = 20.0
        await wait_for_copy(cell, spec)
        await finish(cell, spec)
        assert len(cell.audit.starts) == COUNT + 1


async def test_both_runs_done_at_once_complete_the_task_once():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        first, second = await wait_for_copy(cell, spec)
        name = find_slow_task(spec)
        first.runs[name].seconds = second.runs[name].seconds = 0.3
        await finish(cell, spec)
        assert len(cell.audit.starts) == COUNT + 1


@pytest.mark.parametrize("crashes", [0, 1])
async def test_both_runs_done_at_once_and_the_owner_and_a_worker_lost(crashes):
    # A success of which only one end is acknowledged must be stored before that.
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        workers = await wait_for_copy(cell, spec)
        name = find_slow_task(spec)
        workers[0].runs[name].seconds = workers[1].runs[name].seconds = 0.3
        cell.stores[cell.find_owner()].trouble = Trouble.SILENT
        await asyncio.sleep(0.4)
        await cell.kill(cell.find_owner())
        workers[crashes].crash()
        await cell.wait_for_owner()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


@pytest.mark.parametrize("seconds", [0.0, 0.02, 0.05, 0.5, 1.5])
async def test_the_owner_is_lost_after_a_copy_was_placed(seconds):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        async with asyncio.timeout(20.0):
            while not cell.find_engine().speculation.count_copies():
                await asyncio.sleep(0.001)
        await asyncio.sleep(seconds)
        owner = cell.find_owner()
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await finish(cell, spec)


async def test_a_stored_copy_that_never_started_does_not_hold_up_its_task():
    # The owner is lost between the transaction and the start.
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        owner = cell.find_owner()
        cell.worker_clients[owner].start = _never_answer
        async with asyncio.timeout(20.0):
            while not cell.find_engine().speculation.count_copies():
                await asyncio.sleep(0.001)
        engine = cell.find_engine()
        async with asyncio.timeout(5.0):
            while not _find_copy(engine, spec).is_start_sent:
                await asyncio.sleep(0.001)
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await finish(cell, spec)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert 2 not in runs


async def _never_answer(worker, order):
    await asyncio.sleep(3600.0)


def _find_copy(engine, spec):
    (step,) = engine.jobs[spec.job].iterate_steps()
    return step.tasks[SLOW].copy


async def test_a_new_owner_knows_both_runs():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        _, second = await wait_for_copy(cell, spec)
        await asyncio.sleep(0.5)
        owner = cell.find_owner()
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await asyncio.sleep(0.5)
        copy = _find_copy(cell.find_engine(), spec)
        assert (copy.run, copy.worker) == (2, second.info.worker)
        assert copy.phase is RunPhase.RUNNING
        assert len(find_runs(cell, copy.name)) == 2
        await finish(cell, spec)
        assert len(cell.audit.starts) == COUNT + 1


@pytest.mark.parametrize("late_seconds", [0.3, 3.0])
async def test_an_unanswered_start_of_a_copy_may_be_carried_out_late(late_seconds):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=5.0)
        async with asyncio.timeout(10.0):
            while not any(task.started_at for task in list_tasks(cell, spec)):
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        slow = next(iter(find_runs(cell, find_slow_task(spec)).values()))
        for worker in cell.workers.values():
            if worker is not slow:
                worker.late_seconds = late_seconds
                worker.trouble = WorkerTrouble.ORDERS_LATE
        await asyncio.sleep(6.0)
        for worker in cell.workers.values():
            worker.trouble = WorkerTrouble.NONE
        await finish(cell, spec)


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_the_copy_continues_when_the_first_runs_worker_crashes(keeps_ids):
    async with make_cell() as cell:
        cell.keeps_ids = keeps_ids
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        first, _ = await wait_for_copy(cell, spec)
        await asyncio.sleep(1.0)
        first.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert runs == [1, 2]
        await finish(cell, spec)


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_the_first_run_continues_when_the_copys_worker_crashes(keeps_ids):
    async with make_cell() as cell:
        cell.keeps_ids = keeps_ids
        spec = await submit_with_straggler(cell)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        _, second = await wait_for_copy(cell, spec)
        await asyncio.sleep(1.0)
        second.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert runs == [1, 2]
        await finish(cell, spec)


async def test_both_runs_lost_are_followed_by_a_higher_run():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        for worker in await wait_for_copy(cell, spec):
            worker.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert runs == [1, 2, 3]
        await finish(cell, spec)


@pytest.mark.parametrize("index", [0, 1])
async def test_a_silent_workers_run_is_replaced_by_the_other(index):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        workers = await wait_for_copy(cell, spec)
        workers[index].trouble = WorkerTrouble.CUT_OFF
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        workers[index].trouble = WorkerTrouble.NONE
        await finish(cell, spec)
