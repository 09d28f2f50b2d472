import asyncio

import pytest

from cactustiller.model import (
    ErrorCode,
    JobState,
    TaskState,
)
from cactustiller.model.messages import ReportRuns, RunKey, RunReport, SubmitJob
from cactustiller.ownership import OWNERSHIP_KEY, Member
from cactustiller.ports import Put, Write
from cactustiller.scheduler.clock import WallClock
from cactustiller.scheduler.home import Home
from cactustiller.scheduler.jobs import MAX_WORKER_CRASHES
from cactustiller.settings import TimingSettings
from tests.scheduler.memory import SPEC, MemoryTable, build_record, refuse_all

pytestmark = pytest.mark.looptime
HOME, SHARD = "home-01", "shard-r1"


async def assign_owners(member, **records):
    names = {"home": HOME, "shard": SHARD}
    moves = {names[name]: record for name, record in records.items()}
    moved = member.ownership.assign(moves)
    put = Put(key=OWNERSHIP_KEY, value=moved.model_dump())
    assert (await member.committer.commit(Write(puts=[put]), "test")).is_ok()


async def assign(home, worker):
    """Commit the next attempt of the only task to a worker; return its key."""
    entry = home.jobs["j1"]
    entry.begin_placing(0)
    run = home.make_run(entry, 0, worker)
    assert (await home.commit_runs({SHARD: [run]})).is_ok()
    return RunKey(job="j1", index=0, attempt=run.attempt)


def report(key, state, epoch=1):
    reports = [RunReport(run=key, state=state, worker="w1", reason="")]
    return ReportRuns(home=HOME, shard=SHARD, epoch=epoch, reports=reports)


@pytest.fixture
async def home():
    member = Member(build_record("m1"), MemoryTable(), TimingSettings(), refuse_all)
    await member.start()
    await assign_owners(member, home=member.record, shard=member.record)
    await member.refresh()
    home = Home(HOME, 1, member, WallClock(0.0), lambda: None)
    assert await home.recover()
    message = SubmitJob(home=HOME, job="j1", spec=SPEC, key="k")
    assert (await home.submit(message)).is_ok()
    yield home
    await home.stop()
    await member.stop()


async def test_late_refusal_does_not_end_the_next_attempt(home):
    first = await assign(home, "w1")
    assert (await home.record_reports(report(first, "failed"))).recorded == [first]
    second = await assign(home, "w2")
    await home.unassign(SHARD, 1, [(first, "this attempt has ended")])
    task = home.jobs["j1"].tasks[0]
    assert (task.state, task.attempt) == (TaskState.ASSIGNED, second.attempt)


async def test_late_refusal_does_not_repeat_a_finished_task(home):
    first = await assign(home, "w1")
    await home.record_reports(report(first, "succeeded"))
    await home.unassign(SHARD, 1, [(first, "this attempt has ended")])
    assert home.jobs["j1"].tasks[0].state is TaskState.SUCCEEDED


async def test_report_of_a_previous_shard_owner_ends_nothing(home):
    first = await assign(home, "w1")
    # The home has not yet read that another member took the shard over.
    await assign_owners(home._member, shard=build_record("m2"))
    await home.unassign(SHARD, 1, [(first, "the worker has too little free capacity")])
    answer = await home.record_reports(report(first, "lapsed"))
    assert answer.recorded == []
    assert home.jobs["j1"].tasks[0].state is TaskState.ASSIGNED
    answer = await home.record_reports(report(first, "lapsed", epoch=2))
    assert answer.recorded == [first]


async def test_a_task_that_crashes_its_workers_fails(home):
    for number in range(1, MAX_WORKER_CRASHES + 1):
        key = await assign(home, f"w{number}")
        await home.record_reports(report(key, "crashed"))
        if number < MAX_WORKER_CRASHES:
            assert home.jobs["j1"].tasks[0].state is TaskState.WAITING
    assert home.jobs["j1"].record.state is JobState.FAILED


async def test_leases_that_expire_fail_no_task(home):
    for number in range(1, 2 * MAX_WORKER_CRASHES):
        key = await assign(home, f"w{number}")
        await home.record_reports(report(key, "lapsed"))
        assert home.jobs["j1"].tasks[0].state is TaskState.WAITING


async def test_home_that_has_another_owner_records_nothing(home):
    first = await assign(home, "w1")
    await assign_owners(home._member, home=build_record("m2"))
    assert (await home.record_reports(report(first, "failed"))).recorded == []
    failure = (await home.commit_runs({})).unwrap_err()
    assert failure.code in (ErrorCode.CONFLICT, ErrorCode.NOT_OWNER)


async def test_new_owner_of_a_home_measures_waits_until_the_start_not_the_report(home):
    first = await assign(home, "w1")
    waits = []
    home.record_wait = lambda kind, team, queue, seconds: waits.append(seconds)
    # A shard reports a run that started long before to the new owner of the home.
    await asyncio.sleep(50)
    running = report(first, "running")
    found = running.reports[0].with_changes(run_seconds=49.0)
    await home.record_reports(running.with_changes(reports=[found]))
    assert 0.0 <= waits[0] < 2.0
