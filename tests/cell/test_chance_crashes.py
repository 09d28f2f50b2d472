"""Workers that crash by chance near starts, beside tasks that crash their workers."""

import asyncio
import random

import pytest

from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.workers import WorkerClient, WorkerTrouble

pytestmark = pytest.mark.looptime

# More than the crashes after which a task that causes them is given up.
CRASHES = 5


class UnluckyClient(WorkerClient):
    """Way to workers of which some crash silently just before they get a start."""

    def __init__(self, workers, crashes):
        super().__init__(workers)
        self.crashes = crashes

    async def start(self, worker, order):
        """Start a run, or let its worker crash."""
        if self.crashes:
            self.crashes -= 1
            self._workers[worker.worker].crash(is_silent=True)
        return await super().start(worker, order)


async def wait_for_starts(cell, spec, count):
    """Wait for a start of a job's first task, and return its worker."""
    async with asyncio.timeout(60.0):
        while cell.audit.count_starts(f"{spec.job}.0.0.0") < count:
            await asyncio.sleep(0.005)
    return cell.workers[cell.audit.starts[-1][2]]


@pytest.mark.parametrize("keeps_ids", [False, True])
@pytest.mark.parametrize(
    ("after_seconds", "is_silent"), [(0.02, True), (0.3, True), (0.3, False)]
)
async def test_a_job_is_not_failed_by_crashes_near_its_starts(
    after_seconds, is_silent, keeps_ids
):
    async with FleetCell(workers=8) as cell:
        cell.keeps_ids = keeps_ids
        spec = make_job()
        await cell.submit(spec, seconds=0.64)
        for crash in range(1, CRASHES + 1):
            worker = await wait_for_starts(cell, spec, crash)
            await asyncio.sleep(after_seconds)
            worker.crash(is_silent=is_silent)
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=60.0)


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_a_job_is_not_failed_by_crashes_before_its_starts(keeps_ids):
    async with FleetCell(workers=8) as cell:
        cell.keeps_ids = keeps_ids
        calls = UnluckyClient(cell.workers, CRASHES)
        owner, _, _ = cell.members[cell.find_owner()]._find_owner()
        owner._dispatcher._calls = calls
        spec = make_job()
        await cell.submit(spec, seconds=0.64)
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=120.0)
        assert calls.crashes == 0


@pytest.mark.parametrize("seed", range(4))
async def test_only_deadly_tasks_fail_while_workers_crash_by_chance(seed):
    # The audit counts the starts of deadly tasks after their crashes.
    chance = random.Random(seed)
    async with FleetCell(workers=12) as cell:
        cell.keeps_ids = bool(seed % 2)
        deadly, others = [], []
        for number in range(1, 61):
            spec = make_job(number, count=2)
            if number % 10 == 0:
                cell.deadly_tasks.add(f"{spec.job}.0.0.0")
                deadly.append(spec)
            else:
                others.append(spec)
            await cell.submit(spec, seconds=chance.uniform(0.3, 2.0))
            await asyncio.sleep(chance.uniform(0.0, 0.3))
            if number % 3 == 0:
                up = [
                    worker
                    for worker in cell.workers.values()
                    if worker.trouble is WorkerTrouble.NONE
                ]
                chance.choice(up).crash(is_silent=chance.random() < 0.5)
        for spec in others:
            await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=120.0)
        for spec in deadly:
            await cell.wait_for_state(spec, JobState.FAILED, seconds=120.0)
