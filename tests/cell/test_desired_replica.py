"""Desired state of a member that was paused, cut off or restarted."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell.members.desired_replica import (
    CONFIRM_TIMEOUT_SECONDS,
    MAX_AGE_SECONDS,
)
from standins.fleet import FleetCell, make_queue
from standins.fleet.store import Trouble

pytestmark = pytest.mark.looptime


async def test_state_from_before_a_pause_is_not_used_until_it_is_confirmed():
    async with FleetCell() as cell:
        await asyncio.sleep(2.0)
        replica = next(iter(cell.members.values())).desired_replica
        # What a pause leaves behind: confirmations of long ago.
        replica._follower.refreshed_at -= MAX_AGE_SECONDS
        replica._announced_at -= MAX_AGE_SECONDS + 1.0
        assert not replica.is_confirmed()
        cell.set_desired(replace(cell.desired, version=9))
        assert await replica.wait_until_confirmed()
        assert replica.state.version == 9


async def test_work_is_refused_at_once_while_the_store_is_known_to_be_away():
    async with FleetCell() as cell:
        await asyncio.sleep(2.0)
        for store in cell.stores.values():
            store.trouble = Trouble.SILENT
        cell.network.cut |= set(cell.members)
        await asyncio.sleep(MAX_AGE_SECONDS + 2.0)
        replica = next(iter(cell.members.values())).desired_replica
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        assert not await replica.wait_until_confirmed()
        assert loop.time() == called_at


async def test_wait_for_a_confirmation_that_does_not_come_is_bounded():
    async with FleetCell() as cell:
        await asyncio.sleep(2.0)
        replica = next(iter(cell.members.values())).desired_replica
        await replica.stop()
        cell.network.cut |= set(cell.members)
        await asyncio.sleep(MAX_AGE_SECONDS + 1.0)
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        assert not await replica.wait_until_confirmed()
        assert loop.time() - called_at < CONFIRM_TIMEOUT_SECONDS + 0.1


async def test_version_does_not_fall_after_a_late_answer_with_an_older_one():
    async with FleetCell() as cell:
        queue = make_queue("added")
        older = cell.desired
        cell.set_desired(replace(older, version=5, queues={queue.name: queue}))
        await asyncio.sleep(1.0)
        replica = next(iter(cell.members.values())).desired_replica
        replica.apply_value(b"1")
        assert replica.state.version == 5
