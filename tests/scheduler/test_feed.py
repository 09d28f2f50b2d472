"""Tests of the data that the planner gets about workers, jobs and peers."""

import pytest

from cactustiller.model import JobRecord, RunState, TaskRecord, TaskState
from cactustiller.model.codec import Frame, decode_frame, encode_frame
from cactustiller.model.messages import RunKey, RunReport
from cactustiller.policy import Amounts, Claim, RunTimes
from cactustiller.ports.records import InstanceListing, WorkerInfo
from cactustiller.scheduler.clock import WallClock
from cactustiller.scheduler.feed import PlannerFeed
from cactustiller.scheduler.jobs import JobEntry, end_task
from cactustiller.scheduler.views import CellView
from cactustiller.settings import ResolvedValues
from tests.policy.builders import make_job, make_resources

pytestmark = pytest.mark.looptime


class FakeMember:
    def __init__(self, member):
        self.member = member


class FakeHome:
    def __init__(self, jobs):
        self.home = "home-01"
        self.is_recovered = True
        self.jobs = {entry.job: entry for entry in jobs}
        self.changed_jobs = set()
        self.ended_runs = []
        self.run_times = RunTimes()


def make_entry(job="j-0", tasks=4, **changes):
    spec = make_job(job, tasks=tasks).spec.with_changes(**changes)
    return JobEntry.recover(JobRecord(job=job, spec=spec, submitted_at=0.0), [])


def make_feed(entries=(), member="m-1", values=None):
    view = CellView()
    info = WorkerInfo(
        worker="w-0", address="", rack="r", zone="a", resources=make_resources(8000)
    )
    view.set_listing(InstanceListing(workers=[info]))
    home = FakeHome(entries)
    values = values or ResolvedValues()
    homes = {home.home: home}
    clock = WallClock(0.0)
    feed = PlannerFeed(FakeMember(member), homes, view, clock, lambda *_: values)
    feed.update()
    return feed, home


async def test_pending_work_of_a_peer_is_added_and_removed_with_the_peer():
    sender, _ = make_feed([make_entry()])
    message = sender.list_usage(True, {"m-1", "m-2"})
    message = decode_frame(encode_frame(Frame(1, False, message))).message
    receiver, _ = make_feed(member="m-2")
    receiver.receive_usage(message)
    team = receiver.planner.state.teams["t-0"]
    assert team.is_remote
    assert team.remote_waiting == Amounts(4000, 4096, 0)
    receiver.list_usage(False, {"m-2"})
    assert not receiver.planner.state.teams


async def test_only_changed_teams_are_sent():
    feed, home = make_feed([make_entry()])
    assert feed.list_usage(False, set()).teams
    assert feed.list_usage(False, set()) is None
    home.jobs["j-0"].waiting.clear()
    home.changed_jobs.add("j-0")
    feed.update()
    assert [usage.team for usage in feed.list_usage(False, set()).teams] == ["t-0"]


async def test_claims_reach_peers():
    sender, _ = make_feed([make_entry()])
    claim = Claim("j-0", since=1.0, start_at=60.0, tasks={"w-0": 2})
    claim.reserved = {"w-0": Amounts(2000, 2048, 0)}
    sender.planner.claims.own["j-0"] = claim
    message = sender.list_usage(False, set())
    receiver, _ = make_feed(member="m-2")
    receiver.receive_usage(decode_frame(encode_frame(Frame(1, False, message))).message)
    assert receiver.planner.claims.peers == [claim]


async def test_job_that_no_listed_worker_can_run_has_an_obstacle():
    feed, _ = make_feed()
    spec = make_job(resources=make_resources(9000)).spec
    assert "nearest is w-0" in feed.find_infeasible_reason(spec)
    assert feed.find_infeasible_reason(make_job().spec) == ""


async def test_jobs_of_a_lost_home_are_removed_from_the_planner():
    feed, home = make_feed([make_entry()])
    assert "j-0" in feed.planner.state.jobs
    home.is_recovered = False
    feed.update()
    assert not feed.planner.state.jobs
    assert not feed.planner.state.teams


@pytest.mark.parametrize(("stops", "may_stop"), [(2, True), (3, False)])
async def test_task_is_preempted_at_most_as_often_as_its_queue_allows(stops, may_stop):
    entry = make_entry(tasks=1)
    entry.waiting.clear()
    entry.tasks[0] = TaskRecord(
        job="j-0", index=0, state=TaskState.RUNNING, preemptions=stops, worker="w-0"
    )
    feed, _ = make_feed([entry], values=ResolvedValues(max_preemptions=3))
    assert feed.planner.state.running["j-0"][0].is_preemptible is may_stop


def test_stopped_task_is_pending_again_and_has_not_failed():
    entry = make_entry(tasks=1, max_attempts=1)
    task = TaskRecord(job="j-0", index=0, state=TaskState.RUNNING, attempt=1)
    key = RunKey(job="j-0", index=0, attempt=1)
    report = RunReport(run=key, state=RunState.STOPPED, worker="w-0")
    ended = end_task(entry.record, task, report, 5.0)
    assert ended.state is TaskState.WAITING
    assert (ended.failures, ended.preemptions) == (0, 1)
