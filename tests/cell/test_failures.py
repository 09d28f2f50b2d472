"""Failures of members, workers and the store while jobs run."""

import asyncio

import pytest

from cactustiller.cell import Acceptance
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.store import Trouble
from standins.fleet.workers import LOST_SECONDS, WorkerTrouble

pytestmark = pytest.mark.looptime

LEASE_SECONDS = 6.0
# Time for which callers wait for an answer.
CALLER_SECONDS = 3.0


async def test_runs_go_on_when_their_owner_is_killed():
    async with FleetCell() as cell:
        spec = make_job(count=8)
        await cell.submit(spec, seconds=6.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        before = cell.find_owner()
        await cell.kill(before)
        await cell.wait_for_owner(besides=before)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 8


async def test_a_takeover_takes_less_than_three_seconds():
    async with FleetCell() as cell:
        before = cell.find_owner()
        await cell.kill(before)
        loop = asyncio.get_running_loop()
        killed_at = loop.time()
        await cell.wait_for_owner(besides=before)
        assert loop.time() - killed_at < 3.0


async def test_a_restarted_owner_reclaims_its_cell_at_once():
    async with FleetCell(members=1) as cell:
        before = cell.find_owner()
        await asyncio.sleep(2)
        await cell.kill(before)
        loop = asyncio.get_running_loop()
        killed_at = loop.time()
        await cell.add_member(before)
        assert await cell.wait_for_owner() == before
        # A last transaction of the previous process may take effect in between.
        assert loop.time() - killed_at < 0.5


async def test_an_owner_that_stops_hands_over_at_once():
    async with FleetCell() as cell:
        before = cell.find_owner()
        loop = asyncio.get_running_loop()
        released_at = loop.time()
        await cell.members[before].release()
        await cell.wait_for_owner(besides=before)
        assert loop.time() - released_at < 1.0


async def test_tasks_of_a_lost_worker_run_elsewhere_once_its_lease_expires():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000)
        await cell.submit(spec, seconds=4.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.workers["w0"].trouble = WorkerTrouble.CUT_OFF
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 3


@pytest.mark.parametrize("seconds", [1.0, 1.5, 2.0, 2.5])
async def test_an_unanswered_start_shows_at_once_that_a_worker_is_lost(seconds):
    # A call to an idle worker waits there for 2 s, so it alone would show it later.
    async with FleetCell(workers=2) as cell:
        await asyncio.sleep(seconds)
        cell.workers["w0"].trouble = WorkerTrouble.CUT_OFF
        await cell.submit(make_job(count=2, cpu=20_000), seconds=4.0)
        # One call without an answer after the other.
        await asyncio.sleep(2 * LOST_SECONDS + 0.1)
        assert not cell.find_engine().workers["w0"].is_reachable


async def test_tasks_of_a_restarted_worker_are_run_again():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000)
        await cell.submit(spec, seconds=4.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        loop = asyncio.get_running_loop()
        restarted_at = loop.time()
        cell.workers["w0"].be_reborn(2)
        # The new process registers itself.
        cell.list_worker(cell.workers["w0"])
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        # The next call reports the new incarnation, well before the lease expires.
        assert loop.time() - restarted_at < LEASE_SECONDS


async def test_a_delayed_start_runs_nothing_twice():
    async with FleetCell(workers=2) as cell:
        cell.workers["w0"].trouble = WorkerTrouble.ORDERS_LATE
        jobs = [make_job(number) for number in range(1, 9)]
        for spec in jobs:
            await cell.submit(spec)
        await asyncio.sleep(2.5)
        cell.workers["w0"].trouble = WorkerTrouble.NONE
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_a_gang_with_an_unanswered_start_restarts_as_a_whole():
    async with FleetCell(workers=2) as cell:
        cell.workers["w0"].trouble = WorkerTrouble.ORDERS_LATE
        spec = make_job(count=6, cpu=9000, is_gang=True)
        await cell.submit(spec)
        await asyncio.sleep(3.0)
        cell.workers["w0"].trouble = WorkerTrouble.NONE
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_a_job_fails_after_its_attempts():
    async with FleetCell() as cell:
        for worker in cell.workers.values():
            worker.trouble = WorkerTrouble.FAILING
        spec = make_job()
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.FAILED)
        assert len(cell.audit.starts) == spec.rules.max_attempts


async def test_a_stalled_run_is_moved_to_another_worker():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000)
        await cell.submit(spec, seconds=3.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.workers["w0"].trouble = WorkerTrouble.STANDING_STILL
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=20.0)
        assert len(cell.audit.starts) == 3


