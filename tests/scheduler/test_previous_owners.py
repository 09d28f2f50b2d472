import asyncio

import pytest
from result import Err, Ok

from cactustiller.model import (
    ErrorCode,
    Failure,
    Resources,
    RunRecord,
    RunState,
    TaskTemplate,
)
from cactustiller.ports import ApplyReply, TaskStatus, WatchReply, WorkerInfo
from cactustiller.scheduler.runs import RunEntry, RunPhase
from cactustiller.scheduler.sessions import OUTAGE_GRANT_SECONDS, WorkerSession
from cactustiller.settings import TimingSettings

pytestmark = pytest.mark.looptime
TIMING = TimingSettings()
CAPACITY = Resources(cpu_millis=1)


class Worker:
    """Worker port whose answers the test sets; its clock is the loop's."""

    def __init__(self):
        self.tasks = []
        self.boot = "a"
        self.is_down = False
        self.applied = []

    async def watch(self, info, watch):
        if watch.after:
            await asyncio.sleep(0.2)
        if self.is_down:
            return Err(Failure(code=ErrorCode.UNAVAILABLE, step="watch", reason="down"))
        now = asyncio.get_running_loop().time()
        return Ok(
            WatchReply(now=now, sequence=1, boot=self.boot, tasks=list(self.tasks))
        )

    async def apply(self, info, apply):
        self.applied.append(apply)
        if self.is_down:
            return Err(Failure(code=ErrorCode.UNAVAILABLE, step="apply", reason="down"))
        return Ok(ApplyReply(now=asyncio.get_running_loop().time()))


class Authority:
    shard, epoch, owner, is_fenced = "shard-r1", 2, "m1", False

    def latest_start(self, info, now):
        return now + 100

    def may_renew(self):
        return False

    def find_evacuation(self, zone):
        return ""


def build_entry(index, phase, **fields):
    record = RunRecord(
        job="j1",
        index=index,
        attempt=1,
        home="home-01",
        team="t",
        worker="w1",
        template=TaskTemplate(resources=CAPACITY),
        kind="batch",
        urgency="normal",
    )
    return RunEntry(record, phase, **fields)


def recover(index):
    return build_entry(index, RunPhase.RECOVERED, lease_until=None, is_inherited=True)


def build_status(index, state, lease_until=0.0):
    return TaskStatus(
        job="j1", index=index, attempt=1, state=state, lease_until=lease_until
    )


@pytest.fixture
async def build():
    sessions = []

    def build_session(worker, entries, honours_epochs=False):
        info = WorkerInfo(
            worker="w1",
            address="127.0.0.1:1",
            rack="r1",
            zone="a",
            resources=CAPACITY,
            honours_epochs=honours_epochs,
        )
        session = WorkerSession(info, Authority(), worker, TIMING, lambda _: None)
        for entry in entries:
            session.add(entry)
        session.start()
        sessions.append(session)
        return session

    yield build_session
    for session in sessions:
        await session.stop()


async def check_until(session, seconds):
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.5)
        session.check_deadlines()


async def test_previous_owner_may_renew_at_a_worker_that_ignores_epochs(build):
    worker = Worker()
    worker.tasks = [build_status(0, "running", lease_until=10.0)]
    entry = recover(0)
    session = build(worker, [entry])
    await asyncio.sleep(1)
    worker.is_down = True
    await check_until(session, OUTAGE_GRANT_SECONDS)
    assert entry.phase is RunPhase.RUNNING
    await check_until(session, 2 * TIMING.task_lease_seconds)
    assert entry.report.state is RunState.LAPSED


async def test_recovered_runs_beyond_the_capacity_do_not_start(build):
    worker = Worker()
    worker.tasks = [build_status(0, "running", lease_until=1e6)]
    fits, surplus = recover(0), recover(1)
    session = build(worker, [fits, surplus])
    await check_until(session, 1.0)
    assert surplus.holds_capacity  # The previous owner's start may be in flight.
    await check_until(session, TIMING.start_window_seconds + 1)
    assert surplus.report.state is RunState.STOPPED
    assert fits.phase is RunPhase.RUNNING
    assert not any(apply.starts for apply in worker.applied)


async def test_unanswered_start_keeps_a_restarted_run(build):
    worker = Worker()
    entry = build_entry(0, RunPhase.RUNNING, lease_until=1e6)
    session = build(worker, [])
    await asyncio.sleep(0.1)
    session.add(entry)
    # One start message was not answered, and the worker has restarted since.
    entry.unanswered_starts = 1
    entry.start_before = asyncio.get_running_loop().time() + 5.0
    worker.boot = "b"
    await check_until(session, 3.0)
    assert entry.holds_capacity
    await check_until(session, 4.0)
    assert entry.report.state is RunState.CRASHED


@pytest.mark.parametrize("is_answered", [True, False])
async def test_a_start_that_crashed_its_worker_is_not_sent_again(build, is_answered):
    worker = Worker()
    session = build(worker, [])
    await asyncio.sleep(0.1)
    entry = build_entry(0, RunPhase.RESERVED)
    session.add(entry)
    worker.is_down = not is_answered
    session.request_start(entry)
    await asyncio.sleep(0.01)
    worker.is_down, worker.boot = False, "b"
    await check_until(session, TIMING.start_window_seconds + 2.0)
    assert entry.report.state is RunState.CRASHED
    starts = [apply for apply in worker.applied if apply.starts]
    assert len(starts) == 1


async def test_run_whose_start_was_answered_ends_at_once(build):
    worker = Worker()
    session = build(worker, [])
    await asyncio.sleep(0.1)
    entry = build_entry(0, RunPhase.RESERVED)
    session.add(entry)
    session.request_start(entry)
    await asyncio.sleep(0.3)
    worker.tasks = [build_status(0, "succeeded")]
    await asyncio.sleep(0.5)
    assert entry.report.state is RunState.SUCCEEDED
