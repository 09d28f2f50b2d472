"""Workers that are cut off or restart, with owners as real processes."""

import asyncio

import orjson
import pytest

from standins.fleet.hosts import Reach
from standins.fleet.processes import ProcessCell
from standins.fleet.registry import ENTRY_LIFETIME_SECONDS, EXPIRY_SECONDS
from standins.fleet.troubles import WorkerTrouble

pytestmark = pytest.mark.timeout(90)

JOB = f"{1:016x}"
TASK_SECONDS = 9.0
# The cut ends after the entry has expired and before the lease of 6 s does.
CUT_SECONDS = 5.2
DRAIN_SECONDS = 20.0


async def wait_for_start(cell):
    """Wait until a task has started; return its host."""
    async with asyncio.timeout(10.0):
        while not cell.audit.starts:
            await asyncio.sleep(0.01)
    _, _, name = cell.audit.starts[0]
    return next(host for host in cell.hosts if host.worker.info.worker == name)


async def test_worker_that_drains_behind_a_cut_keeps_its_run(tmp_path):
    # Guards against a second run of a task on another worker, under the same owner, as
    # soon as the entry of its draining worker is removed.
    async with ProcessCell(
        tmp_path, members=1, workers=2, task_seconds=TASK_SECONDS
    ) as cell:
        await cell.wait_for_owner()
        await cell.submit(JOB, count=1)
        host = await wait_for_start(cell)
        drain = asyncio.create_task(host.drain(DRAIN_SECONDS, 0.0, 0.0))
        await asyncio.sleep(0.1)
        cut = asyncio.create_task(host.cut_off(CUT_SECONDS, Reach.REFUSING))
        await asyncio.sleep(ENTRY_LIFETIME_SECONDS + 2 * EXPIRY_SECONDS)
        assert not cell.registry.is_listed(host.worker.info.worker)
        await cut
        await cell.wait_for_state(JOB, "completed")
        drain.cancel()
        assert cell.audit.violations == []
        assert len(cell.audit.starts) == 1


async def wait_for_unanswered_start(cell):
    """Wait until a start got no answer; return its host."""
    log = cell.folder / "m0.log"
    async with asyncio.timeout(10.0):
        while "run_unanswered" not in log.read_text():
            await asyncio.sleep(0.02)
    lines = map(orjson.loads, log.read_text().splitlines())
    name = next(line for line in lines if line["event"] == "run_unanswered")["worker"]
    return next(host for host in cell.hosts if host.worker.info.worker == name)


async def test_late_order_to_a_worker_that_restarts_runs_once(tmp_path):
    # Guards against a second run of a task whose start got no answer: its worker
    # restarts under its id, and the new process carries the order out.
    async with ProcessCell(tmp_path, members=1, workers=2, task_seconds=3.0) as cell:
        await cell.wait_for_owner()
        for host in cell.hosts:
            host.worker.trouble = WorkerTrouble.ORDERS_LATE
            host.worker.late_seconds = 1.5
        await cell.submit(JOB, count=1)
        restarted = await wait_for_unanswered_start(cell)
        for host in cell.hosts:
            host.worker.trouble = WorkerTrouble.NONE
        await restarted.crash(0.05)
        await cell.wait_for_state(JOB, "completed")
        assert cell.audit.violations == []
        assert len(cell.audit.starts) == 1
