"""Evacuated zones while owners, processes or the table service fail."""

import asyncio

import pytest
from result import Ok
from structlog.testing import capture_logs

from cactustiller.model.messages import AcquirePermits, StartRuns
from cactustiller.ports import BackendInfo, InstanceListing
from cactustiller.scheduler.runs import make_run_key
from tests.scheduler.builders import MemoryCell
from tests.scheduler.evacuations import (
    BOUND_SECONDS,
    build_runs,
    change,
    count_running,
    find_shard,
    hold_job,
    is_over,
    list_starts,
    now,
    refuse,
    reserve,
    start,
    submit,
)

pytestmark = pytest.mark.looptime


@pytest.fixture
async def cell():
    # Time is virtual only inside the test, so the test starts the cell.
    cell = MemoryCell()
    yield cell
    await cell.stop()


async def test_successor_has_the_version_before_it_acts(cell):
    """Guards against a new owner that has not heard of the evacuation.

    The successor misses the announcement and its regular polls, so that it has the
    version only because it reads the settings at the takeover.
    """
    await start(cell)
    owner = cell.find_owner("shard-r0")
    successor, other = (daemon for daemon in cell.daemons if daemon is not owner)
    replica = successor.incarnation.replica
    replica._task.cancel()
    replica.answer = refuse
    await submit(cell, "j1", tasks=60, run_seconds=2.0)
    await cell.wait_for(lambda: count_running(cell, "a") == 8)
    await change(cell, "a", daemon=owner)
    assert successor.incarnation.evacuations.zones == frozenset()
    lost_at = now()
    for daemon in (owner, other):
        await daemon.kill()
    with capture_logs() as lines:
        await cell.wait_for(lambda: cell.find_owner("shard-r0") is successor)
        await asyncio.sleep(0.5)
    named = [line for line in lines if line["event"] == "zone_evacuated"]
    assert [line["workers"] for line in named if line["workers"]] == [2]
    assert successor.incarnation.evacuations.zones == {"a"}
    await replica.start()
    await cell.wait_for(lambda: is_over(cell, "j1"), 400.0)
    assert list_starts(cell, "a", lost_at + BOUND_SECONDS) == []
    assert cell.assert_safe().succeeded_twice == 0


def list_executors(cell):
    """Let the platform list an executor in zone a and one in zone b, and no worker.

    A new owner of shards as well would read the settings for these.
    """
    backends = [
        BackendInfo(
            executor=f"x-{zone}",
            service="prices",
            address="127.0.0.1:1",
            zone=zone,
            slots=2,
            connections=8,
        )
        for zone in "ab"
    ]
    cell.listing.workers.clear()

    async def list_instances():
        return Ok(InstanceListing(backends=backends))

    cell.listing.list_instances = list_instances


def find_pool_owner(cell, *excluded):
    for daemon in cell.daemons:
        if daemon.is_running and daemon not in excluded:
            pools = daemon.incarnation.partitions.pools
            if pools:
                return daemon, *pools.values()
    return None


def acquire(pool, sequence):
    message = AcquirePermits(
        service="prices",
        count=4,
        zone="a",
        gateway="g1/1",
        sequence=sequence,
        longest_ms=1000,
        held=[],
    )
    return {permit.executor for permit in pool.acquire(message).permits}


async def test_successor_of_a_pool_has_the_version_before_it_grants(cell):
    """Guards against permits in the zone from an owner that missed the announcement."""
    list_executors(cell)
    await start(cell)
    await cell.wait_for(lambda: find_pool_owner(cell))
    owner, pool = find_pool_owner(cell)
    assert acquire(pool, 1) == {"x-a", "x-b"}
    successor, other = (daemon for daemon in cell.daemons if daemon is not owner)
    replica = successor.incarnation.replica
    replica._task.cancel()
    replica.answer = refuse
    await change(cell, "a", daemon=owner)
    # The owner enforces the list at once, without the next list of the platform.
    assert acquire(pool, 2) == {"x-b"}
    for daemon in (owner, other):
        await daemon.kill()
    await cell.wait_for(lambda: find_pool_owner(cell, owner, other))
    _, pool = find_pool_owner(cell, owner, other)
    assert acquire(pool, 1) == {"x-b"}


async def test_evacuation_survives_the_restart_of_every_process(cell):
    """Guards against a list that only running members know."""
    await start(cell)
    await change(cell, "a")
    for daemon in cell.daemons:
        await daemon.kill()
    for daemon in cell.daemons:
        daemon.start()
    await asyncio.sleep(30.0)
    restarted_at = now()
    await submit(cell, "j1", tasks=30, run_seconds=1.0)
    await cell.wait_for(lambda: is_over(cell, "j1"))
    assert list_starts(cell, "a", restarted_at) == []


@pytest.mark.parametrize("is_evacuated", [True, False])
async def test_last_known_value_holds_while_the_store_is_away(cell, is_evacuated):
    """Guards against a zone that opens or closes with the table service."""
    await start(cell)
    await change(cell, "a")
    if not is_evacuated:
        await change(cell, "a", False)
    cell.table.is_down = True
    await asyncio.sleep(30.0)
    for daemon in cell.daemons:
        assert ("a" in daemon.incarnation.evacuations.zones) is is_evacuated
        assert not daemon.incarnation.evacuations.is_stale
    cell.table.is_down = False


async def test_owner_cut_off_from_the_settings_stops_starting(cell):
    """Guards against an owner that has missed the evacuation for good.

    Neither the table service nor any member reaches it, so after its freshness limit
    it sends no start that still waits, and continues once it has the settings.
    """
    await start(cell)
    await hold_job(cell, 2)
    shard = find_shard(cell)
    owner = cell.find_owner("shard-r0")
    runs = build_runs(cell, ["w00", "w01"])
    assert (reserve(shard, runs))[0].granted
    replica = owner.incarnation.replica
    replica._task.cancel()
    await asyncio.sleep(cell.timing.freshness_seconds + 0.1)
    session = shard.sessions["w00"]
    entry = session.entries[make_run_key(runs[0])]
    session.request_start(entry)
    await asyncio.sleep(1.0)
    assert list_starts(cell, "a") == []
    message = StartRuns(shard=shard.shard, runs=runs[1:], epoch=0)
    answer = await owner.incarnation.member.call_owner(shard.shard, message, 2.0)
    assert "out of date" in answer.unwrap_err().reason
    assert answer.unwrap_err().retry_after_ms > 0
    await replica.poll()
    await asyncio.sleep(1.0)
    assert len(list_starts(cell, "a")) == 1
