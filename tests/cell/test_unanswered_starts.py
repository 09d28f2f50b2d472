"""Workers that answer hold calls, but neither starts nor stops."""

import asyncio

import pytest

from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.workers import WorkerTrouble

pytestmark = pytest.mark.looptime

NEVER_SECONDS = 1e6
# A start and its stops go without an answer for 3 s, then the lease of 6 s expires.
RELEASE_SECONDS = 12.0
WORKERS = 2


def lose_orders(worker, late_seconds=NEVER_SECONDS):
    """Let a worker answer hold calls only; orders are carried out late, or never."""
    worker.trouble = WorkerTrouble.ORDERS_LATE
    worker.late_seconds = late_seconds


async def submit_large_jobs(cell, numbers):
    """Submit jobs of which each worker has room for one."""
    jobs = [make_job(number, cpu=20_000) for number in numbers]
    for spec in jobs:
        await cell.submit(spec)
    return jobs


async def test_a_task_leaves_a_worker_that_answers_hold_calls_only():
    # Guards against tasks that stay assigned without limit while leases are renewed.
    async with FleetCell(workers=WORKERS) as cell:
        lose_orders(cell.workers["w0"])
        jobs = await submit_large_jobs(cell, range(1, 3))
        async with asyncio.timeout(RELEASE_SECONDS):
            for spec in jobs:
                await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert {worker for _, _, worker in cell.audit.starts} == {"w1"}


async def test_a_start_carried_out_before_its_lease_expires_runs_once():
    async with FleetCell(workers=WORKERS) as cell:
        lose_orders(cell.workers["w0"], late_seconds=5.0)
        jobs = await submit_large_jobs(cell, range(1, 3))
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert cell.audit.violations == []


async def test_no_runs_are_placed_on_a_worker_with_an_unanswered_start():
    async with FleetCell(workers=WORKERS) as cell:
        lose_orders(cell.workers["w0"])
        await submit_large_jobs(cell, range(1, 3))
        await asyncio.sleep(2.0)
        worker = cell.find_engine().workers["w0"]
        now = asyncio.get_running_loop().time()
        assert worker.is_reachable
        assert not worker.is_schedulable(now)


async def test_other_runs_go_on_if_orders_are_answered_again():
    async with FleetCell(workers=1) as cell:
        first = make_job(1, cpu=1000, estimate_ms=1000)
        await cell.submit(first)
        await cell.wait_for_state(first, JobState.RUNNING)
        lose_orders(cell.workers["w0"])
        second = make_job(2)
        await cell.submit(second)
        await asyncio.sleep(4.5)
        cell.workers["w0"].trouble = WorkerTrouble.NONE
        await cell.wait_for_state(second, JobState.SUCCEEDED)
        assert not cell.find_engine().workers["w0"].is_lease_withheld
