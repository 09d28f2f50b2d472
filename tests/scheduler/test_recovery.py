import asyncio

import pytest

from cactustiller.model import JobState, Outcome, TaskState
from cactustiller.ownership import home_of_team
from cactustiller.scheduler.incarnation import Incarnation
from cactustiller.settings import default_tree
from tests.scheduler.builders import LIMITED_TEAM, MemoryCell, build_spec

pytestmark = pytest.mark.looptime


@pytest.fixture
async def cell():
    # Time is virtual only inside the test, so the test starts the cell.
    cell = MemoryCell()
    yield cell
    await cell.stop()


def is_over(cell, job):
    entry = cell.find_entry(job)
    return entry is not None and entry.is_over


def count_running(cell):
    report = cell.check()
    return report.starts - report.ends


async def submit(cell, job, **values):
    answer = await cell.submit(job, build_spec(**values))
    assert answer.is_ok(), answer


async def test_job_runs_once_without_faults(cell):
    await cell.start()
    await submit(cell, "j1", tasks=8)
    await cell.wait_for(lambda: is_over(cell, "j1"))
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (8, 0)
    assert cell.list_rows("task/") == cell.list_rows("run/") == []


async def test_job_finishes_if_its_last_tasks_are_reported_during_another_write(cell):
    await cell.start()
    await submit(cell, "j1", tasks=6, run_seconds=3.0)
    await cell.wait_for(lambda: count_running(cell) == 6)
    # Each shard reports separately, so several reports arrive during one write.
    cell.table.latency_seconds = 1.0
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert cell.find_entry("j1").record.state is JobState.SUCCEEDED


async def test_work_of_a_killed_owner_continues_and_runs_once(cell):
    await cell.start()
    await submit(cell, "j1", tasks=8, run_seconds=8.0)
    await cell.wait_for(lambda: count_running(cell) == 8)
    await cell.find_owner(home_of_team("free")).kill()
    await cell.wait_for(lambda: is_over(cell, "j1"))
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (8, 0)


@pytest.mark.parametrize("seconds", [0.011, 0.016, 0.021, 0.026, 0.031, 0.04])
async def test_home_killed_between_commit_start_and_record(cell, seconds):
    await cell.start()
    await submit(cell, "j1", tasks=8, run_seconds=4.0)
    await asyncio.sleep(seconds)
    await cell.find_owner(home_of_team("free")).kill()
    await cell.wait_for(lambda: is_over(cell, "j1"))
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (8, 0)


async def test_two_owners_lost_simultaneously_are_both_taken_over(cell):
    await cell.start()
    await submit(cell, "j1", tasks=8, run_seconds=8.0)
    await cell.wait_for(lambda: count_running(cell) == 8)
    survivor = cell.find_owner(home_of_team("free"))
    lost = [daemon for daemon in cell.daemons if daemon is not survivor]
    await asyncio.gather(*(daemon.kill() for daemon in lost))
    await cell.wait_for(cell.is_settled, 10.0)
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert cell.assert_safe().starts == 8


async def test_all_schedulers_restarted_at_once(cell):
    await cell.start()
    await submit(cell, "j1", tasks=8, run_seconds=8.0)
    await cell.wait_for(lambda: count_running(cell) == 8)
    await asyncio.gather(*(daemon.kill() for daemon in cell.daemons))
    for daemon in cell.daemons:
        daemon.start()
    await cell.wait_for(lambda: is_over(cell, "j1"))
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (8, 0)


async def test_owner_paused_beyond_its_lease_is_fenced_and_joins_again(cell):
    await cell.start()
    await submit(cell, "j1", tasks=4, run_seconds=30.0)
    await cell.wait_for(lambda: count_running(cell) == 4)
    owner = cell.find_owner(home_of_team("free"))
    previous = owner.incarnation
    owner.pause()
    await asyncio.sleep(6.0)
    owner.resume()
    await cell.wait_for(lambda: previous.member.is_fenced)
    await cell.wait_for(lambda: owner.incarnation is not previous)
    await cell.wait_for(cell.is_settled)
    assert owner.member.has_lease()
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert cell.assert_safe().starts == 4


