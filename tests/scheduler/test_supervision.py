"""Unexpected errors in the background tasks of a scheduler: logged, and it goes on."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactustiller.model import JobState
from cactustiller.scheduler.daemon import run_incarnations
from cactustiller.scheduler.dispatch import Dispatcher
from cactustiller.scheduler.exchange import Exchange
from cactustiller.scheduler.home import Home
from cactustiller.scheduler.pools import CHECK_INTERVAL_SECONDS, Pool
from cactustiller.scheduler.recorder import Recorder
from cactustiller.scheduler.sessions import WorkerSession
from tests.scheduler.builders import MemoryCell, MemoryList, MemoryWorkers, build_spec
from tests.scheduler.builders import _PeerClient as PeerClient
from tests.scheduler.memory import MemoryTable

pytestmark = pytest.mark.looptime
FAULT_SECONDS = 4.0


@pytest.fixture
async def cell():
    # Time is virtual only inside the test, so the test starts the cell.
    cell = MemoryCell(schedulers=3, racks=2, workers_per_rack=2)
    yield cell
    await cell.stop()


def break_calls(monkeypatch, owner, method, period, is_chosen=lambda *arguments: True):
    """Let every `period`-th chosen call of a method raise while `fails` is set."""
    original = getattr(owner, method)
    state = {"count": 0, "raised": 0, "fails": False}

    def must_fail(arguments):
        if not (state["fails"] and is_chosen(*arguments)):
            return False
        state["count"] += 1
        state["raised"] += state["count"] % period == 0
        return state["count"] % period == 0

    async def call(*arguments, **options):
        if must_fail(arguments):
            raise RuntimeError("malformed")
        return await original(*arguments, **options)

    def call_now(*arguments, **options):
        if must_fail(arguments):
            raise RuntimeError("malformed")
        return original(*arguments, **options)

    is_async = asyncio.iscoroutinefunction(original)
    monkeypatch.setattr(owner, method, call if is_async else call_now)
    return state


def has_succeeded(cell, job):
    entry = cell.find_entry(job)
    return entry is not None and entry.find_state() is JobState.SUCCEEDED


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (MemoryTable, "read"),
        (MemoryTable, "transact"),
        (MemoryWorkers, "watch"),
        (MemoryWorkers, "apply"),
        (MemoryList, "list_instances"),
        (PeerClient, "call"),
        (Dispatcher, "run_round"),
        (Exchange, "_publish"),
        (Exchange, "_report"),
        (Home, "recover"),
        (Recorder, "_write_batch"),
        (WorkerSession, "check_deadlines"),
    ],
)
async def test_cell_goes_on_after_unexpected_errors(cell, monkeypatch, owner, method):
    period = 2 if method in ("apply", "_write_batch") else 3
    state = break_calls(monkeypatch, owner, method, period)
    await cell.start()
    await cell.submit("j1", build_spec(tasks=4, run_seconds=3.0))
    with capture_logs() as lines:
        state["fails"] = True
        await cell.submit("j2", build_spec(tasks=2, run_seconds=1.0))
        if method == "recover":
            await cell.daemons[0].kill()
            cell.daemons[0].start()
        await asyncio.sleep(FAULT_SECONDS)
        state["fails"] = False
        await cell.wait_for(cell.is_settled)
        await cell.submit("j3", build_spec(tasks=4, run_seconds=1.0))
        await cell.wait_for(lambda: has_succeeded(cell, "j3"))
        await cell.wait_for(lambda: has_succeeded(cell, "j1"))
    assert state["raised"]
    assert any(line["log_level"] == "error" for line in lines)
    assert not any(daemon._task.done() for daemon in cell.daemons)
    cell.assert_safe()


@pytest.mark.parametrize("method", ["watch", "apply"])
async def test_calls_of_one_worker_that_raise_end_no_scheduler(
    cell, monkeypatch, method
):
    # One worker ended the scheduler, and then each successor of its shard.
    state = break_calls(
        monkeypatch,
        MemoryWorkers,
        method,
        1,
        lambda workers, info, *rest: info.worker == "w00",
    )
    await cell.start()
    incarnations = [daemon.incarnation for daemon in cell.daemons]
    state["fails"] = True
    await cell.submit("j1", build_spec(tasks=12, run_seconds=2.0))
    await asyncio.sleep(FAULT_SECONDS)
    await cell.submit("j2", build_spec(tasks=4, run_seconds=1.0))
    await cell.wait_for(lambda: has_succeeded(cell, "j2"))
    assert state["raised"]
    assert [daemon.incarnation for daemon in cell.daemons] == incarnations
    state["fails"] = False
    await cell.wait_for(lambda: has_succeeded(cell, "j1"))
    cell.assert_safe()


async def test_incarnation_that_raises_is_followed_by_another():
    stop = asyncio.Event()
    runs = []

    class Failing:
        async def run(self, stop):
            runs.append(1)
            if len(runs) == 3:
                stop.set()
                return
            raise RuntimeError("malformed")

    with capture_logs() as lines:
        await run_incarnations(Failing, stop)
    assert len(runs) == 3
    failed = [line for line in lines if line["event"] == "incarnation_failed"]
    assert len(failed) == 2


async def test_pool_is_checked_on_after_unexpected_errors(monkeypatch):
    pool = Pool("prices", 1, (), lambda: True)
    checks = []

    async def check(call_gateways):
        checks.append(1)
        if len(checks) < 3:
            raise RuntimeError("malformed")

    monkeypatch.setattr(pool, "check", check)
    with capture_logs() as lines:
        pool.start(None)
        await asyncio.sleep(10 * CHECK_INTERVAL_SECONDS)
    assert len(checks) > 3
    assert {line["step"] for line in lines} == {"check pool prices"}
    await pool.stop()
