"""Tests of one HTTP listener and its clients over loopback connections."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from cactustiller.serving import (
    ClientLimits,
    HttpListener,
    ListenerLimits,
    RefusalReason,
)
from cactustiller.serving.connection import FIRST_READ_BYTES, ClientConnection

from .builders import FakeTransport, encode_request, receive

MEMORY_BYTES = 100_000
CLIENT_LIMITS = ClientLimits(head_seconds=3.0, idle_seconds=15.0)


class Site:
    """A listener with a handler that waits while `gate` is closed."""

    def __init__(self, max_connections):
        self.refused, self.errors, self.bodies = [], [], []
        self.gate = asyncio.Event()
        self.gate.set()
        self.response = b"{}"
        self.listener = HttpListener(
            "frontend",
            self.handle,
            ListenerLimits(max_connections, MEMORY_BYTES),
            lambda: CLIENT_LIMITS,
            self.refused.append,
            self.errors.append,
        )

    async def handle(self, request):
        self.bodies.append(await request.read())
        await self.gate.wait()
        return web.Response(body=self.response)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.listener.port)

    def list_reasons(self):
        return [refused.reason for refused in self.refused]


@asynccontextmanager
async def open_site(max_connections=8):
    site = Site(max_connections)
    await site.listener.open("127.0.0.1", 0)
    try:
        yield site
    finally:
        site.gate.set()
        await site.listener.close(1.0)


async def read_status(reader):
    """Return the status of the next response, or 0 if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    await reader.readexactly(length)
    return int(head.split()[1])


async def run_until(condition):
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_pipelined_requests_are_answered_in_order():
    async with open_site() as site:
        reader, writer = await site.connect()
        bodies = [b"%d" % number for number in range(50)]
        writer.write(b"".join(encode_request(body) for body in bodies))
        assert [await read_status(reader) for _ in bodies] == [200] * len(bodies)
        assert site.bodies == bodies
        assert site.listener.memory.used_bytes == 0
        writer.close()


async def test_unread_responses_hold_up_only_their_connection():
    async with open_site() as site:
        site.response = b"a" * 400_000
        reader, writer = await site.connect()
        writer.transport.pause_reading()
        writer.write(encode_request() * 200)
        await asyncio.sleep(0.3)
        assert len(site.bodies) < 100
        other_reader, other_writer = await site.connect()
        other_writer.write(encode_request(b"other"))
        assert await read_status(other_reader) == 200
        writer.transport.resume_reading()
        assert [await read_status(reader) for _ in range(200)] == [200] * 200
        writer.close()
        other_writer.close()


async def test_incomplete_requests_give_way_to_a_complete_one():
    async with open_site() as site:
        slow = []
        for _ in range(3):
            reader, writer = await site.connect()
            writer.write(encode_request(b"a" * 30_000)[:-1])
            slow.append((reader, writer))
        await run_until(lambda: site.listener.memory.used_bytes > 90_000)
        reader, writer = await site.connect()
        writer.write(encode_request(b"b" * 100))
        assert await read_status(reader) == 200
        # The request that began first was refused as not run; it may be sent again.
        response = await slow[0][0].read()
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in response
        assert site.bodies == [b"b" * 100]
        assert site.list_reasons() == [RefusalReason.MEMORY_FULL]
        for _, other in [*slow, (reader, writer)]:
            other.close()


async def test_requests_beyond_the_memory_of_handlers_are_refused():
    async with open_site() as site:
        site.gate.clear()
        clients = [await site.connect() for _ in range(5)]
        for _, writer in clients:
            writer.write(encode_request(b"a" * 2000))
        await run_until(lambda: len(site.bodies) + len(site.refused) == 5)
        site.gate.set()
        statuses = [await read_status(reader) for reader, _ in clients]
        assert sorted(statuses) == [200, 200, 200, 503, 503]
        assert len(site.bodies) == 3
        for _, writer in clients:
            writer.close()


