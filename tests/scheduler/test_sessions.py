import asyncio

import pytest
from result import Ok

from cactustiller.model import Resources, RunRecord, TaskTemplate
from cactustiller.ports import ApplyReply, TaskStatus, WatchReply, WorkerInfo
from cactustiller.scheduler.runs import RunEntry, RunPhase
from cactustiller.scheduler.sessions import WorkerSession
from cactustiller.settings import TimingSettings

pytestmark = pytest.mark.looptime
SMALL = Resources(cpu_millis=100)
TIMING = TimingSettings()
RUNS = 5


class FreeAuthority:
    """Authority that allows all starts and renewals."""

    shard, epoch, owner = "shard-a", 1, "m1"

    def latest_start(self, info, now):
        return now + 60.0

    def may_renew(self):
        return True

    def find_evacuation(self, zone):
        return ""


class CountingWorker:
    """Worker that records each call and asserts that no lease has expired."""

    def __init__(self):
        self.calls = []
        self.leases = {}

    async def apply(self, info, apply):
        now = asyncio.get_running_loop().time()
        for item in [*apply.starts, *apply.renew]:
            assert self.leases.get(item.index, now) >= now
            self.leases[item.index] = item.lease_until
        self.calls.append((now, len(apply.starts), len(apply.renew)))
        return Ok(ApplyReply(now=now))

    async def watch(self, info, watch):
        await asyncio.sleep(watch.wait_ms / 1000)
        now = asyncio.get_running_loop().time()
        return Ok(WatchReply(now=now, sequence=1, boot="b"))


def build_entry(index):
    record = RunRecord(
        job="j1",
        index=index,
        attempt=1,
        home="home-01",
        team="t",
        worker="w-1",
        template=TaskTemplate(resources=SMALL),
        kind="service",
    )
    return RunEntry(record, RunPhase.RESERVED, reserved_until_loop_seconds=1e9)


async def check_regularly(session):
    while True:
        await asyncio.sleep(0.5)
        session.check_deadlines()


async def test_leases_with_different_starts_are_renewed_together():
    info = WorkerInfo(
        worker="w-1",
        address="127.0.0.1:1",
        rack="a",
        zone="a",
        resources=SMALL.times(10),
    )
    worker = CountingWorker()
    changes = []
    session = WorkerSession(info, FreeAuthority(), worker, TIMING, changes.append)
    session.start()
    checking = asyncio.create_task(check_regularly(session))
    await asyncio.sleep(1)
    for index in range(RUNS):
        entry = build_entry(index)
        session.add(entry)
        session.request_start(entry)
        await asyncio.sleep(1.7)
    started = len(changes)
    seconds = 120
    await asyncio.sleep(seconds)
    renewals = [call for call in worker.calls if call[2]]
    full = [call for call in renewals if call[2] == RUNS]
    assert len(renewals) <= 2 + seconds / (TIMING.task_lease_seconds / 3)
    assert len(full) >= len(renewals) - 1
    assert len(changes) == started
    checking.cancel()
    await asyncio.gather(checking, return_exceptions=True)
    await session.stop()


async def test_lease_of_a_run_found_late_is_renewed_before_it_expires():
    info = WorkerInfo(
        worker="w-1",
        address="127.0.0.1:1",
        rack="a",
        zone="a",
        resources=SMALL.times(10),
    )
    worker = CountingWorker()
    session = WorkerSession(info, FreeAuthority(), worker, TIMING, lambda _: None)
    session.start()
    checking = asyncio.create_task(check_regularly(session))
    await asyncio.sleep(1)
    entry = build_entry(0)
    session.add(entry)
    session.request_start(entry)
    await asyncio.sleep(12)
    # A run of a previous owner has 2 s left of its lease, the others have 20 s.
    found = build_entry(1)
    found.phase, found.lease_until = RunPhase.RECOVERED, None
    session.add(found)
    now = asyncio.get_running_loop().time()
    worker.leases[1] = now + 2.0
    status = TaskStatus(
        job="j1", index=1, attempt=1, state="running", lease_until=worker.leases[1]
    )
    session._handle_status(status, now)
    await asyncio.sleep(1)
    assert worker.leases[1] > now + TIMING.task_lease_seconds / 2
    checking.cancel()
    await asyncio.gather(checking, return_exceptions=True)
    await session.stop()
