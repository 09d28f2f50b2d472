import asyncio

import aiohttp
import aiohttp.web
import pytest

from standins.backends import Executor, list_backends
from standins.server import build_application, start_server


@pytest.fixture
async def served():
    [info] = list_backends("127.0.0.1", 0, 1, "echo", 1, 4, ["a"], "r1")
    started = asyncio.Event()

    def count_connections():
        started.set()
        return 1

    executor = Executor(info, [], count_connections)
    application = build_application([aiohttp.web.post("/v1/run", executor.run)])
    runner = await start_server(application, "127.0.0.1", 0)
    host, port = runner.addresses[0]
    async with aiohttp.ClientSession(f"http://{host}:{port}") as session:
        yield executor, session, started
    await runner.cleanup()


async def run(session):
    async with session.post("/v1/run", data=b"hello") as response:
        return response.status, response.headers.get("x-not-run"), await response.read()


async def test_refuses_beyond_its_slots_and_hangs_until_released(served):
    executor, session, started = served
    executor.set_faults({"hang": True})
    hanging = asyncio.create_task(run(session))
    await started.wait()
    assert await run(session) == (503, "1", b"")
    executor.set_faults({"hang": False})
    assert await hanging == (200, None, b"hello")
    history = [(event.event, event.busy) for event in executor.events]
    assert history == [("start", 1), ("refused", 2), ("end", 0)]


async def test_work_ends_at_the_deadline(served):
    executor, session, _ = served
    executor.set_faults({"hang": True})
    async with session.post("/v1/run", headers={"x-deadline-ms": "20"}) as response:
        assert response.status == 504
    assert executor.busy == 0
