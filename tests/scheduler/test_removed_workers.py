import asyncio

import pytest

from cactustiller.model import Resources, RunRecord, RunState, TaskTemplate
from cactustiller.ownership import OWNERSHIP_KEY
from cactustiller.ports import InstanceListing, Put, WorkerInfo, Write
from cactustiller.scheduler.clock import WallClock
from cactustiller.scheduler.partitions import Partitions
from cactustiller.scheduler.removals import REMOVAL_GRACE_SECONDS
from cactustiller.scheduler.shard import Shard
from cactustiller.settings import TimingSettings
from tests.scheduler.memory import NoEvacuations
from tests.scheduler.test_handover import member  # noqa: F401

pytestmark = pytest.mark.looptime
SHARD = "shard-r1"
RUN = RunRecord(
    job="j1",
    index=0,
    attempt=1,
    home="home-01",
    team="t",
    worker="w1",
    template=TaskTemplate(resources=Resources(cpu_millis=1)),
    kind="batch",
)
OTHER = WorkerInfo(
    worker="w2", address="", rack="r1", zone="a", resources=Resources(cpu_millis=9)
)


class SilentWorkers:
    """Workers that never answer."""

    async def watch(self, info, watch):
        await asyncio.Event().wait()


@pytest.fixture
async def shard(member):  # noqa: F811
    put = Put(key=f"run/{SHARD}/j1/0", value=RUN.model_dump(mode="json"))
    await member.committer.commit(Write(puts=[put]), "test")
    shard = Shard(SHARD, 1, member, SilentWorkers(), TimingSettings(), NoEvacuations())
    assert await shard.recover()
    yield shard
    await shard.stop()


async def list_ends(shard, seconds):
    await asyncio.sleep(seconds)
    await shard.set_workers({"w2": OTHER})
    reports = shard.list_unreported().get("home-01", [])
    return [report.state for report in reports]


async def test_run_of_a_worker_missing_from_a_lagging_list_does_not_end(shard):
    assert await list_ends(shard, 0) == []
    assert await list_ends(shard, REMOVAL_GRACE_SECONDS - 1) == []


async def test_run_of_a_worker_that_stays_missing_ends(shard):
    await list_ends(shard, 0)
    assert await list_ends(shard, REMOVAL_GRACE_SECONDS) == [RunState.LAPSED]


async def test_shard_starts_only_once_the_workers_are_listed(member):  # noqa: F811
    moved = member.ownership.assign({SHARD: member.record})
    put = Put(key=OWNERSHIP_KEY, value=moved.model_dump())
    await member.committer.commit(Write(puts=[put]), "test")
    await member.refresh()
    partitions = Partitions(
        member,
        SilentWorkers(),
        TimingSettings(),
        WallClock(0.0),
        print,
        NoEvacuations(),
    )
    partitions.on_ownership_change(member.ownership)
    running = asyncio.create_task(partitions.run())
    await asyncio.sleep(5)
    assert partitions.shards == {}
    await partitions.set_listing(InstanceListing(workers=[OTHER]))
    await asyncio.sleep(1)
    assert list(partitions.shards) == [SHARD]
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    await partitions.stop()
