"""Amounts beyond the range of a message: published at its bounds."""

import pytest

from cactustiller.model import Resources, RunRecord, TaskTemplate
from cactustiller.model.codec import Frame, encode_frame
from cactustiller.model.messages import PublishUsage, PublishWorkers, WorkerView
from cactustiller.policy import Amounts
from cactustiller.ports import WorkerInfo
from cactustiller.scheduler.digests import _make_usage
from cactustiller.scheduler.runs import RunEntry, RunPhase
from cactustiller.scheduler.sessions import WorkerSession
from cactustiller.settings import TimingSettings

pytestmark = pytest.mark.looptime
LARGE = Resources(cpu_millis=4000, memory_mib=400, accelerators=1)


async def test_worker_that_was_made_smaller_than_its_runs_has_nothing_free():
    # The negative amounts could not be sent, and with them no digest of its member.
    small = Resources(cpu_millis=1000, memory_mib=800)
    info = WorkerInfo(worker="w1", address="", rack="r", zone="a", resources=small)
    session = WorkerSession(info, None, None, TimingSettings(), lambda _: None)
    template = TaskTemplate(resources=LARGE)
    run = RunRecord(
        job="j",
        index=0,
        attempt=1,
        home="h",
        team="t",
        worker="w1",
        template=template,
        kind="batch",
    )
    session.add(RunEntry(run, RunPhase.RUNNING))
    session.is_reconciled = session.is_reachable = True
    assert session.free == Resources(memory_mib=400)
    view = WorkerView(worker="w1", shard="s", free=session.free, usable=True)
    message = PublishWorkers(member="s1", full=True, workers=[view])
    encode_frame(Frame(1, False, message))


def test_usage_beyond_the_range_is_published_at_its_bound():
    # Sums over the tasks of many jobs have no bound, those of a message have.
    usage = _make_usage("t", Amounts(2**70, 2**70, 2**40), Amounts(1, -1, 2**33))
    message = PublishUsage(member="s1", full=True, teams=[usage])
    encode_frame(Frame(1, False, message))
    assert usage.waiting.cpu_millis == 1
