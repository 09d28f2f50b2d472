"""Tasks that crash the workers that start them, and the runs beside them."""

import asyncio

import pytest

from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue

pytestmark = pytest.mark.looptime


async def submit_deadly(cell, **changes):
    """Hand in a job whose first task crashes its workers; return its spec."""
    spec = make_job(**changes)
    cell.deadly_tasks.add(f"{spec.job}.0.0.0")
    await cell.submit(spec)
    return spec


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