@pytest.mark.parametrize("honours_epochs", [True, False])
async def test_late_start_of_a_paused_owner_runs_nothing_twice(honours_epochs):
    cell = MemoryCell(honours_epochs=honours_epochs)
    await cell.start()
    shard_owner = cell.find_owner("shard-r0")
    for worker in ("w00", "w01"):
        cell.workers.late_seconds[worker] = 8.0
    await submit(cell, "j1", tasks=20, run_seconds=6.0)
    await asyncio.sleep(0.2)
    shard_owner.pause()
    cell.workers.late_seconds.clear()
    await asyncio.sleep(7.0)
    shard_owner.resume()
    await cell.wait_for(lambda: is_over(cell, "j1"), 120.0)
    assert cell.assert_safe().succeeded_twice == 0
    await cell.stop()


async def test_outage_keeps_running_work_and_starts_assigned_work(cell):
    await cell.start()
    await submit(cell, "j1", tasks=6, run_seconds=100.0)
    await cell.wait_for(lambda: count_running(cell) == 6)
    cell.table.is_down = True
    await asyncio.sleep(90.0)
    assert count_running(cell) == 6
    refused = await cell.submit("j2", build_spec())
    assert refused.unwrap_err().outcome is Outcome.NOT_RUN
    assert refused.unwrap_err().retry_after_ms
    cell.table.is_down = False
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert cell.list_rows("job/")[0].endswith("/j1")
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (6, 0)
    assert "j2" not in {event.job for event in cell.workers.history.show()}


async def test_assigned_work_starts_during_an_outage(cell):
    await cell.start()
    cell.workers.down.update(["w00", "w10", "w20"])
    await submit(cell, "j1", tasks=12, run_seconds=5.0)
    # The workers become unreachable between the reservations and the starts.
    await cell.wait_for(lambda: cell.list_rows("run/"))
    cell.workers.down.update(cell.workers.workers)
    cell.table.is_down = True
    await asyncio.sleep(3.0)
    starts = cell.check().starts
    cell.workers.down.clear()
    await cell.wait_for(lambda: cell.check().starts > starts or starts == 12)
    assert cell.table.is_down
    cell.table.is_down = False
    await cell.wait_for(lambda: is_over(cell, "j1"), 120.0)
    assert cell.assert_safe().succeeded_twice == 0


async def test_unreachable_worker_counts_as_full_until_its_leases_expire(cell):
    await cell.start()
    await submit(cell, "j1", tasks=24, run_seconds=20.0)
    await cell.wait_for(lambda: count_running(cell) == 24)
    cell.workers.down.add("w00")
    held = 4
    await asyncio.sleep(3.0)
    session = cell.find_owner("shard-r0").incarnation.partitions.shards["shard-r0"]
    assert session.sessions["w00"].free.cpu_millis == 0
    assert cell.check().starts == 24
    await cell.wait_for(lambda: is_over(cell, "j1"), 120.0)
    report = cell.assert_safe()
    assert report.starts == 24 + held
    assert report.succeeded_twice == 0


async def test_tasks_of_a_restarted_worker_run_again(cell):
    await cell.start()
    await submit(cell, "j1", tasks=24, run_seconds=5.0)
    await cell.wait_for(lambda: count_running(cell) == 24)
    cell.workers.workers["w00"].restart()
    await cell.wait_for(lambda: is_over(cell, "j1"))
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (28, 0)


async def test_lost_answers_lose_and_repeat_nothing(cell):
    await cell.start()
    for number in range(10):
        cell.table.lose_next = 2
        await submit(cell, f"j{number}", tasks=3, run_seconds=1.0)
    for number in range(10):
        cell.table.lose_next = 3
        await cell.wait_for(lambda name=f"j{number}": is_over(cell, name))
    report = cell.assert_safe()
    assert (report.starts, report.succeeded_twice) == (30, 0)


