"""Unexpected errors in background tasks: logged, and the task goes on."""

import asyncio
import itertools

import pytest

from cactustiller.cell.members.followers import MemberRegistry, encode_member_row
from cactustiller.cell.reporting.events import EVENT_COUNTS, Event
from cactustiller.cell.supervision import keep_running
from cactustiller.model import JobState
from cactustiller.model.supervision import MAX_RESTART_SECONDS
from standins.fleet import FleetCell, make_job
from standins.fleet.store import StoreClient
from standins.fleet.workers import WorkerClient

pytestmark = pytest.mark.looptime


def count_failures():
    return EVENT_COUNTS[Event.TASK_FAILED.value,]


async def test_failed_task_is_restarted_after_a_growing_delay():
    times = []

    async def fail():
        times.append(asyncio.get_running_loop().time())
        raise RuntimeError("malformed")

    before = count_failures()
    task = asyncio.create_task(keep_running("test", fail))
    await asyncio.sleep(20.0)
    task.cancel()
    delays = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert delays == sorted(delays)
    assert delays[-1] == pytest.approx(MAX_RESTART_SECONDS)
    assert count_failures() - before == len(times)


async def test_supervision_ends_with_its_task():
    async def finish():
        return 7

    assert await keep_running("test", finish) == 7


@pytest.mark.parametrize(
    ("client", "method"),
    [
        (StoreClient, "read"),
        (StoreClient, "follow"),
        (StoreClient, "transact"),
        (WorkerClient, "hold"),
    ],
)
async def test_cell_goes_on_after_unexpected_errors_of_calls(
    monkeypatch, client, method
):
    original = getattr(client, method)
    calls = {"count": 0, "fails": False}

    async def call(self, *arguments):
        calls["count"] += 1
        if calls["fails"] and calls["count"] % 3 == 0:
            raise RuntimeError("malformed")
        return await original(self, *arguments)

    monkeypatch.setattr(client, method, call)
    async with FleetCell() as cell:
        calls["fails"] = True
        await asyncio.sleep(4.0)
        calls["fails"] = False
        await cell.wait_for_owner()
        await asyncio.sleep(2.5)
        spec = make_job(count=4)
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        # Every member still follows the desired state and the owner's row.
        assert all(member.is_ready() for member in cell.members.values())


async def test_malformed_row_of_a_member_does_not_hide_the_others():
    registry = MemberRegistry(None, "10.0.0.1:7000")
    registry._on_rows(
        {
            "a": encode_member_row("10.0.0.2:7000", 5),
            "b": b"\xff\x00",
            "c": b"10.0.0.3:7000 soon 1.0",
            "d": b"",
        }
    )
    assert registry.find_addresses() == ["10.0.0.2:7000"]
