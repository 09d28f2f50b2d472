import asyncio

import pytest

from cactustiller.cell.records.claims import (
    MAX_CLAIM_DELAY_SECONDS,
    STANDBY_LEAD_SECONDS,
    OwnerRecord,
    choose_claim_delay,
    choose_standbys,
    should_claim,
)
from cactustiller.model import JobState
from cactustiller.model.messages import HandInJob
from standins.fleet import FleetCell, make_job
from standins.fleet.store import Trouble

RECORD = OwnerRecord(3, "m1", "m1:1", 9, renewed_ms=10_000)
SEEN = (5, 0.0)


@pytest.mark.parametrize(
    ("now_ms", "first_seen", "read_seconds", "is_suspect", "claims"),
    [
        (10_500, SEEN, 0.0, False, False),
        (11_200, SEEN, 0.0, False, True),
        # The row changed 0.1 s ago, although its renewal time is old.
        (11_200, (5, 9.9), 0.0, False, False),
        (11_200, (4, 0.0), 0.0, False, False),
        # With a slow store, renewals take longer as well.
        (11_200, SEEN, 0.3, False, False),
        (12_500, SEEN, 0.3, False, True),
        (10_700, SEEN, 0.0, True, True),
    ],
)
def test_member_takes_over_when_renewals_stop(
    now_ms, first_seen, read_seconds, is_suspect, claims
):
    assert (
        should_claim(RECORD, 5, first_seen, now_ms, 10.0, read_seconds, is_suspect)
        is claims
    )


@pytest.mark.parametrize("is_suspect", [False, True])
def test_owner_that_states_a_longer_lease_is_replaced_later(is_suspect):
    # Guards against the loss of a term because a slow owner answers and renews late.
    slow = RECORD._replace(lease_ms=4000)
    assert should_claim(RECORD, 5, SEEN, 11_200, 10.0, 0.0, is_suspect)
    assert not should_claim(slow, 5, SEEN, 11_200, 10.0, 0.0, is_suspect)
    assert not should_claim(slow, 5, (5, 9.0), 30_000, 10.0, 0.0, is_suspect)
    assert should_claim(slow, 5, SEEN, 14_100, 10.0, 0.0, is_suspect)


def test_owner_without_announcements_is_replaced_sooner_on_a_slow_store():
    arguments = (RECORD, 5, SEEN, 11_700, 10.0, 0.25)
    assert not should_claim(*arguments)
    assert should_claim(*arguments, is_unannounced=True)


def test_released_cell_is_claimed_immediately():
    assert should_claim(RECORD._replace(is_released=True), 5, (-1, 0), 10_001, 0.0)


def test_standbys_claim_before_all_others():
    assert choose_claim_delay(0.4, is_standby=True) == 0.0
    assert choose_claim_delay(1.0, is_standby=False) >= STANDBY_LEAD_SECONDS
    assert choose_claim_delay(0.4, False) > choose_claim_delay(1.0, False)


def test_members_without_an_announcement_claim_by_strength():
    assert choose_claim_delay(1.0, None) == 0.0
    assert choose_claim_delay(0.0, None) == MAX_CLAIM_DELAY_SECONDS


@pytest.mark.parametrize(
    ("strengths", "standbys"),
    [
        ([], set()),
        ([("a", 1.0), ("b", 1.0), ("c", 0.9), ("d", 0.9)], {"a", "b", "c"}),
        ([("a", 1.0), ("b", 0.4)], {"a"}),
        ([("a", 0.4), ("b", 0.4)], {"a", "b"}),
    ],
)
def test_standbys_are_the_strongest_members(strengths, standbys):
    assert choose_standbys(strengths) == standbys


@pytest.mark.looptime
@pytest.mark.parametrize("seconds", [3.0, 3.3, 3.6, 3.9, 4.2])
async def test_a_strong_member_replaces_an_owner_cut_off_from_the_store(seconds):
    # Members that submit jobs are told by the owner that the store is unavailable, so
    # weak ones notice before the strong ones poll the row.
    async with FleetCell(members=1) as cell:
        await cell.add_member("strong")
        for number in range(8):
            await cell.add_member(f"weak{number}", cores=0.25)
        await asyncio.sleep(seconds)
        before = cell.find_owner()
        cell.stores[before].trouble = Trouble.SILENT
        await asyncio.sleep(0.5)
        jobs = [make_job(number) for number in range(1, 9)]
        submissions = [
            asyncio.create_task(cell.submit(spec, member=f"weak{number}"))
            for number, spec in enumerate(jobs)
        ]
        assert await cell.wait_for_owner(besides=before) in ("m0", "strong")
        await asyncio.gather(*submissions)
        cell.stores[before].trouble = Trouble.NONE
        for spec in jobs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED, member="strong")


@pytest.mark.looptime
async def test_jobs_are_stored_without_an_owner_that_still_loads_the_cell():
    async with FleetCell(members=2) as cell:
        await asyncio.sleep(3.0)
        before = cell.find_owner()
        other = next(name for name in cell.members if name != before)
        await cell.add_member("third")
        await asyncio.sleep(1.0)
        cell.stores[other].read_seconds = 3.0
        cell.stores["third"].read_seconds = 3.0
        await cell.kill(before)
        loader = None
        while loader is None:
            await asyncio.sleep(0.05)
            loading = [n for n in cell.members if cell.members[n]._owner is not None]
            loader = loading[0] if loading else None
        caller = other if loader == "third" else "third"
        await asyncio.sleep(0.6)
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        address = cell.members[loader].settings.peer_address
        calls_before = cell.network.carried[address, HandInJob]
        await cell.submit(make_job(1), member=caller)
        assert loop.time() - called_at < 0.2
        assert cell.network.carried[address, HandInJob] == calls_before


@pytest.mark.looptime
async def test_cell_of_weak_members_elects_its_first_owner():
    # Guards against accepted jobs that wait forever in a new cell: there is no owner's
    # row yet, and every member delays its claim.
    cell = FleetCell(members=3, settings={"cores": 0.12})
    await cell.start()
    try:
        await cell.wait_for_owner()
        spec = make_job()
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
    finally:
        await cell.stop()


@pytest.mark.looptime
async def test_owners_that_load_slowly_do_not_replace_each_other_without_end():
    # Guards against accepted jobs that no owner serves: each owner was replaced before
    # it had loaded the jobs, since its renewals were slow meanwhile.
    async with FleetCell(members=4) as cell:
        before = cell.find_owner()
        spec = make_job()
        await cell.submit(spec, seconds=60.0)
        for store in cell.stores.values():
            store.read_seconds = 3.0
            store.answer_seconds = 1.2
        await cell.kill(before)
        await cell.wait_for_owner(besides=before, seconds=15.0)
