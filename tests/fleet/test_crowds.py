"""Tests of a daemon process against crowds of clients outside the limits.

One daemon, on a machine as small as the smallest of the users' sheets, with fewer
descriptors, so that a small crowd exceeds them.
"""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from standins.fleet.processes import ProcessCell

from .resources import Usage, gather_crowd

pytestmark = pytest.mark.timeout(110)

MEMORY_MB = 160
MAX_FDS = 500
# Descriptors that the machine reserves for files.
FILE_DESCRIPTORS = 200
CROWD = 400
CROWD_SECONDS = 6.0
LIMITS = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}
CLIENT_LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 262_144,
    "HeaderTimeoutMs": 3_000,
    "IdleTimeoutMs": 15_000,
}
ORDINARY_JOB = f"{0xABCDEF:016x}"
ORDINARY_SECONDS = 60.0


@asynccontextmanager
async def open_cell(folder):
    """Run one daemon with the limits of this module."""
    async with ProcessCell(
        folder,
        members=1,
        workers=2,
        task_seconds=0.2,
        limits=LIMITS,
        client_limits=CLIENT_LIMITS,
    ) as cell:
        await cell.wait_for_owner()
        yield cell


async def call_beside_crowds(cell, crowds, waits_for_end):
    """Let crowds come, then one ordinary caller whose job has to be completed.

    A crowd whose own jobs are accepted before may keep the workers busy; the job then
    only has to be accepted and known.
    """
    addresses = cell.addresses["m0"]
    async with AsyncExitStack() as stack:
        gathering = (
            gather_crowd(addresses[listener], kind, count, CROWD_SECONDS)
            for listener, kind, count in crowds
        )
        await asyncio.gather(*map(stack.enter_async_context, gathering))
        await cell.submit(ORDINARY_JOB, seconds=ORDINARY_SECONDS)
        states = ["completed"] if waits_for_end else ["queued", "running", "completed"]
        await wait_for_one_state(cell, states)


async def wait_for_one_state(cell, states):
    """Wait until the ordinary job is shown in one of the states."""
    async with asyncio.timeout(ORDINARY_SECONDS):
        while True:
            status, content = await cell.call("GET", ORDINARY_JOB, "m0")
            if status == 200 and content["State"] in states:
                return
            await asyncio.sleep(0.1)


async def check_crowd(folder, kind, listener, waits_for_end=True):
    """Check the daemon's resources beside one crowd and an ordinary caller."""
    await check_crowds(folder, [(listener, kind, CROWD)], waits_for_end)


async def check_crowds(folder, crowds, waits_for_end=True):
    """Check the daemon's resources beside crowds and an ordinary caller.

    Parameters
    ----------
    crowds : list of (str, str, int)
        Listener, kind and number of connections of each crowd.
    """
    async with open_cell(folder) as cell:
        pid, addresses = cell.members["m0"].pid, cell.addresses["m0"]
        usage = Usage(pid, addresses.values(), MEMORY_MB << 20)
        tasks = [
            asyncio.create_task(usage.sample()),
            asyncio.create_task(call_beside_crowds(cell, crowds, waits_for_end)),
        ]
        done, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        print(f"{crowds}: {usage.memory_bytes >> 20} MB, {usage.streams} sockets")
        assert usage.memory_bytes <= MEMORY_MB << 20
        assert cell.members["m0"].returncode is None
        await asyncio.gather(*done)
        assert usage.descriptors <= MAX_FDS
        assert usage.streams <= MAX_FDS - FILE_DESCRIPTORS
        assert cell.audit.violations == []


@pytest.mark.parametrize(
    "kind",
    [
        "nothing",
        "long-line",
        "endless-line",
        "endless-lines",
        "empty-lines",
        "body",
        "body-pieces",
        "chunks",
        "small-chunks",
        "endless-chunks",
        "endless-extension",
        "endless-trailer",
        "compressed",
        "many-fields",
        "pipelined",
        "unknown-states",
    ],
)
async def test_crowd_at_the_frontend(tmp_path, kind):
    await check_crowd(tmp_path, kind, "frontend")


@pytest.mark.parametrize("kind", ["long-line", "body", "small-chunks"])
async def test_crowd_at_the_readiness_address(tmp_path, kind):
    await check_crowd(tmp_path, kind, "ready")


@pytest.mark.parametrize("kind", ["long-line", "body", "metrics"])
async def test_crowd_at_the_metrics_address(tmp_path, kind):
    await check_crowd(tmp_path, kind, "metrics")


@pytest.mark.parametrize("kind", ["nothing", "frame", "frame-as-peer", "calls-as-peer"])
async def test_crowd_at_the_address_of_peers(tmp_path, kind):
    await check_crowd(tmp_path, kind, "peers")


@pytest.mark.parametrize(
    "kind", ["large-jobs", "long-texts", "long-lists", "recurring-job"]
)
async def test_crowd_with_jobs_of_legal_size(tmp_path, kind):
    await check_crowd(tmp_path, kind, "frontend", waits_for_end=False)


async def test_crowds_at_all_addresses(tmp_path):
    crowds = [
        ("frontend", "small-chunks", 100),
        ("frontend", "body", 100),
        ("frontend", "endless-lines", 100),
        ("frontend", "many-fields", 100),
        ("ready", "body", 100),
        ("metrics", "metrics", 100),
        ("peers", "frame-as-peer", 100),
    ]
    await check_crowds(tmp_path, crowds)
