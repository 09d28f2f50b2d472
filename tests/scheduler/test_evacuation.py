"""Evacuated zones at the owners of shards and at homes."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactustiller.model import TaskState
from cactustiller.model.messages import StartRuns
from cactustiller.ownership import home_of_team
from cactustiller.scheduler.runs import make_run_key
from tests.scheduler.builders import MemoryCell
from tests.scheduler.evacuations import (
    BOUND_SECONDS,
    build_runs,
    change,
    count_running,
    find_home,
    find_running,
    find_shard,
    hold_job,
    is_over,
    list_starts,
    reserve,
    start,
    submit,
)

pytestmark = pytest.mark.looptime
ZONES = "abc"
EVACUATED = "zone a is being evacuated"


@pytest.fixture
async def cell():
    # Time is virtual only inside the test, so the test starts the cell.
    cell = MemoryCell()
    yield cell
    await cell.stop()


async def test_nothing_starts_after_the_confirmation_and_running_tasks_finish(cell):
    """Guards against starts in the zone, and against stopped tasks."""
    await start(cell)
    await submit(cell, "j1", tasks=40, run_seconds=3.0)
    await cell.wait_for(lambda: count_running(cell, "a") == 8)
    confirmed_at = await change(cell, "a")
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert list_starts(cell, "a", confirmed_at + BOUND_SECONDS) == []
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (40, 0)
    await change(cell, "a", False)
    await submit(cell, "j2", tasks=24, run_seconds=3.0)
    await cell.wait_for(lambda: count_running(cell, "a") == 8)


@pytest.mark.parametrize("delay", [0.0, 0.01, 0.02, 0.03, 0.05, 0.2])
async def test_evacuation_during_placements(cell, delay):
    """Guards against runs that were planned, reserved or committed before.

    Whatever the moment, nothing starts later than the bound, and each task runs once.
    """
    await start(cell)
    await submit(cell, "j1", tasks=20, run_seconds=2.0)
    await asyncio.sleep(delay)
    confirmed_at = await change(cell, "a")
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert list_starts(cell, "a", confirmed_at + BOUND_SECONDS) == []
    report = cell.assert_safe()
    assert report.succeeded_twice == 0
    tasks = cell.find_entry("j1").tasks.values()
    assert all(task.failures == 0 for task in tasks)


async def test_reservation_is_refused_and_a_gang_whole(cell):
    """Guards against capacity that is held in the zone, or half of a gang's."""
    await start(cell)
    await hold_job(cell, 2)
    await change(cell, "a")
    shard = find_shard(cell)
    (result,) = reserve(shard, build_runs(cell, ["w00"]))
    assert (result.granted, result.reason) == (False, EVACUATED)
    results = reserve(shard, build_runs(cell, ["w00", "w01"]), all_or_none=True)
    assert [item.granted for item in results] == [False, False]
    assert all(not item.entries for item in shard.sessions.values())


async def test_reserved_run_is_not_started_and_not_counted_as_failed(cell):
    """Guards against a reservation that outlives the evacuation."""
    await start(cell)
    await hold_job(cell, 1)
    shard = find_shard(cell)
    runs = build_runs(cell, ["w00"])
    assert (reserve(shard, runs))[0].granted
    confirmed_at = await change(cell, "a")
    message = StartRuns(shard=shard.shard, runs=runs, epoch=shard.epoch)
    for reason in (EVACUATED, "this attempt has ended"):
        (refusal,) = (await shard.start_runs(message)).refused
        assert (refusal.run, refusal.reason) == (make_run_key(runs[0]), reason)
    await asyncio.sleep(2.0)
    assert list_starts(cell, "a", confirmed_at) == []
    assert all(not item.entries for item in shard.sessions.values())


async def test_unreserved_run_is_not_started(cell):
    """Guards against the start of a committed run whose reservation has expired."""
    await start(cell)
    await hold_job(cell, 1)
    shard = find_shard(cell)
    runs = build_runs(cell, ["w00"])
    home = find_home(cell)
    entry = cell.find_entry("j1")
    entry.begin_placing(0)
    assert (await home.commit_runs({shard.shard: runs})).is_ok()
    confirmed_at = await change(cell, "a")
    message = StartRuns(shard=shard.shard, runs=runs, epoch=0)
    (refusal,) = (await shard.start_runs(message)).refused
    assert refusal.reason == EVACUATED
    await home.unassign(shard.shard, shard.epoch, [(refusal.run, refusal.reason)])
    task = entry.tasks[0]
    assert (task.state, task.failures) == (TaskState.WAITING, 0)
    assert list_starts(cell, "a", confirmed_at) == []