async def test_request_of_a_closed_connection_keeps_its_memory_until_handled():
    async with open_site() as site:
        site.gate.clear()
        _, writer = await site.connect()
        writer.write(encode_request(b"a" * 5000))
        await run_until(lambda: site.bodies)
        writer.transport.abort()
        await run_until(lambda: not len(site.listener.connections))
        assert site.listener.memory.used_bytes > 0
        site.gate.set()
        await run_until(lambda: site.listener.memory.used_bytes == 0)


async def test_memory_is_released_for_a_request_that_the_library_refuses():
    async with open_site() as site:
        reader, writer = await site.connect()
        writer.write(encode_request(lines=[b"a\x00b: c"]))
        assert (await reader.read()).startswith(b"HTTP/1.0 400 ")
        await run_until(lambda: not len(site.listener.connections))
        assert site.listener.memory.used_bytes == 0
        assert len(site.errors) == 1
        writer.close()


@pytest.mark.parametrize(
    ("sent", "seconds", "status"),
    [
        (b"", CLIENT_LIMITS.idle_seconds, 0),
        (b"GET / HT", CLIENT_LIMITS.head_seconds, 503),
        (encode_request(b"ab")[:-1], CLIENT_LIMITS.idle_seconds, 503),
    ],
)
@pytest.mark.looptime(start=0)
async def test_clients_that_send_no_more_are_closed(sent, seconds, status):
    async with open_site() as site:
        reader, writer = await site.connect()
        writer.write(sent)
        await asyncio.sleep(seconds - 0.5)
        assert not site.refused
        assert await read_status(reader) == status
        assert site.list_reasons() == [RefusalReason.REQUEST_TIMEOUT]
        writer.close()


@pytest.mark.looptime(start=0)
async def test_idle_connections_are_closed_without_a_refusal():
    async with open_site() as site:
        reader, writer = await site.connect()
        writer.write(encode_request())
        assert await read_status(reader) == 200
        assert await reader.read() == b""
        assert not site.refused
        writer.close()


@pytest.mark.looptime(start=0)
async def test_empty_line_after_a_request_is_no_late_request():
    async with open_site() as site:
        reader, writer = await site.connect()
        writer.write(encode_request(b"a") + b"\r\n")
        assert await read_status(reader) == 200
        await asyncio.sleep(CLIENT_LIMITS.head_seconds + 2.0)
        # A response that nobody asked for would be taken for that of the next request.
        writer.write(encode_request(b"b"))
        assert await read_status(reader) == 200
        assert not site.refused
        writer.close()


async def test_new_connection_replaces_an_idle_one():
    async with open_site(max_connections=2) as site:
        clients = [await site.connect() for _ in range(2)]
        for reader, writer in clients:
            writer.write(encode_request())
            assert await read_status(reader) == 200
        reader, writer = await site.connect()
        writer.write(encode_request())
        assert await read_status(reader) == 200
        assert await clients[0][0].read() == b""
        assert len(site.listener.connections) == 2
        for _, other in [*clients, (reader, writer)]:
            other.close()


async def test_handlers_finish_when_the_listener_closes():
    async with open_site() as site:
        site.gate.clear()
        busy_reader, busy_writer = await site.connect()
        busy_writer.write(encode_request(b"busy"))
        idle_reader, idle_writer = await site.connect()
        await run_until(lambda: site.bodies)
        closing = asyncio.create_task(site.listener.close(5.0))
        assert await idle_reader.read() == b""
        site.gate.set()
        assert await read_status(busy_reader) == 200
        await closing
        assert len(site.bodies) == 1
        busy_writer.close()
        idle_writer.close()


async def test_large_requests_are_read_in_turn_whatever_their_chunks():
    async with open_site() as site:
        connection = ClientConnection(site.listener)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        head = encode_request(b"a", chunks=[1]).partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        data = head + b"1\r\na\r\n" * 2000
        size = receive(connection, data)
        assert size == FIRST_READ_BYTES
        assert not transport.is_reading
        await run_until(lambda: transport.is_reading)
        receive(connection, data[size:])
        assert not transport.is_reading
        connection.connection_lost(None)
