import asyncio

import pytest

from cactustiller.model import ErrorCode, Failure, Outcome
from cactustiller.model.messages import Done, GetStats, Hello, Stats
from cactustiller.peers import PeerClient, PeerServer, Traffic
from cactustiller.peers.client import SILENCE_SECONDS
from tests.peers.builders import SilentRelay

HELLO = Hello(member="m1", role="scheduler", zone="a")
TIMEOUT_SECONDS = 2 * SILENCE_SECONDS


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


async def call_silenced(relay, client):
    """Make an answered call, silence its connection and let the next time out."""
    await client.call(relay.address, GetStats())
    relay.silence()
    answer = await client.call(relay.address, GetStats(), TIMEOUT_SECONDS)
    assert answer.unwrap_err().code is ErrorCode.TIMEOUT


async def test_silent_connection_is_replaced_after_a_timeout(server):
    # Guards against a connection that carries nothing any more and is used for ever:
    # no call to this peer was answered again, although new connections worked.
    client = PeerClient(HELLO, Traffic())
    async with SilentRelay(address_of(server)) as relay:
        await call_silenced(relay, client)
        assert (await client.call(relay.address, GetStats(), TIMEOUT_SECONDS)).is_ok()
        assert relay.opened == 2
    await client.close()


async def test_silent_connection_is_replaced_after_calls_that_were_cancelled(server):
    # Guards against callers that stop waiting before the timeout of their call, as
    # those of an owner without announcements, which keep a silent connection in use.
    client = PeerClient(HELLO, Traffic())
    async with SilentRelay(address_of(server)) as relay:
        await client.call(relay.address, GetStats())
        relay.silence()
        call = asyncio.create_task(client.call(relay.address, GetStats(), 60.0))
        await asyncio.wait([call], timeout=TIMEOUT_SECONDS)
        call.cancel()
        await asyncio.wait([call])
        assert (await client.call(relay.address, GetStats(), TIMEOUT_SECONDS)).is_ok()
    await client.close()


async def test_short_timeouts_add_up_to_silence(server):
    # Guards against a silent connection that is kept since each call on it has a
    # timeout below the limit.
    client = PeerClient(HELLO, Traffic())
    async with SilentRelay(address_of(server)) as relay:
        await client.call(relay.address, GetStats())
        relay.silence()
        answers = [
            await client.call(relay.address, GetStats(), SILENCE_SECONDS / 2)
            for _ in range(4)
        ]
        assert answers[0].is_err()
        assert answers[-1].is_ok()
    await client.close()


async def test_connection_that_answers_other_calls_is_kept():
    # Guards against a new connection for each slow request of a peer that is alive.
    async def answer_slowly(message, hello):
        await asyncio.sleep(60.0 if isinstance(message, Done) else 0.0)
        return Stats(text=hello.member)

    server = PeerServer(HELLO, answer_slowly, Traffic())
    await server.start("127.0.0.1", 0)
    client = PeerClient(HELLO, Traffic())
    async with SilentRelay(address_of(server)) as relay:
        slow = asyncio.create_task(
            client.call(relay.address, Done(), 2 * TIMEOUT_SECONDS)
        )
        await asyncio.sleep(TIMEOUT_SECONDS)
        assert (await client.call(relay.address, GetStats())).is_ok()
        assert (await slow).unwrap_err().code is ErrorCode.TIMEOUT
        assert (await client.call(relay.address, GetStats())).is_ok()
        assert relay.opened == 1
    await client.close()
    await server.stop()


async def test_pending_call_of_a_replaced_connection_is_answered():
    # Guards against a peer that was only slow, and whose answers to other callers are
    # lost with the connection.
    answers = asyncio.Event()

    async def answer_late(message, hello):
        await answers.wait()
        return Stats(text=hello.member)

    server = PeerServer(HELLO, answer_late, Traffic())
    await server.start("127.0.0.1", 0)
    client = PeerClient(HELLO, Traffic())
    address = address_of(server)
    patient = asyncio.create_task(client.call(address, GetStats(), 60.0))
    assert (await client.call(address, GetStats(), TIMEOUT_SECONDS)).is_err()
    answers.set()
    assert (await client.call(address, GetStats())).is_ok()
    assert (await patient).is_ok()
    await client.close()
    await server.stop()
