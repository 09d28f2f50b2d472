"""Evacuated availability zones receive no new tasks."""

import asyncio

import pytest

from cactustiller.cell import Acceptance
from cactustiller.cell.decisions.cold_workers import ColdWorkerRanker
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.decisions.placement_round import PlacementRound
from cactustiller.cell.decisions.zones import ZoneEvacuations
from cactustiller.cell.records.specs import QueueRules
from cactustiller.cell.records.workers import Exclusion
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.cell import CONFIG_TABLE
from standins.fleet.store import StoreClient, Trouble

from .builders import SERVICE, make_order_key, make_step, make_worker

pytestmark = pytest.mark.looptime

# Time in which starts in an evacuated zone end, as operators are promised it.
EVACUATE_SECONDS = 5.0
# Time in which they end while nothing is disturbed.
CALM_SECONDS = 0.5


def find_starts(cell, zone, since=0):
    """Return the starts on workers of a zone, from position `since` on."""
    return [
        start
        for start in cell.audit.starts[since:]
        if cell.workers[start[2]].info.zone == zone
    ]


async def submit_every(cell, seconds, count):
    """Hand in `count` jobs, one each `seconds`, each of them for two workers."""
    for _ in range(count):
        number = len(cell.jobs) + 1
        await cell.submit(make_job(number, count=2, cpu=20_000), seconds=0.2)
        await asyncio.sleep(seconds)


async def test_an_evacuated_zone_gets_no_starts_until_it_is_restored():
    async with FleetCell(zones=("east", "west")) as cell:
        await submit_every(cell, 0.4, 5)
        assert find_starts(cell, "west")
        cell.evacuate_zone("west")
        await asyncio.sleep(CALM_SECONDS)
        before = len(cell.audit.starts)
        await submit_every(cell, 0.4, 10)
        assert len(cell.audit.starts) >= before + 18
        assert not find_starts(cell, "west", before)
        cell.restore_zone("west")
        await asyncio.sleep(CALM_SECONDS)
        before = len(cell.audit.starts)
        await submit_every(cell, 0.4, 5)
        assert find_starts(cell, "west", before)


async def test_runs_in_an_evacuated_zone_end_normally():
    async with FleetCell(zones=("east", "west")) as cell:
        spec = make_job(count=8, cpu=12_000)
        await cell.submit(spec, seconds=3.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.evacuate_zone("west")
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 8


async def test_a_new_owner_starts_nothing_in_an_evacuated_zone():
    # The former owner is killed right after the request, before it can have acted.
    async with FleetCell(zones=("east", "west"), members=3) as cell:
        await submit_every(cell, 0.4, 5)
        owner = cell.find_owner()
        cell.evacuate_zone("west")
        before = len(cell.audit.starts)
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await submit_every(cell, 0.4, 10)
        assert len(cell.audit.starts) > before
        assert not find_starts(cell, "west", before)


async def test_members_that_all_restart_start_nothing_in_an_evacuated_zone():
    # A member that has read its own lists of jobs and workers, and not yet the
    # operator's rows, would use the zone.
    async with FleetCell(zones=("east", "west"), members=3) as cell:
        await submit_every(cell, 0.4, 2)
        cell.evacuate_zone("west")
        for name in list(cell.members):
            await cell.kill(name)
        before = len(cell.audit.starts)
        for name in ("m0", "m1", "m2"):
            await cell.add_member(name)
        await cell.wait_for_owner()
        await submit_every(cell, 0.4, 10)
        assert len(cell.audit.starts) > before
        assert not find_starts(cell, "west", before)


async def test_a_new_owner_waits_for_its_first_read_of_the_evacuations(monkeypatch):
    # Its jobs and workers may be read sooner than the operator's rows.
    async with FleetCell(zones=("east",), members=1) as cell:
        cell.evacuate_zone("east")
        await asyncio.sleep(CALM_SECONDS)
        spec = make_job(1, count=2)
        assert await cell.submit(spec, seconds=0.2) is Acceptance.ACCEPTED
        (name,) = cell.members
        await cell.kill(name)
        read = StoreClient.read

        async def read_slowly(client, table, *args):
            if table == CONFIG_TABLE:
                await asyncio.sleep(2.0)
            return await read(client, table, *args)

        monkeypatch.setattr(StoreClient, "read", read_slowly)
        await cell.add_member(name)
        await cell.wait_for_owner()
        await asyncio.sleep(1.0)
        assert not cell.audit.starts
        cell.restore_zone("east")
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


async def test_an_evacuation_holds_while_the_store_is_away():
    async with FleetCell(zones=("east", "west")) as cell:
        cell.evacuate_zone("west")
        await asyncio.sleep(CALM_SECONDS)
        for store in cell.stores.values():
            store.trouble = Trouble.REFUSING
        await asyncio.sleep(4.0)
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await asyncio.sleep(3.0)
        await submit_every(cell, 0.4, 10)
        assert cell.audit.starts
        assert not find_starts(cell, "west")


async def test_jobs_wait_while_all_zones_are_evacuated():
    async with FleetCell(zones=("east", "west")) as cell:
        cell.evacuate_zone("east")
        cell.evacuate_zone("west")
        await asyncio.sleep(CALM_SECONDS)
        spec = make_job(1, count=2)
        assert await cell.submit(spec, seconds=0.2) is Acceptance.ACCEPTED
        await asyncio.sleep(EVACUATE_SECONDS)
        assert not cell.audit.starts
        cell.restore_zone("east")
        cell.restore_zone("east")
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert not find_starts(cell, "west")


async def test_a_worker_that_joins_an_evacuated_zone_gets_no_starts():
    async with FleetCell(zones=("east", "west"), workers=2) as cell:
        cell.evacuate_zone("west")
        await asyncio.sleep(CALM_SECONDS)
        cell.keeps_ids = False
        cell._replace_worker(cell.workers["w1"])
        await asyncio.sleep(1.0)
        await submit_every(cell, 0.4, 10)
        assert not find_starts(cell, "west")


def test_overlapping_evacuations_are_applied_one_by_one():
    workers = [make_worker(f"w{zone}", zone=zone) for zone in "abc"]
    evacuations = ZoneEvacuations()
    evacuations.apply(frozenset("ab"), workers)
    evacuations.apply(frozenset("bc"), workers)
    assert [worker.is_evacuated for worker in workers] == [False, True, True]
    assert workers[1].find_exclusion(0.0) is Exclusion.EVACUATED


def test_tasks_prefer_workers_that_are_not_cold():
    # The fullest worker comes first among equals, so the cold one would be chosen.
    cold = make_worker("w0", cpu=2000, cold_until=120.0)
    warm = make_worker("w1")
    step = make_step(count=1)
    current_round = PlacementRound(
        100.0,
        [cold, warm],
        lambda team, amounts, count: count,
        lambda team, amounts: None,
        rankers=[ColdWorkerRanker(lambda: 100.0)],
    )
    place_steps(current_round, [(make_order_key(), step, QueueRules(SERVICE))])
    assert [p.worker for p in current_round.placements] == [warm]


def test_cold_workers_take_what_fits_nowhere_else():
    cold = make_worker("w0", cold_until=120.0)
    step = make_step(count=2)
    current_round = PlacementRound(
        100.0,
        [cold],
        lambda team, amounts, count: count,
        lambda team, amounts: None,
        rankers=[ColdWorkerRanker(lambda: 100.0)],
    )
    place_steps(current_round, [(make_order_key(), step, QueueRules(SERVICE))])
    assert len(current_round.placements) == 2