async def test_start_that_waits_for_its_worker_is_withdrawn(cell):
    """Guards against a start that is sent once an unreachable worker is back."""
    await start(cell)
    await hold_job(cell, 1)
    shard = find_shard(cell)
    runs = build_runs(cell, ["w00"])
    assert (reserve(shard, runs))[0].granted
    cell.workers.down.add("w00")
    session = shard.sessions["w00"]
    session.is_reachable = False
    session.request_start(session.entries[make_run_key(runs[0])])
    confirmed_at = await change(cell, "a")
    await asyncio.sleep(1.0)
    cell.workers.down.clear()
    await asyncio.sleep(5.0)
    assert list_starts(cell, "a", confirmed_at) == []
    assert all(not entry.holds_capacity for entry in session.entries.values())


@pytest.mark.parametrize("arrives", [True, False])
async def test_start_that_was_sent_is_unaffected_and_not_repeated(cell, arrives):
    """Guards against a second start message, and against a stopped or lost run.

    The message is unanswered at the evacuation: it arrives late, or never.
    """
    await start(cell)
    await hold_job(cell, 1)
    shard = find_shard(cell)
    runs = build_runs(cell, ["w00"])
    assert (reserve(shard, runs))[0].granted
    session = shard.sessions["w00"]
    key = make_run_key(runs[0])
    cell.workers.late_seconds["w00"] = 0.3 if arrives else 60.0
    session.request_start(session.entries[key])
    await asyncio.sleep(0.05)
    await change(cell, "a")
    cell.workers.late_seconds.clear()
    await asyncio.sleep(1.0)
    if arrives:
        assert len(list_starts(cell, "a")) == 1
        assert session.entries[key].phase.value == "running"
        return
    # The message may still take effect, so the capacity is held.
    assert session.entries[key].holds_capacity
    await asyncio.sleep(cell.timing.start_window_seconds + 3.0)
    assert key not in session.entries or not session.entries[key].holds_capacity
    assert list_starts(cell, "a") == []


async def test_digests_show_the_evacuation_at_once_at_all_members(cell):
    """Guards against homes that plan with the zone's workers until the next digest."""
    await start(cell)
    await change(cell, "a")
    # Two messages between members, well below the interval of the digests.
    await asyncio.sleep(0.05)
    for daemon in cell.daemons:
        view = daemon.incarnation.view
        found = view._views["w00"]
        assert (found.usable, found.reason) == (False, EVACUATED)
        assert view.find_worker("w00").is_evacuated
        assert view._views["w10"].usable
    await change(cell, "a", False)
    await asyncio.sleep(0.05)
    for daemon in cell.daemons:
        assert daemon.incarnation.view._views["w00"].usable


async def test_home_with_the_version_needs_no_digest(cell):
    """Guards against claims and preemption there while a shard's owner lacks it."""
    await start(cell)

    async def skip():
        return

    for daemon in cell.daemons:
        daemon.incarnation.exchange._publish = skip
    await change(cell, "a")
    await asyncio.sleep(0.1)
    for daemon in cell.daemons:
        fleet = daemon.incarnation.dispatcher.feed.planner.state.fleet
        assert not fleet.has_open("w00")
        assert fleet.has_open("w10")


async def test_all_zones_evacuated_jobs_are_accepted_and_wait(cell):
    """Guards against refusals and parked jobs, and a wait without a reason."""
    await start(cell)
    await change(cell, ZONES)
    await submit(cell, "j1", tasks=2, run_seconds=1.0)
    await asyncio.sleep(5.0)
    assert cell.check().starts == 0
    dispatcher = cell.find_owner(home_of_team("free")).incarnation.dispatcher
    assert "zones being evacuated: a, b, c" in dispatcher.explain_waiting("j1")[0]
    await change(cell, "b", False)
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert len(list_starts(cell, "b")) == 2


async def test_log_lines_and_gauge_name_the_zone(cell):
    """Guards against an evacuation that operators cannot see at the owners."""
    await start(cell)
    with capture_logs() as lines:
        await change(cell, "a")
        await asyncio.sleep(0.1)
        await change(cell, "a", False)
    version = find_running(cell).incarnation.replica.version
    found = [line for line in lines if line["event"].startswith("zone_")]
    for event, number in (("zone_evacuated", version - 1), ("zone_restored", version)):
        named = [line for line in found if line["event"] == event]
        assert {(line["zone"], line["version"]) for line in named} == {("a", number)}
        assert len(named) == len(cell.daemons)
        assert sum(line["workers"] for line in named) == 2
    await change(cell, "b")
    assert (
        '"evacuated_zones": {"b": 1}' in find_running(cell).incarnation.export_stats()
    )
