"""Senseless messages of peers to a gateway: answered by a failure, requests go on."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pydantic import ValidationError
from structlog.testing import capture_logs

from cactustiller.gateway.handlers import handle_message
from cactustiller.model import ErrorCode, Failure
from cactustiller.model.codec import Frame, decode_frame, encode_frame
from cactustiller.model.messages import MESSAGES, Hello, Permits, ReportPermits
from tests.fleet.malformed import malform
from tests.gateway.builders import SERVICE, Cell

fuzz = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
HELLO = Hello(member="s1", role="scheduler", zone="a", incarnation="i")
CLASSES = {message.__name__: message for message in MESSAGES}
VALID = {
    "ReportPermits": {"service": SERVICE, "epoch": 1},
    "AnnounceSettings": {
        "version": 9,
        "origin": "s1",
        "base_version": 1,
        "patch": "[]",
        "digest": "d",
    },
    "GetSettings": {"known_version": 0},
    "GetStats": {},
    "GetJob": {"home": "home-01", "job": "j"},
}
PERMITS = {
    "permits": [{"number": 1, "executor": "x1", "epoch": 1}],
    "queued": 0,
    "epoch": 1,
    "life_ms": 1000,
    "share": 0,
    "lost": [7],
}


def make_message(name, content):
    """Return the message that a frame carries, None if none can."""
    try:
        message = CLASSES[name].model_validate(content)
        return decode_frame(encode_frame(Frame(1, False, message))).message
    except (ValidationError, ValueError):
        return None


@st.composite
def draw_message(draw):
    name = draw(st.sampled_from(sorted(VALID)))
    return make_message(name, draw(malform(VALID[name])))


def check_in_cell(strategy, check):
    """Run a coroutine function with a cell and each drawn value; then one request."""
    with asyncio.Runner() as runner:
        cell = Cell()
        runner.run(cell.start())

        @fuzz
        @given(strategy)
        def check_one(value):
            if value is not None:
                runner.run(check(cell, value))

        try:
            with capture_logs() as lines:
                check_one()
            errors = {line["event"] for line in lines if line["log_level"] == "error"}
            assert errors <= {"ballot_refused"}
            answer = runner.run(cell.call("POST", f"/v1/requests/{SERVICE}", data=b"x"))
            assert answer[0].status == 200
        finally:
            runner.run(cell.stop())


def test_senseless_messages_are_answered():
    async def check(cell, message):
        reply = await handle_message(message, cell.gateway, HELLO)
        if isinstance(reply, Failure):
            assert reply.step
            assert reply.reason
        encode_frame(Frame(1, True, reply))

    check_in_cell(draw_message(), check)


def test_senseless_replies_of_the_pools_owner_end_no_renewal():
    async def check(cell, reply):
        store = cell.gateway.router.get_store(SERVICE)
        answer = cell.scheduler.pool.acquire

        cell.scheduler.pool.acquire = lambda message: reply
        store._wake.set()
        await asyncio.sleep(0)
        await store._renew(1)
        cell.scheduler.pool.acquire = answer

    strategy = malform(PERMITS).map(lambda content: make_message("Permits", content))
    check_in_cell(strategy, check)


def test_valid_contents_are_messages():
    for name, content in (VALID | {"Permits": PERMITS}).items():
        CLASSES[name].model_validate(content)


@pytest.mark.parametrize("epoch", [2**60, 2**63 - 1])
async def test_senseless_ballot_does_not_block_a_service(cell, epoch):
    # A gateway follows no lower ballot, so each later permit was ignored.
    message = ReportPermits(service=SERVICE, epoch=epoch)
    reply = await handle_message(message, cell.gateway, HELLO)
    assert reply.code is ErrorCode.INVALID
    assert reply.peer == HELLO.member
    store = cell.gateway.router.get_store(SERVICE)
    acquire = cell.scheduler.pool.acquire
    cell.scheduler.pool.acquire = lambda message: Permits(permits=[], epoch=epoch)
    await store._renew(1)
    cell.scheduler.pool.acquire = acquire
    response, _ = await cell.call("POST", f"/v1/requests/{SERVICE}", data=b"x")
    assert response.status == 200
