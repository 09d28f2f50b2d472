import pytest

from cactustiller.model import ErrorCode
from cactustiller.model.messages import SubmitJob
from cactustiller.ownership import OWNERSHIP_KEY, Member, OwnershipReconciler
from cactustiller.ports import Put, Write
from cactustiller.scheduler.clock import WallClock
from cactustiller.scheduler.home import Home
from cactustiller.settings import TimingSettings
from tests.scheduler.memory import SPEC, MemoryTable, build_record, refuse_all

pytestmark = pytest.mark.looptime
HOME = "home-01"


@pytest.fixture
async def member():
    member = Member(build_record("m1"), MemoryTable(), TimingSettings(), refuse_all)
    await member.start()
    yield member
    await member.stop()


async def assign_home(member, record):
    moved = member.ownership.assign({HOME: record})
    put = Put(key=OWNERSHIP_KEY, value=moved.model_dump())
    await member.committer.commit(Write(puts=[put]), "test")


async def test_home_commits_nothing_after_a_handover(member):
    await assign_home(member, member.record)
    await member.refresh()
    home = Home(HOME, 1, member, WallClock(0.0), lambda: None)
    assert await home.recover()
    await assign_home(member, build_record("m2"))
    message = SubmitJob(home=HOME, job="j1", spec=SPEC, key="k")
    failure = (await home.submit(message)).unwrap_err()
    assert failure.code is ErrorCode.NOT_OWNER
    assert (await member.table.scan_rows("job/")).unwrap() == []


async def test_failed_handover_reopens_the_partition(member):
    await assign_home(member, member.record)
    await member.refresh()
    other = build_record("m2")
    member.members["m2"] = other
    events = []

    async def release(partition):
        events.append(("release", partition))
        # The ownership row changes while this member releases the partition.
        await assign_home(member, member.record)

    reconciler = OwnershipReconciler(
        member, list, release, lambda name: events.append(("reopen", name)), 1.0
    )
    reconciler._plan_hand_over = lambda limit: {HOME: other}
    await reconciler._hand_over(1)
    assert events == [("release", HOME), ("reopen", HOME)]


async def test_member_knows_whether_an_earlier_process_of_it_had_joined():
    table = MemoryTable()
    first = Member(build_record("m1"), table, TimingSettings(), refuse_all)
    await first.start()
    assert not first.has_predecessor
    await first.stop()
    second = Member(build_record("m1"), table, TimingSettings(), refuse_all)
    await second.start()
    assert second.has_predecessor
    await second.stop()
