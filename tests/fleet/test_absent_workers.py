"""Workers that are cut off or restart, with owners as real processes."""

import asyncio

import orjson
import pytest

from standins.fleet.processes import ProcessCell
from standins.fleet.workers import WorkerTrouble

pytestmark = pytest.mark.timeout(90)

JOB = f"{1:016x}"
TASK_SECONDS = 9.0
# Three status intervals after the last status, the entry of a silent worker is removed.
ENTRY_LIFETIME_SECONDS = 4.5
# The cut ends before the lease of 6 s does.
CUT_SECONDS = 5.2
DRAIN_MS = 20_000


async def wait_for_start(cell):
    """Wait until a task has started; return its worker."""
    async with asyncio.timeout(10.0):
        while not cell.audit.starts:
            await asyncio.sleep(0.01)
    _, _, name = cell.audit.starts[0]
    return next(worker for worker in cell.workers if worker.info.worker == name)


async def test_worker_that_drains_behind_a_cut_keeps_its_run(tmp_path):
    # Guards against a second run of a task on another worker, under the same owner, as
    # soon as the entry of its draining worker is removed.
    async with ProcessCell(
        tmp_path, members=1, workers=2, task_seconds=TASK_SECONDS
    ) as cell:
        await cell.wait_for_owner()
        await cell.submit(JOB, count=1)
        worker = await wait_for_start(cell)
        cell.list_worker(worker, is_draining=True, remaining_ms=DRAIN_MS)
        await asyncio.sleep(0.1)
        await cell.cut_off_worker(worker)
        await asyncio.sleep(ENTRY_LIFETIME_SECONDS - 0.1)
        cell.remove_entry(worker)
        await asyncio.sleep(CUT_SECONDS - ENTRY_LIFETIME_SECONDS)
        await cell.reconnect_worker(worker)
        cell.list_worker(worker)
        await cell.wait_for_state(JOB, "completed")
        assert cell.audit.violations == []
        assert len(cell.audit.starts) == 1


async def wait_for_unanswered_start(cell):
    """Wait until a start got no answer; return its worker."""
    log = cell.folder / "m0.log"
    async with asyncio.timeout(10.0):
        while "run_unanswered" not in log.read_text():
            await asyncio.sleep(0.02)
    lines = map(orjson.loads, log.read_text().splitlines())
    name = next(line for line in lines if line["event"] == "run_unanswered")["worker"]
    return next(worker for worker in cell.workers if worker.info.worker == name)


async def test_late_order_to_a_worker_that_restarts_runs_once(tmp_path):
    # Guards against a second run of a task whose start got no answer: its worker
    # restarts under its id, and the new process carries the order out.
    async with ProcessCell(tmp_path, members=1, workers=2, task_seconds=3.0) as cell:
        await cell.wait_for_owner()
        for worker in cell.workers:
            worker.trouble, worker.late_seconds = WorkerTrouble.ORDERS_LATE, 1.5
        await cell.submit(JOB, count=1)
        restarted = await wait_for_unanswered_start(cell)
        for worker in cell.workers:
            worker.trouble = WorkerTrouble.NONE
        restarted.be_reborn(2)
        cell.list_worker(restarted)
        await cell.wait_for_state(JOB, "completed")
        assert cell.audit.violations == []
        assert len(cell.audit.starts) == 1
