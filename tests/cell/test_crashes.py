"""Tasks that crash the workers that start them, and the runs beside them."""

import asyncio
import random

import pytest

from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue
from standins.fleet.cell import CRASH_DOWN_SECONDS
from standins.fleet.workers import WorkerTrouble

pytestmark = pytest.mark.looptime


async def submit_deadly(cell, seconds=1.0, **changes):
    """Hand in a job whose first task crashes its workers; return its spec."""
    spec = make_job(**changes)
    cell.deadly_tasks.add(f"{spec.job}.0.0.0")
    await cell.submit(spec, seconds)
    return spec


async def wait_for_run(cell):
    """Wait until a worker has a run, and return the worker."""
    async with asyncio.timeout(30.0):
        while True:
            for worker in cell.workers.values():
                if worker.runs:
                    return worker
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_a_task_that_crashes_its_workers_is_given_up(keeps_ids):
    async with FleetCell(workers=6) as cell:
        cell.keeps_ids = keeps_ids
        spec = await submit_deadly(cell)
        await cell.wait_for_state(spec, JobState.FAILED, seconds=60.0)
        assert cell.audit.crashes[f"{spec.job}.0.0.0"] == 2


@pytest.mark.parametrize("is_gang", [False, True])
async def test_a_step_runs_on_workers_that_replace_crashed_ones(is_gang):
    # Each worker that was named for the step is replaced under another id.
    queue = make_queue(needs_approval=True, approval_ms=10, approval_worker_ms=1)
    async with FleetCell(workers=2, queues=[queue]) as cell:
        spec = make_job(1, queue, count=2, cpu=20_000, is_gang=is_gang)
        await cell.submit(spec, seconds=4.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        for worker in list(cell.workers.values()):
            worker.crash()
        await asyncio.sleep(0)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_runs_beside_a_task_that_crashes_its_workers_succeed():
    async with FleetCell(workers=6) as cell:
        others = [make_job(number, count=3) for number in range(2, 14)]
        for spec in others:
            await cell.submit(spec, seconds=2.0)
        deadly = await submit_deadly(cell)
        for spec in others:
            await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=60.0)
        await cell.wait_for_state(deadly, JobState.FAILED, seconds=60.0)
        assert cell.audit.crashes[f"{deadly.job}.0.0.0"] == 2


@pytest.mark.parametrize("keeps_ids", [False, True])
@pytest.mark.parametrize("seconds", [0.5, 2.0, 3.5, 7.0])
async def test_crashes_are_counted_across_a_takeover(seconds, keeps_ids):
    async with FleetCell(workers=6) as cell:
        cell.keeps_ids = keeps_ids
        spec = await submit_deadly(cell)
        await asyncio.sleep(seconds)
        await cell.kill(cell.find_owner())
        await cell.wait_for_state(spec, JobState.FAILED, seconds=90.0)
        assert cell.audit.crashes[f"{spec.job}.0.0.0"] <= 4


async def test_a_gang_that_crashes_its_workers_is_given_up():
    async with FleetCell(workers=6) as cell:
        # The tasks on other workers run on until the gang is stopped.
        spec = await submit_deadly(cell, 30.0, count=4, cpu=16_000, is_gang=True)
        await cell.wait_for_state(spec, JobState.FAILED, seconds=60.0)
        assert cell.audit.crashes[f"{spec.job}.0.0.0"] <= 3


async def test_a_service_that_crashes_its_workers_is_given_up():
    async with FleetCell(workers=6) as cell:
        spec = await submit_deadly(cell, is_service=True)
        await cell.wait_for_state(spec, JobState.FAILED, seconds=60.0)
        assert cell.audit.crashes[f"{spec.job}.0.0.0"] == 2


async def test_a_job_survives_crashes_that_it_did_not_cause():
    async with FleetCell(workers=3) as cell:
        spec = make_job(estimate_ms=5000)
        await cell.submit(spec, seconds=5.0)
        for _ in range(3):
            worker = await wait_for_run(cell)
            await asyncio.sleep(2.0)
            worker.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=60.0)


async def test_a_silent_worker_is_no_crash():
    async with FleetCell(workers=4) as cell:
        spec = make_job(estimate_ms=9000)
        await cell.submit(spec, seconds=9.0)
        for _ in range(3):
            worker = await wait_for_run(cell)
            worker.trouble = WorkerTrouble.CUT_OFF
            await asyncio.sleep(10.0)
            worker.trouble = WorkerTrouble.NONE
            (step,) = cell.find_engine().jobs[spec.job].iterate_steps()
            assert step.tasks[0].crashes == 0
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=60.0)


async def test_a_replaced_worker_is_noticed_before_its_lease_expires():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000)
        await cell.submit(spec, seconds=4.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        loop = asyncio.get_running_loop()
        crashed_at = loop.time()
        cell.workers["w0"].crash()
        while len(cell.audit.starts) < 3:
            await asyncio.sleep(0.05)
        assert loop.time() - crashed_at < CRASH_DOWN_SECONDS + 1.0


@pytest.mark.parametrize("seed", range(4))
async def test_a_burst_of_tasks_that_crash_their_workers(seed):
    # Owners are killed meanwhile; the audit counts the starts after crashes.
    chance = random.Random(seed)
    async with FleetCell(workers=12, members=5) as cell:
        cell.keeps_ids = bool(seed % 2)
        deadly, others = [], []
        for number in range(1, 61):
            spec = make_job(number, count=2)
            if chance.random() < 0.1:
                cell.deadly_tasks |= {f"{spec.job}.0.0.{index}" for index in (0, 1)}
                deadly.append(spec)
            else:
                others.append(spec)
            member = chance.choice(list(cell.members))
            await cell.submit(spec, seconds=chance.uniform(0.3, 2.0), member=member)
            await asyncio.sleep(chance.uniform(0.0, 0.3))
            if number % 20 == 0:
                await cell.kill(cell.find_owner())
                await cell.wait_for_owner()
        for spec in others:
            await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=120.0)
        for spec in deadly:
            await cell.wait_for_state(spec, JobState.FAILED, seconds=120.0)
