"""Hand-overs in an overloaded cell of the size of the large site."""

import asyncio

import pytest

from standins.fleet import workers as fleet_workers
from standins.fleet.store import Trouble

from .large_cell import STRONG, WEAK, LargeCell

pytestmark = pytest.mark.looptime

# Fewer than the 270 of the site, so that a test takes less than 30 s.
WORKERS = 120
# `RecoveryS` and `finish_s` of the site.
RECOVERY_SECONDS = 15.0
FINISH_SECONDS = 14.0
# Share of the requests that is served after the recovery, by RECOVER.
SERVED_SHARE = 0.25
# Work handed in before the faults and after the recovery, as time of all workers.
# LOST allows for a service that is half idle, so each is below half of `finish_s`.
OVERLOAD_SECONDS = 6.0
AFTER_SECONDS = 1.0
# Each fault costs a term, and may meet the successor while that loads the jobs.
TERMS_PER_FAULT = 2
# Ticks of the simulated workers; their number limits the size of the cell.
TICK_SECONDS = 0.05


@pytest.fixture(autouse=True)
def coarse_ticks(monkeypatch):
    monkeypatch.setattr(fleet_workers, "TICK_SECONDS", TICK_SECONDS)


async def check_recovery(cell, faults, terms_before):
    """Check what callers see after the last of some faults, which is now."""
    last_fault = cell.now
    await asyncio.sleep(RECOVERY_SECONDS)
    assert await cell.hand_in(AFTER_SECONDS) >= SERVED_SHARE
    until = last_fault + RECOVERY_SECONDS + FINISH_SECONDS
    assert await cell.list_open(until) == [], cell.terms
    assert cell.asked
    assert cell.ordered
    assert cell.list_late_calls() == []
    assert len(cell.terms) - terms_before <= TERMS_PER_FAULT * faults, cell.terms
    assert cell.count_unserved_terms() <= faults, cell.terms


async def start_overload(cell):
    """Hand in the overload and wait until the owner is at work on it."""
    await asyncio.sleep(2.0)
    await cell.hand_in(OVERLOAD_SECONDS)
    await asyncio.sleep(1.0)
    assert cell.accepted
    return len(cell.terms)


async def test_a_deposed_owner_that_lives_on_makes_no_more_calls():
    # Guards against a former owner that takes up approval services of its successor.
    async with LargeCell(WORKERS) as cell:
        terms = await start_overload(cell)
        cell.depose(cell.find_owner())
        await check_recovery(cell, 1, terms)


async def test_owners_cut_off_from_the_store_hand_over_an_overloaded_cell():
    # Guards against jobs that wait for approvals or reservations of a former owner.
    async with LargeCell(WORKERS) as cell:
        terms = await start_overload(cell)
        for _ in range(2):
            before = cell.find_owner()
            cell.stores[before].trouble = Trouble.SILENT
            await cell.wait_for_owner(RECOVERY_SECONDS, besides=before)
            await asyncio.sleep(1.0)
            cell.stores[before].trouble = Trouble.NONE
        await check_recovery(cell, 2, terms)


async def test_owners_killed_one_after_the_other_leave_no_job_behind():
    # Guards against a chain of owners that end before they serve.
    async with LargeCell(WORKERS) as cell:
        terms = await start_overload(cell)
        for _ in range(3):
            before = await cell.wait_for_owner(RECOVERY_SECONDS)
            await cell.kill(before)
            await asyncio.sleep(2.0)
        await check_recovery(cell, 3, terms)


async def test_jobs_outlive_the_loss_of_a_third_of_the_members():
    # Guards against approvals that wait for members that are gone.
    async with LargeCell(WORKERS) as cell:
        terms = await start_overload(cell)
        owner = cell.find_owner()
        others = [name for name in cell.members if name != owner]
        lost = cell.random.sample(others, round(0.3 * len(cell.members)) - 1)
        await asyncio.gather(*map(cell.kill, [owner, *lost]))
        await check_recovery(cell, 1, terms)


async def test_jobs_outlive_a_restart_of_all_members():
    # Guards against members that leave the cell to each other after a restart of all.
    async with LargeCell(WORKERS) as cell:
        terms = await start_overload(cell)
        kinds = dict(cell.kinds)
        await asyncio.gather(*map(cell.kill, kinds))
        await asyncio.sleep(1.0)
        for name, settings in kinds.items():
            await cell.add_member(name, **settings)
        await check_recovery(cell, 1, terms)


async def test_a_loaded_cell_of_weak_members_outlives_the_loss_of_its_owner():
    # Guards against successors that replace each other while they load the jobs.
    async with LargeCell(WORKERS, strong=0, weak=97) as cell:
        terms = await start_overload(cell)
        await cell.kill(cell.find_owner())
        await check_recovery(cell, 1, terms)


@pytest.mark.parametrize("kind", [STRONG, WEAK], ids=["strong", "weak"])
async def test_a_new_cell_of_members_of_one_kind_serves(kind):
    # Guards against a first owner that is never elected, since all leave it to others.
    count = {"strong": 97, "weak": 0} if kind is STRONG else {"strong": 0, "weak": 97}
    cell = LargeCell(WORKERS, **count)
    try:
        await cell.start()
        await check_recovery(cell, 1, 0)
    finally:
        await cell.stop()
    assert cell.audit.violations == []
