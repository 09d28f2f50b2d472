"""Slow and unavailable stores, isolated members, and rows that are left behind."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell import Acceptance
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue
from standins.fleet.store import Trouble
from standins.fleet.workers import WorkerTrouble

pytestmark = pytest.mark.looptime

LEASE_SECONDS = 6.0
# Time for which callers wait for an answer.
CALLER_SECONDS = 3.0


async def test_a_slow_store_still_accepts_many_jobs():
    # An answer takes 0.7 s, so one transaction per job would take over a minute.
    async with FleetCell() as cell:
        cell.store.slowness = 75.0
        await asyncio.sleep(2.0)
        jobs = [make_job(number) for number in range(1, 121)]
        outcomes = await asyncio.gather(
            *(
                cell.submit(spec, member=f"m{index % 3}")
                for index, spec in enumerate(jobs)
            )
        )
        assert set(outcomes) == {Acceptance.ACCEPTED}
        cell.store.slowness = 1.0
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_a_worker_lost_after_a_takeover_is_expired_after_one_lease():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000)
        await cell.submit(spec, seconds=9.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        before = cell.find_owner()
        await cell.kill(before)
        await cell.wait_for_owner(besides=before)
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        lost_at = loop.time()
        cell.workers["w0"].trouble = WorkerTrouble.CUT_OFF
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        # The lease, one run on the other worker, and the detection time.
        assert loop.time() - lost_at < LEASE_SECONDS + 9.0 + 1.5


async def test_a_member_that_has_noticed_its_isolation_refuses_at_once():
    async with FleetCell() as cell:
        owner = cell.find_owner()
        name = next(name for name in cell.members if name != owner)
        cell.stores[name].trouble = Trouble.SILENT
        cell.network.cut.add(name)
        # The member detects its isolation after two timeouts of regular calls.
        await asyncio.sleep(1.5)
        await cell.submit(make_job(1), member=name)
        loop = asyncio.get_running_loop()
        submitted_at = loop.time()
        outcome = await cell.submit(make_job(2), member=name)
        assert outcome is Acceptance.REFUSED
        assert loop.time() - submitted_at < 0.1


async def test_an_isolated_owner_ends_its_term_once_it_is_fenced():
    async with FleetCell() as cell:
        before = cell.find_owner()
        cell.stores[before].trouble = Trouble.SILENT
        cell.network.cut.add(before)
        await cell.wait_for_owner(besides=before)
        await asyncio.sleep(3.0)
        assert not cell.members[before].is_owner


async def test_a_member_without_store_serves_through_the_owner():
    async with FleetCell() as cell:
        before = cell.find_owner()
        name = next(name for name in cell.members if name != before)
        cell.stores[name].trouble = Trouble.REFUSING
        # The owner and the desired state change while the store refuses the member.
        await cell.kill(before)
        await cell.wait_for_owner(besides=before)
        queue = make_queue("added")
        cell.set_desired(replace(cell.desired, version=5, queues={queue.name: queue}))
        await asyncio.sleep(2.0)
        assert cell.members[name].desired_state.version == 5
        assert cell.members[name].is_ready()
        spec = make_job(queue=queue)
        assert await cell.submit(spec, member=name) is Acceptance.ACCEPTED
        await cell.wait_for_state(spec, JobState.SUCCEEDED, member=name)


async def test_an_owner_that_the_store_refuses_hands_over_within_a_second():
    async with FleetCell() as cell:
        await asyncio.sleep(3.0)
        before = cell.find_owner()
        loop = asyncio.get_running_loop()
        refused_at = loop.time()
        cell.stores[before].trouble = Trouble.REFUSING
        await cell.wait_for_owner(besides=before)
        assert loop.time() - refused_at < 1.0


async def test_an_owner_keeps_its_cell_while_the_store_refuses_everyone():
    async with FleetCell() as cell:
        await asyncio.sleep(3.0)
        before = cell.find_owner()
        for store in cell.stores.values():
            store.trouble = Trouble.REFUSING
        await asyncio.sleep(3.0)
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await asyncio.sleep(2.0)
        assert cell.find_owner() == before


async def test_runs_of_an_ended_job_use_capacity_after_a_takeover():
    # The stored row states only that the job is cancelled; its runs still use capacity.
    async with FleetCell(workers=1) as cell:
        over = make_job(1, count=3, cpu=10_000)
        await cell.submit(over, seconds=30.0)
        await cell.wait_for_state(over, JobState.RUNNING)
        await asyncio.sleep(0.5)
        before = cell.find_owner()
        member = next(name for name in cell.members if name != before)
        next_job = make_job(2, count=3, cpu=10_000)
        cell.worker_clients[before].is_cut_off = True
        assert await cell.members[before].intake.cancel(over.job) is Acceptance.ACCEPTED
        await cell.kill(before)
        await cell.submit(next_job, member=member)
        await cell.wait_for_owner(besides=before)
        await cell.wait_for_state(next_job, JobState.SUCCEEDED, member=member)


async def test_a_run_that_would_outlive_a_draining_worker_is_evacuated():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000, estimate_ms=5000)
        await cell.submit(spec, seconds=5.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        await asyncio.sleep(0.5)
        cell.drain_worker("w0", remaining_ms=1000)
        await asyncio.sleep(1.0)
        assert not cell.workers["w0"].runs
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_a_run_that_ends_in_time_stays_on_a_draining_worker():
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000, estimate_ms=2000)
        await cell.submit(spec, seconds=2.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.drain_worker("w0", remaining_ms=2500)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 2


async def test_a_draining_worker_behind_a_cut_is_not_taken_for_one_that_has_left():
    # Guards against a second run of a task whose worker drains, refuses connections and
    # has lost its entry, but runs on behind a cut.
    async with FleetCell(workers=2) as cell:
        spec = make_job(count=2, cpu=20_000, estimate_ms=3000)
        await cell.submit(spec, seconds=3.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        worker = cell.workers["w0"]
        cell.drain_worker("w0", remaining_ms=4000)
        await asyncio.sleep(1.5)
        worker.trouble = WorkerTrouble.CUT_OFF_WITH_REFUSALS
        cell.remove_entry("w0")
        await asyncio.sleep(2.5)
        assert not worker.runs
        worker.trouble = WorkerTrouble.NONE
        cell.list_worker(worker)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 2


async def test_rows_of_finished_jobs_and_lost_members_are_removed():
    async with FleetCell() as cell:
        spec = make_job()
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        gone = next(name for name in cell.members if name != cell.find_owner())
        await cell.kill(gone)
        await asyncio.sleep(180.0)
        keys = {(key.table, key.key) for key in cell.store.rows}
        assert not any(table in ("jobs", "progress") for table, _ in keys)
        assert ("members", gone) not in keys


async def test_an_owner_renews_its_row_while_it_loads_a_large_cell():
    # At 5 Mbit/s, reading a page of 1 MB takes longer than a takeover.
    async with FleetCell() as cell:
        before = cell.find_owner()
        for store in cell.stores.values():
            store.read_seconds = 2.0
        await cell.kill(before)
        await cell.wait_for_owner(besides=before, seconds=20.0)
        epochs = {member._election.record.epoch for member in cell.members.values()}
        assert epochs == {2}
