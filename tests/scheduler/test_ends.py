import asyncio

import pytest

from cactustiller.model import FailureError, JobState, Outcome, RunState
from cactustiller.model.messages import ReportRuns, RunReport, SubmitJob
from cactustiller.scheduler.clock import WallClock
from cactustiller.scheduler.home import Home
from cactustiller.scheduler.runs import make_run_key
from tests.scheduler.test_handover import HOME, SPEC, assign_home, member  # noqa: F401

pytestmark = pytest.mark.looptime


@pytest.fixture
async def home(member):  # noqa: F811
    await assign_home(member, member.record)
    await member.refresh()
    home = Home(HOME, 1, member, WallClock(0.0), lambda: None)
    assert await home.recover()
    yield home
    await home.stop()


async def start_job(home, shards):
    spec = SPEC.with_changes(task_count=len(shards))
    await home.submit(SubmitJob(home=HOME, job="j1", spec=spec, key="k"))
    entry = home.jobs["j1"]
    runs = {}
    for index, shard in enumerate(shards):
        entry.begin_placing(index)
        runs[shard] = [home.make_run(entry, index, f"w-{index}")]
    assert (await home.commit_runs(runs)).is_ok()
    return entry, runs


def report(shard, run, state=RunState.SUCCEEDED, run_seconds=0.0):
    found = RunReport(
        run=make_run_key(run), state=state, worker=run.worker, run_seconds=run_seconds
    )
    return ReportRuns(home=HOME, shard=shard, epoch=0, reports=[found])


async def test_job_whose_last_tasks_end_simultaneously_on_several_shards_finishes(home):
    entry, runs = await start_job(home, ["shard-a", "shard-b", "shard-c"])
    answers = await asyncio.gather(
        *(home.record_reports(report(shard, run)) for shard, (run,) in runs.items())
    )
    assert [len(answer.recorded) for answer in answers] == [1, 1, 1]
    assert entry.record.state is JobState.SUCCEEDED
    (row,) = (await home._member.table.scan_rows("job/")).unwrap()
    assert row.value["state"] == "succeeded"
    for prefix in ("task/", "run/"):
        assert (await home._member.table.scan_rows(prefix)).unwrap() == []


async def test_wait_ends_at_the_start_even_of_a_run_that_was_never_reported_running(
    home,
):
    waits = []
    home.record_wait = lambda kind, team, queue, seconds: waits.append(
        (kind, team, queue, seconds)
    )
    _, runs = await start_job(home, ["shard-a", "shard-b"])
    await asyncio.sleep(10)
    (seen,), (unseen,) = runs["shard-a"], runs["shard-b"]
    await home.record_reports(report("shard-a", seen, RunState.RUNNING))
    await home.record_reports(report("shard-a", seen, RunState.RUNNING))
    await home.record_reports(report("shard-b", unseen, run_seconds=4.0))
    assert [wait[:3] for wait in waits] == [("batch", "t", "q")] * 2
    assert [wait[3] for wait in waits] == pytest.approx([10.0, 6.0], abs=0.1)


@pytest.mark.parametrize("is_written", [False, True])
async def test_report_to_a_home_that_is_handed_over_fails_and_is_sent_again(
    home, is_written
):
    # The report loop of a shard on the same instance waits for the local home, so a
    # call without an end would hold up all later reports to the home's new owner.
    async def commit_for_ever(*arguments):
        await asyncio.Event().wait()

    _, runs = await start_job(home, ["shard-a"])
    home._recorder._commit = commit_for_ever
    if not is_written:
        home._recorder._wake = asyncio.Event()
    message = report("shard-a", runs["shard-a"][0])
    call = asyncio.create_task(home.record_reports(message))
    await asyncio.sleep(1.0)
    assert not call.done()
    await home.stop()
    with pytest.raises(FailureError) as failed:
        async with asyncio.timeout(1.0):
            await call
    assert failed.value.failure.outcome is Outcome.UNKNOWN
