import asyncio

import pytest

from cactustiller.model import Failure, Outcome
from cactustiller.model.messages import Done, GetStats, Hello, Stats
from cactustiller.peers import PeerClient, PeerServer, Traffic

HELLO = Hello(member="m1", role="scheduler", zone="a")


async def answer_stats(message, hello):
    if isinstance(message, GetStats):
        return Stats(text=hello.member)
    return Failure(code="invalid", step="test", reason="unexpected")


@pytest.fixture
async def server():
    server = PeerServer(HELLO, answer_stats, Traffic())
    await server.start("127.0.0.1", 0)
    yield server
    await server.stop()


def address_of(server):
    host, port = server._server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def test_reply_reaches_its_caller(server):
    client = PeerClient(HELLO, Traffic())
    replies = await asyncio.gather(
        *(client.call(address_of(server), GetStats()) for _ in range(20))
    )
    assert {reply.unwrap().text for reply in replies} == {"m1"}
    assert (await client.call(address_of(server), Done())).unwrap_err().step == "test"
    await client.close()


async def test_malformed_frame_closes_only_its_connection(server):
    client = PeerClient(HELLO, Traffic())
    address = address_of(server)
    await client.call(address, GetStats())
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"\x05\x00\x00\x00\xff\xff\xff\xff\xff")
    assert await reader.read() == b""
    writer.close()
    assert (await client.call(address, GetStats())).is_ok()
    await client.close()


async def test_failure_before_sending_is_not_run():
    client = PeerClient(HELLO, Traffic())
    failure = (await client.call("127.0.0.1:1", GetStats())).unwrap_err()
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.peer == "127.0.0.1:1"