@pytest.mark.parametrize("trouble", [Trouble.REFUSING, Trouble.SILENT])
async def test_leases_are_renewed_while_the_store_is_unavailable(trouble):
    async with FleetCell() as cell:
        spec = make_job(count=8)
        await cell.submit(spec, seconds=12.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        for store in cell.stores.values():
            store.trouble = trouble
        await asyncio.sleep(8.0)
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 8


async def test_a_refusal_while_the_store_is_unavailable_is_final_and_fast():
    async with FleetCell() as cell:
        for store in cell.stores.values():
            store.trouble = Trouble.REFUSING
        # In a younger outage the caller waits (tests/cell/test_outage_waits.py).
        await asyncio.sleep(6.0)
        loop = asyncio.get_running_loop()
        spec = make_job()
        submitted_at = loop.time()
        assert await cell.submit(spec) is Acceptance.REFUSED
        assert loop.time() - submitted_at < 0.1
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await asyncio.sleep(5.0)
        assert cell.audit.starts == []


async def test_a_lost_answer_of_the_store_is_not_reported_as_a_refusal():
    async with FleetCell() as cell:
        cell.stores["m0"].answers_to_lose = 1
        spec = make_job()
        # The retry finds the row of the first attempt.
        assert await cell.submit(spec, member="m0") is Acceptance.ACCEPTED
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 1


async def test_a_write_that_may_take_effect_later_is_reported_unknown():
    async with FleetCell() as cell:
        for store in cell.stores.values():
            store.trouble = Trouble.CARRYING_OUT_LATE
        # Writes take effect after the caller's timeout, so no read shows them in time.
        cell.store.late_seconds = 4.0
        loop = asyncio.get_running_loop()
        submitted_at = loop.time()
        assert await cell.submit(make_job()) is Acceptance.UNKNOWN
        assert loop.time() - submitted_at < CALLER_SECONDS


async def test_a_delayed_write_that_takes_effect_in_time_is_accepted():
    async with FleetCell() as cell:
        for store in cell.stores.values():
            store.trouble = Trouble.CARRYING_OUT_LATE
        spec = make_job()
        assert await cell.submit(spec) is Acceptance.ACCEPTED
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 1


async def test_delayed_writes_of_the_owner_keep_the_cell_consistent():
    async with FleetCell() as cell:
        jobs = [make_job(number, count=3) for number in range(1, 6)]
        owner = cell.find_owner()
        for spec in jobs:
            await cell.submit(spec)
            await asyncio.sleep(0.2)
            store = cell.stores[owner]
            late = store.trouble is Trouble.NONE
            store.trouble = Trouble.CARRYING_OUT_LATE if late else Trouble.NONE
        cell.stores[owner].trouble = Trouble.NONE
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_another_member_takes_over_from_an_owner_without_store():
    async with FleetCell() as cell:
        before = cell.find_owner()
        cell.stores[before].trouble = Trouble.REFUSING
        spec = make_job(count=4)
        member = next(name for name in cell.members if name != before)
        await cell.submit(spec, member=member)
        await cell.wait_for_owner(besides=before)
        await cell.wait_for_state(spec, JobState.SUCCEEDED, member=member)


async def test_orders_in_flight_of_a_previous_owner_start_nothing_twice():
    async with FleetCell(workers=3) as cell:
        before = cell.find_owner()
        member = next(name for name in cell.members if name != before)
        jobs = [make_job(number, count=4) for number in range(1, 5)]
        for spec in jobs[:2]:
            await cell.submit(spec, seconds=3.0, member=member)
        cell.stores[before].trouble = Trouble.SILENT
        cell.network.cut.add(before)
        for spec in jobs[2:]:
            await cell.submit(spec, seconds=3.0, member=member)
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED, member=member)
        cell.stores[before].trouble = Trouble.NONE
        cell.network.cut.clear()
        await asyncio.sleep(3.0)


async def test_nothing_accepted_is_lost_when_all_members_are_killed():
    async with FleetCell() as cell:
        jobs = [make_job(number, count=3) for number in range(1, 6)]
        for spec in jobs:
            await cell.submit(spec, seconds=2.0)
        for name in list(cell.members):
            await cell.kill(name)
        await asyncio.sleep(1.5)
        for _ in range(3):
            await cell.add_member()
        await cell.wait_for_owner()
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_a_feed_without_events_delays_no_job():
    async with FleetCell() as cell:
        for store in cell.stores.values():
            store.is_deaf = True
        spec = make_job()
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=4.0)


async def test_a_feed_that_lost_its_history_is_read_from_the_start():
    async with FleetCell() as cell:
        await asyncio.sleep(1.0)
        owner = cell.find_owner()
        member = next(name for name in cell.members if name != owner)
        # Neither the direct message nor the feed delivers the job to the owner.
        cell.network.cut.add(member)
        spec = make_job()
        await cell.submit(spec, member=member)
        cell.store.put(next(iter(cell.store.rows)), b"x")
        cell.store.forget_history()
        await cell.wait_for_state(spec, JobState.SUCCEEDED, member=owner, seconds=8.0)
