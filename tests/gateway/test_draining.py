import asyncio

from aiohttp import web

from cactustiller.gateway import build_app, drain

PATH = "/v1/requests/prices"


async def test_drain_finishes_requests_in_flight(cell):
    runner = web.AppRunner(build_app(cell.gateway))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    base = f"http://127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
    for executor in cell.executors.values():
        executor.release.clear()
    headers = {"Authorization": f"Bearer {cell.keys['red']}"}
    session = cell.client.session
    request = asyncio.create_task(
        session.post(base + PATH, data=b"whole", headers=headers)
    )
    arrivals = [
        asyncio.ensure_future(executor.arrived.wait())
        for executor in cell.executors.values()
    ]
    _, pending = await asyncio.wait(arrivals, return_when="FIRST_COMPLETED")
    for task in pending:
        task.cancel()
    draining = asyncio.create_task(drain(cell.gateway, runner, 0.05))
    await asyncio.sleep(0)
    async with session.get(base + "/healthz") as health:
        assert health.status == 503
    done, _ = await asyncio.wait([draining], timeout=0.2)
    assert not done and not runner.sites
    for executor in cell.executors.values():
        executor.release.set()
    response = await request
    assert response.status == 200
    assert await response.read() == b"whole"
    await draining
