"""Malformed addresses and messages that cannot be encoded: a failure with its peer."""

import pytest
from structlog.testing import capture_logs

from cactustiller.model import ErrorCode, Outcome
from cactustiller.model.messages import Done, GetJob, GetSettings, Hello, SettingsBody
from cactustiller.peers import PeerClient, PeerServer, Traffic

HELLO = Hello(member="g1", role="gateway", zone="a", incarnation="i")


@pytest.mark.parametrize(
    "address", ["", "nowhere", "a:b", "127.0.0.1:99999", "127.0.0.1:-1", "\x00:1", ":"]
)
async def test_malformed_address_of_a_peer_is_a_failure_of_the_call(address):
    # The address is part of a member's row. It raised in the announcements, which ended
    # each scheduler of the cell.
    client = PeerClient(HELLO, Traffic())
    failure = (await client.call(address, Done(), 1.0)).unwrap_err()
    assert failure.code is ErrorCode.UNAVAILABLE
    assert failure.outcome is Outcome.NOT_RUN
    assert failure.peer == address
    await client.close()


async def serve(handle):
    server = PeerServer(HELLO, handle, Traffic())
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def test_request_that_cannot_be_encoded_is_a_failure_and_others_go_on():
    async def handle(message, hello):
        return Done()

    server, address = await serve(handle)
    client = PeerClient(HELLO, Traffic())
    message = GetSettings.model_construct(known_version=2**80)
    failure = (await client.call(address, message, 1.0)).unwrap_err()
    assert failure.step == "call GetSettings"
    assert failure.peer == address
    assert failure.outcome is Outcome.NOT_RUN
    answer = await client.call(address, GetJob(home="h", job="j"), 1.0)
    assert isinstance(answer.unwrap(), Done)
    await client.close()
    await server.stop()


async def test_reply_that_cannot_be_encoded_is_answered_by_a_failure():
    # The caller waited for its whole timeout, and the exception was lost.
    async def handle(message, hello):
        return SettingsBody.model_construct(
            version=2**80, text="", age_ms=0, table_down=False, member_count=0
        )

    server, address = await serve(handle)
    client = PeerClient(HELLO, Traffic())
    with capture_logs() as lines:
        failure = (await client.call(address, GetSettings(), 1.0)).unwrap_err()
    assert failure.code is ErrorCode.PROTOCOL
    assert failure.step == "reply to GetSettings"
    assert failure.outcome is Outcome.UNKNOWN
    assert [line["event"] for line in lines if line["log_level"] == "error"] == [
        "peer_request_failed"
    ]
    await client.close()
    await server.stop()
