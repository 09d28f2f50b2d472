import asyncio
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web

from cactustiller.ports import HttpInstanceList
from standins.faults import FaultSwitch
from standins.instances import (
    EntryInfo,
    InstanceRegister,
    Kind,
    ListFaults,
    build_instances,
)


@asynccontextmanager
async def serve(app):
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield "{}:{}".format(*site._server.sockets[0].getsockname())
    finally:
        await runner.cleanup()


@asynccontextmanager
async def open_list(app):
    async with serve(app) as address, aiohttp.ClientSession() as session:
        yield HttpInstanceList(session, address)


async def test_unchanged_list_is_not_transferred_again():
    register = InstanceRegister()
    for number in range(100):
        entry = EntryInfo(instance=f"entry-{number}", zone="a")
        register.change(Kind.ENTRIES, entry.instance, entry)
    switch = FaultSwitch(ListFaults())
    async with open_list(build_instances(register, switch)) as port:
        first = (await port.list_instances()).unwrap()
        bytes_of_first = port.counters.received_bytes
        assert (await port.list_instances()).unwrap() == first
        assert len(first.entries) == 100
        bytes_of_second = port.counters.received_bytes - bytes_of_first
        assert bytes_of_second < bytes_of_first / 10
        register.change(Kind.ENTRIES, "entry-0", None)
        assert len((await port.list_instances()).unwrap().entries) == 99


async def test_failure_keeps_the_entity_tag_and_recovers():
    register = InstanceRegister()
    switch = FaultSwitch(ListFaults())
    async with open_list(build_instances(register, switch)) as port:
        assert (await port.list_instances()).is_ok()
        switch.change({"down": True})
        assert (await port.list_instances()).is_err()
        switch.change({"down": False})
        register.change(Kind.ENTRIES, "e", EntryInfo(instance="e", zone="a"))
        assert len((await port.list_instances()).unwrap().entries) == 1
        assert port.counters.failures == 1


async def test_list_without_entity_tags_is_requested_unconditionally():
    async def show(request):
        assert "If-None-Match" not in request.headers
        return web.json_response({"workers": [], "backends": [], "entries": []})

    app = web.Application()
    app.add_routes([web.get("/v1/instances", show)])
    async with open_list(app) as port:
        assert (await port.list_instances()).is_ok()
        assert (await port.list_instances()).is_ok()


async def test_counters_match_the_bytes_on_the_wire():
    requests = []

    async def answer(reader, writer):
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(REPLY)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    async with aiohttp.ClientSession() as session:
        port = HttpInstanceList(session, address)
        assert (await port.list_instances()).is_ok()
    server.close()
    assert port.counters.sent_bytes == len(requests[0])
    assert port.counters.received_bytes == len(REPLY)


BODY = b'{"workers": [], "backends": [], "entries": []}'
REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(BODY) + BODY
)


async def test_malformed_instance_hides_only_itself():
    # Guards against a list that is not followed any more since one entry is malformed.
    entries = [
        {"instance": "entry-1", "zone": "a"},
        {"instance": "entry-2", "zone": [[[[]]]]},
        {"instance": "entry-3"},
        7,
        {"instance": "entry-4", "zone": "a", "state": "unknown"},
    ]
    backend = {
        "executor": "e-1",
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 10**400,
        "connections": 1,
    }
    content = {"entries": entries, "backends": [backend]}

    async def answer(request):
        return web.json_response(content)

    app = web.Application()
    app.router.add_get("/v1/instances", answer)
    async with open_list(app) as port:
        listing = (await port.list_instances()).unwrap()
    assert [entry.instance for entry in listing.entries] == ["entry-1"]
    assert listing.backends == []
