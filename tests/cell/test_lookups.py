"""Queries for the states of jobs that nobody has submitted."""

import asyncio

import pytest

from cactustiller.cell.members.lookups import MAX_STATE_READS
from cactustiller.model import JobId, JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.store import Trouble

pytestmark = pytest.mark.looptime

CROWD = 300


def count_reads(monkeypatch, store):
    """Return a dict with the number of reads of a store at once, now and at most."""
    read, counts = store.read, {"now": 0, "most": 0}

    async def count(*arguments):
        counts["now"] += 1
        counts["most"] = max(counts["most"], counts["now"])
        try:
            return await read(*arguments)
        finally:
            counts["now"] -= 1

    monkeypatch.setattr(store, "read", count)
    return counts


async def find_states(cell, name, count):
    intake = cell.members[name].intake
    queue = cell.queues[0].name
    return await asyncio.gather(
        *(intake.find_state(queue, JobId(f"{n + 1000:016x}")) for n in range(count))
    )


async def test_queries_for_unknown_jobs_leave_connections_to_the_store(monkeypatch):
    async with FleetCell(members=1) as cell:
        name = cell.find_owner()
        counts = count_reads(monkeypatch, cell.stores[name])
        found = await find_states(cell, name, CROWD)
        assert all(lookup.is_known and lookup.value is None for lookup in found)
        # The owner and the desired state are read beside them.
        assert counts["most"] <= MAX_STATE_READS + 3


async def test_queries_are_answered_in_time_while_the_store_is_silent():
    async with FleetCell(members=1) as cell:
        name = cell.find_owner()
        spec = make_job(1)
        await cell.submit(spec, 60.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.stores[name].trouble = Trouble.SILENT
        began = asyncio.get_running_loop().time()
        found = await find_states(cell, name, CROWD)
        assert not any(lookup.is_known for lookup in found)
        assert asyncio.get_running_loop().time() - began < 3.0
