"""Cells whose store refuses a row: other jobs run, and the owner stays the same."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell import Acceptance
from cactustiller.cell.ports import make_job_key, make_progress_key
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue

pytestmark = pytest.mark.looptime

SMALL_ROW_BYTES = 4096


@pytest.mark.parametrize(
    "occurrences, steps, count", [(0, 1, 2000), (0, 100, 20), (10, 2, 100)]
)
async def test_a_large_job_does_not_stop_the_cell(occurrences, steps, count):
    # Guards against a cell without any start, since the store refuses each transaction
    # of each owner for the progress row of one job (review/6).
    large = make_job(1, count=count, cpu=100, estimate_ms=4000)
    large = replace(large, steps=large.steps * steps, repeat_count=occurrences)
    settings = {"max_row_bytes": SMALL_ROW_BYTES}
    async with FleetCell(workers=8, settings=settings) as cell:
        cell.store.row_bytes = SMALL_ROW_BYTES
        before = cell.find_owner()
        assert await cell.submit(large, seconds=4.0) is Acceptance.ACCEPTED
        await cell.wait_for_state(large, JobState.RUNNING)
        await asyncio.sleep(2.0)
        small = make_job(2, cpu=100)
        assert await cell.submit(small) is Acceptance.ACCEPTED
        await cell.wait_for_state(small, JobState.SUCCEEDED)
        assert cell.find_owner() == before
        assert cell.store.largest_row <= SMALL_ROW_BYTES
        assert cell.find_engine().jobs[large.job].further_rows
        await cell.kill(before)
        await cell.wait_for_owner(besides=before)
        await cell.wait_for_state(large, JobState.SUCCEEDED)
        starts = max(1, occurrences) * steps * count
        assert len(cell.audit.starts) == starts + 1


@pytest.mark.parametrize("others", [1, 20])
async def test_rows_that_the_store_refuses_hold_up_no_other_job(others):
    # Guards against a refused row that fails the transactions of all jobs, the lease of
    # the owner and the terms of its successors.
    refused = make_job(1)
    async with FleetCell(workers=8) as cell:
        before = cell.find_owner()
        cell.store.refused_keys = {make_progress_key(refused.job)}
        specs = [make_job(number) for number in range(2, others + 2)]
        outcomes = await asyncio.gather(*map(cell.submit, [refused, *specs]))
        assert outcomes[1:] == [Acceptance.ACCEPTED] * others
        for spec in specs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)
        await asyncio.sleep(12.0)
        assert cell.find_owner() == before
        assert cell.audit.count_starts(f"{refused.job}.0.0.0") == 0
        # The store takes the rows again, and the job runs.
        cell.store.refused_keys = set()
        await cell.submit(refused)
        await cell.wait_for_state(refused, JobState.SUCCEEDED)


async def test_a_refused_change_of_a_running_job_is_stored_later():
    async with FleetCell(workers=2) as cell:
        spec, other = make_job(1, count=2), make_job(2)
        await cell.submit(spec, seconds=1.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.store.refused_keys = {make_progress_key(spec.job)}
        await asyncio.sleep(3.0)
        # An end whose effect is not stored is not acknowledged or shown.
        assert cell.find_engine().published_states[spec.job] is JobState.RUNNING
        await cell.submit(other)
        await cell.wait_for_state(other, JobState.SUCCEEDED)
        cell.store.refused_keys = set()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert cell.audit.count_starts(f"{spec.job}.0.0.0") == 1


async def test_a_row_that_the_store_refuses_is_inserted_apart_from_others():
    # Without an owner, members store jobs themselves, several in a transaction.
    async with FleetCell(members=1, queues=[make_queue()]) as cell:
        inserter = cell.members["m0"].intake._inserter
        deadline = asyncio.get_running_loop().time() + 3.0
        keys = [make_job_key(f"{number:016x}") for number in range(40)]
        cell.store.refused_keys = {keys[7]}
        outcomes = await asyncio.gather(
            *(inserter.insert(key, b"{}", deadline) for key in keys)
        )
        assert outcomes.pop(7) is Acceptance.REFUSED
        assert set(outcomes) == {Acceptance.ACCEPTED}