async def test_cancelled_job_leaves_no_rows_and_no_usage(cell):
    await cell.start()
    await submit(cell, "j1", team=LIMITED_TEAM, tasks=9, run_seconds=60.0)
    await cell.wait_for(lambda: count_running(cell) == 4)
    assert (await cell.cancel("j1")).is_ok()
    await cell.wait_for(lambda: is_over(cell, "j1"))
    await cell.wait_for(lambda: not cell.list_rows("task/"))
    home = home_of_team(LIMITED_TEAM)
    owner = cell.find_owner(home)
    used, count = owner.incarnation.partitions.homes[home].find_usage(LIMITED_TEAM)
    assert (used.cpu_millis, count) == (0, 0)
    assert cell.find_entry("j1").record.state is JobState.CANCELLED


async def test_cancellation_committed_by_a_lost_owner_is_completed(cell):
    await cell.start()
    await submit(cell, "j1", tasks=4, run_seconds=60.0)
    await cell.wait_for(lambda: count_running(cell) == 4)
    cell.workers.down.update(cell.workers.workers)
    assert (await cell.cancel("j1")).is_ok()
    await cell.find_owner(home_of_team("free")).kill()
    cell.workers.down.clear()
    await cell.wait_for(lambda: count_running(cell) == 0)
    await cell.wait_for(lambda: is_over(cell, "j1") and not cell.list_rows("task/"))
    states = {task.state for task in cell.find_entry("j1").tasks.values()}
    assert states <= {TaskState.CANCELLED}


async def test_unexpected_exception_ends_the_incarnation_not_the_daemon(cell):
    await cell.start()
    owner = cell.daemons[0]
    previous = owner.incarnation
    previous.dispatcher.run_round = None
    previous.dispatcher.wake()
    await cell.wait_for(lambda: owner.incarnation is not previous)
    await cell.wait_for(cell.is_settled)
    await submit(cell, "j1", tasks=4)
    await cell.wait_for(lambda: is_over(cell, "j1"))


async def test_lost_owner_is_taken_over_within_a_lease_and_a_heartbeat(cell):
    await cell.start()
    owner = cell.find_owner("shard-r0")
    await owner.kill()
    seconds = await cell.wait_for(cell.is_settled)
    # The last renewal may be one heartbeat old; reads take milliseconds.
    assert seconds < cell.timing.lease_seconds * 1.02 + 0.5 + 0.2


async def test_start_whose_assignment_cannot_be_read_yet_is_resent(cell):
    await cell.start()
    # The reservations expire during the commit, so the shard verifies each start.
    await submit(cell, "j1", tasks=20, run_seconds=1.0)
    cell.table.is_down = True
    await asyncio.sleep(12.0)
    cell.table.is_down = False
    while not cell.list_rows("run/"):
        await asyncio.sleep(0.001)
    cell.table.is_down = True
    await asyncio.sleep(8.0)
    cell.table.is_down = False
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert cell.assert_safe().succeeded_twice == 0


async def test_nothing_is_placed_while_the_settings_are_unknown(cell):
    await cell.start()
    owner = cell.find_owner(home_of_team("free")).incarnation
    owner.are_settings_known = False
    await submit(cell, "j1", tasks=4)
    await asyncio.sleep(5.0)
    assert cell.check().starts == 0
    owner.are_settings_known = True
    await cell.wait_for(lambda: is_over(cell, "j1"))


async def test_limits_of_a_team_missing_from_the_settings_are_unknown(cell):
    await cell.start()
    owner = cell.daemons[0].incarnation
    owner.replica.tree = default_tree("s", "c")
    assert Incarnation.find_values(owner, "free", "q") is None
    owner.replica.tree = None
    assert Incarnation.find_values(owner, "free", "q") is None
