"""The platform's interfaces over HTTP, in front of the in-process stand-in."""

import asyncio
import base64

import orjson
from aiohttp import web

from cactustiller.cell import (
    Committed,
    Row,
    RowKey,
    RunEnd,
    StartAnswer,
    StartOrder,
    Transaction,
)
from cactustiller.model import ErrorCode

from .troubles import SILENT_TROUBLES, WorkerTrouble

# Longer than any caller waits.
SILENT_SECONDS = 20.0
REASONS = {
    StartAnswer.FENCED: "fence",
    StartAnswer.OLD_RUN: "old",
    StartAnswer.TOO_LATE: "late",
}
ENDS = {
    RunEnd.DONE: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LEASE_EXPIRED: "lapsed",
}


async def serve(handle, host="127.0.0.1"):
    """Serve a handler on a free port; return its runner and address."""
    runner = web.ServerRunner(web.Server(handle, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    return runner, f"{host}:{port}"


def make_store_handler(client):
    """Return the handler of the metadata store, with the troubles of a client."""

    async def handle(request):
        if request.path == "/rows-tx":
            return await _transact(client, orjson.loads(await request.read()))
        query = request.query
        if request.path == "/rows-get":
            answer = await client.read(
                query["Table"], query["part"], query["From"], query["To"], 5.0
            )
        else:
            answer = await client.follow(
                query["Table"], int(query["After"]), int(query["WaitMs"]) / 1000
            )
        if answer.is_err():
            return _fail(answer.unwrap_err())
        page = answer.unwrap()
        content = {
            "rows": [_encode_row(row) for row in page.rows],
            "Ver": page.version,
            "NowMs": page.now_ms,
            "HasMore": page.has_more,
        }
        return web.json_response(content)

    return handle


async def _transact(client, body):
    transaction = Transaction(
        {_decode_key(row): row["Ver"] for row in body["ExpectedRevision"]},
        {_decode_key(row): base64.b64decode(row["Value"]) for row in body["Puts"]},
        tuple(_decode_key(row) for row in body["Remove"]),
    )
    answer = await client.transact(transaction, 5.0)
    if answer.is_err():
        return _fail(answer.unwrap_err())
    reply = answer.unwrap()
    if isinstance(reply, Committed):
        return web.json_response({"Ver": reply.version, "NowMs": reply.now_ms})
    rows = [_encode_row(row) for row in reply.rows]
    return web.json_response({"rows": rows}, status=412)


def _fail(failure):
    """Return the answer to a call that failed; its caller may have left."""
    statuses = {ErrorCode.HISTORY_LOST: 410, ErrorCode.OVERLOADED: 503}
    return web.json_response({}, status=statuses.get(failure.code, 500))


def make_worker_handler(worker):
    """Return the handler of one executor."""

    async def handle(request):
        body = orjson.loads(await request.read())
        if worker.trouble in SILENT_TROUBLES:
            await asyncio.sleep(SILENT_SECONDS)
        status, answer = await carry_out(worker, request.path, body)
        return web.json_response(answer, status=status)

    return handle


async def carry_out(worker, path, body, is_late=False):
    """Carry out a call to an executor; return the status and the answer."""
    if path == "/hold":
        return await _hold(worker, body)
    status, reason = _carry_out_order(worker, path, body, is_late)
    answer = _make_answer(worker)
    return status, answer | {"Reason": reason} if reason else answer


def _make_answer(worker):
    clock_ms = int(worker.read_clock() * 1000)
    return {"ClockMs": clock_ms, "born": worker.info.born_ms}


def _carry_out_order(worker, path, body, is_late):
    """Carry out an order; return the status and the reason of a refusal or None."""
    task, run, fence = body["Task"], body["RunId"], body["FenceToken"]
    if path == "/run-start":
        order = StartOrder(task, run, body["Spec"], body["DeadlineMs"], fence)
        outcome = worker.take_start(order, is_late)
        if outcome is not StartAnswer.STARTED:
            return 409, REASONS[outcome]
    elif path == "/pace":
        if not worker.take_pace(task, run, body["Percent"], fence):
            return 409, "fence"
    else:
        worker.take_stop(task, run, fence)
    return 200, None


async def _hold(worker, body):
    listing = worker.take_hold(
        body["FenceToken"], body["AckedThrough"], body.get("DeadlineMs")
    )
    if listing is None:
        return 409, _make_answer(worker) | {"Reason": "fence"}
    if not listing.ended and body.get("WaitMs"):
        try:
            async with asyncio.timeout(body["WaitMs"] / 1000):
                await worker.changed.wait()
        except TimeoutError:
            pass
        if worker.trouble is WorkerTrouble.DARK:
            await asyncio.sleep(SILENT_SECONDS)
        listing = worker.list_runs()
    return 200, _make_answer(worker) | _encode_listing(listing)


def _encode_listing(listing):
    """Return the fields of an executor's answer to a hold call."""
    return {
        "ClockMs": listing.clock_ms,
        "ActiveRuns": [list(run) for run in listing.active],
        "EndedRuns": [
            [end.number, end.task, end.run, ENDS[end.end], end.checkpoint]
            for end in listing.ended
        ],
    }


def make_approval_handler(valid_ms=2000):
    """Return the handler of the recommendation service; approves every worker."""

    async def handle(request):
        body = orjson.loads(await request.read())
        approved = [[worker, f"t-{worker}"] for worker in body["Workers"]]
        return web.json_response({"ApprovedWorkers": approved, "ValidMs": valid_ms})

    return handle


def encode_entry(info):
    """Return the text of an executor's entry."""
    cpu, memory, accelerators = info.capacity
    drain = {"RemainingMs": info.remaining_ms} if info.is_draining else {}
    return orjson.dumps(
        drain
        | {
            "Service": info.service,
            "Address": info.address,
            "Zone": info.zone,
            "State": "draining" if info.is_draining else "ready",
            "Capacity": {"Cpu": cpu, "MemMb": memory, "Gpu": accelerators},
            "Labels": list(info.labels),
            "SeqNum": 1,
            "born": info.born_ms,
        }
    )


def _decode_key(row):
    return RowKey(row["Table"], row["part"], row["Key"])


def _encode_row(row: Row):
    fields = {"Table": row.key.table, "part": row.key.part, "Key": row.key.key}
    if row.value is None:
        return fields | {"Deleted": True, "Ver": row.version}
    value = base64.b64encode(row.value).decode()
    return fields | {"Value": value, "Ver": row.version}
