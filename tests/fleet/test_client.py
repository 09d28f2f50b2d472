"""Requests to the store and to workers over HTTP, and decoding of the answers."""

import asyncio
import json

import pytest
from aiohttp import web
from aiohttp.test_utils import RawTestServer

from cactustiller.cell import (
    Committed,
    Conflict,
    RowKey,
    StartAnswer,
    StartOrder,
    Transaction,
    WorkerInfo,
)
from cactustiller.fleet.store import HttpRowStore
from cactustiller.fleet.workers import HttpWorkerCalls
from cactustiller.model import Amounts, ErrorCode, Outcome
from tests.peers.builders import SilentRelay

KEY = RowKey("t", "p", "k")
ORDER = StartOrder("j.0.0.0", 1, "text", 9000, 3, ticket="ticket")


class Peer:
    """Server that returns one fixed answer and records the requests."""

    def __init__(self, status=200, content=None, is_unresponsive=False):
        self.requests = []
        self._status = status
        self._content = content or {}
        self._is_unresponsive = is_unresponsive

    async def __aenter__(self):
        self._server = RawTestServer(self._answer)
        await self._server.start_server()
        return self

    async def __aexit__(self, *exception):
        await self._server.close()

    @property
    def address(self):
        return f"{self._server.host}:{self._server.port}"

    async def _answer(self, request):
        body = await request.read()
        content = json.loads(body) if body else dict(request.query)
        self.requests.append((request.method, request.path, content, request.headers))
        if self._is_unresponsive:
            await asyncio.sleep(5)
        return web.json_response(self._content, status=self._status)


async def call_store(peer, seconds=2.0):
    store = HttpRowStore(peer.address)
    try:
        return await store.transact(Transaction({KEY: 0}, {KEY: b"v"}), seconds)
    finally:
        await store.close()


async def test_transaction_is_encoded_and_its_answer_decoded():
    async with Peer(content={"Ver": 7, "NowMs": 9}) as peer:
        answer = await call_store(peer)
    assert answer.unwrap() == Committed(7, 9)
    method, path, body, _ = peer.requests[0]
    assert (method, path) == ("POST", "/rows-tx")
    assert body["ExpectedRevision"] == [
        {"Table": "t", "part": "p", "Key": "k", "Ver": 0}
    ]
    assert body["Puts"][0]["Value"] == "dg=="


async def test_conflict_returns_the_current_rows():
    row = {"Table": "t", "part": "p", "Key": "k", "Value": "dg==", "Ver": 4}
    async with Peer(412, {"rows": [row]}) as peer:
        answer = await call_store(peer)
    assert isinstance(answer.unwrap(), Conflict)
    assert answer.unwrap().rows[0][1:] == (b"v", 4)


@pytest.mark.parametrize("status", [429, 503])
async def test_refusal_has_the_outcome_not_run(status):
    async with Peer(status) as peer:
        answer = await call_store(peer)
    assert answer.unwrap_err().outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("status", [400, 403, 413, 422])
async def test_refusal_of_the_content_has_its_own_code(status):
    # Guards against a refused row that is repeated as if its answer had been lost.
    async with Peer(status) as peer:
        failure = (await call_store(peer)).unwrap_err()
    assert (failure.code, failure.outcome) == (ErrorCode.INVALID, Outcome.NOT_RUN)


@pytest.mark.parametrize("status", [404, 500, 502, 507])
async def test_other_statuses_have_the_outcome_unknown(status):
    async with Peer(status) as peer:
        failure = (await call_store(peer)).unwrap_err()
    assert (failure.code, failure.outcome) == (ErrorCode.PROTOCOL, Outcome.UNKNOWN)


async def test_timeout_has_the_outcome_unknown():
    async with Peer(is_unresponsive=True) as peer:
        answer = await call_store(peer, seconds=0.1)
    assert answer.unwrap_err().outcome is Outcome.UNKNOWN


async def test_refused_connection_has_the_outcome_not_run():
    async with Peer() as peer:
        address = peer.address
    store = HttpRowStore(address)
    answer = await store.transact(Transaction({}, {}), 1.0)
    assert answer.unwrap_err().outcome is Outcome.NOT_RUN
    await store.close()


async def test_lost_history_has_its_own_code():
    async with Peer(410) as peer:
        store = HttpRowStore(peer.address)
        answer = await store.follow("t", 5, 0.0)
        await store.close()
    assert answer.unwrap_err().code is ErrorCode.HISTORY_LOST
    assert peer.requests[0][2] == {"Table": "t", "After": "5", "WaitMs": "0"}


@pytest.mark.parametrize(
    ("status", "content", "expected"),
    [
        (200, {}, StartAnswer.STARTED),
        (409, {"Reason": "fence"}, StartAnswer.FENCED),
        (409, {"Reason": "old"}, StartAnswer.OLD_RUN),
        (409, {"Reason": "late"}, StartAnswer.TOO_LATE),
        (409, {"Reason": "room"}, StartAnswer.NO_CAPACITY),
        (409, {"Reason": "ticket"}, StartAnswer.NO_TICKET),
        (421, {}, StartAnswer.OTHER_INCARNATION),
        (400, {}, StartAnswer.INVALID),
        (503, {}, StartAnswer.UNHEALTHY),
        (500, {}, StartAnswer.UNANSWERED),
    ],
)
async def test_answers_to_a_start(status, content, expected):
    async with Peer(status, content) as peer:
        calls = HttpWorkerCalls()
        worker = WorkerInfo("i-1", peer.address, "recon", "z", Amounts())
        assert await calls.start(worker, ORDER) is expected
        await calls.close()
    # A start goes over a connection that has answered a hold call.
    assert [request[1] for request in peer.requests] == ["/hold", "/run-start"]
    _, _, body, headers = peer.requests[1]
    assert (body["RunId"], body["FenceToken"], body["Ticket"]) == (1, 3, "ticket")
    assert "Checkpoint" not in body
    assert headers["X-Expect-Instance"] == "i-1"


@pytest.mark.parametrize(
    ("status", "content", "code"),
    [(409, {"Reason": "fence"}, ErrorCode.FENCED), (421, {}, ErrorCode.REPLACED)],
)
async def test_refused_hold_has_its_own_code(status, content, code):
    async with Peer(status, content) as peer:
        calls = HttpWorkerCalls()
        worker = WorkerInfo("i-1", peer.address, "recon", "z", Amounts())
        answer = await calls.hold(worker, 3, 7, 9000, 0)
        await calls.close()
    assert answer.unwrap_err().code is code
    assert peer.requests[0][2]["AckedThrough"] == 7


async def test_time_out_replaces_all_silent_connections():
    # Guards against one lost call for each connection of a pool that went silent.
    content = {"Ver": 1, "NowMs": 2}
    async with Peer(content=content) as peer, SilentRelay(peer.address) as relay:
        store = HttpRowStore(relay.address)
        transaction = Transaction({}, {KEY: b"v"})
        calls = [store.transact(transaction, 2.0) for _ in range(4)]
        assert all(answer.is_ok() for answer in await asyncio.gather(*calls))
        relay.silence()
        assert (await store.transact(transaction, 0.3)).is_err()
        calls = [store.transact(transaction, 2.0) for _ in range(4)]
        assert all(answer.is_ok() for answer in await asyncio.gather(*calls))
        await store.close()
