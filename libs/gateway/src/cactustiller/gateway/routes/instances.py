"""Instances of the cell: listing, draining and statistics."""

import asyncio
import json

from aiohttp import web

from cactustiller.model import ErrorCode
from cactustiller.model.messages import Drain, GetStats, Stats
from cactustiller.ownership import merge_stats

from ..context import get_authorization, get_gateway
from ..errors import make_refusal
from ..handlers import export_stats

CALL_TIMEOUT_SECONDS = 2.0


async def list_instances(request):
    """Answer members, workers and backend servers."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    listing = gateway.directory.listing.model_dump(mode="json")
    hidden = {"token", "incarnation"}
    members = [
        record.model_dump(mode="json", exclude=hidden)
        for record in gateway.member.list_members()
    ]
    return web.json_response({"members": members, **listing})


async def drain_instance(request):
    """Ask both daemons of an instance to shut down gracefully."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    instance = request.match_info["instance"]
    records = [
        record
        for record in gateway.member.list_members()
        if record.instance == instance
    ]
    if not records:
        reason = f"no member on instance {instance!r}"
        raise make_refusal(ErrorCode.NOT_FOUND, "drain instance", reason)
    rows = await asyncio.gather(*(_drain(gateway, record) for record in records))
    return web.json_response({"members": rows}, status=202)


async def show_stats(request):
    """Answer the cell's counters and histograms, and each member's counters."""
    gateway = get_gateway(request)
    gateway.access_control.identify_operator(get_authorization(request))
    records = [
        record
        for record in gateway.member.list_members()
        if record.member != gateway.member.record.member
    ]
    calls = [
        gateway.member.peers.call(record.peer_address, GetStats(), CALL_TIMEOUT_SECONDS)
        for record in records
    ]
    answers = await asyncio.gather(*calls)
    exports = {gateway.member.record.member: export_stats(gateway)}
    missing = []
    for record, answer in zip(records, answers, strict=True):
        if answer.is_ok() and isinstance(answer.unwrap(), Stats):
            exports[record.member] = json.loads(answer.unwrap().text)
        else:
            missing.append(record.member)
    members = {name: export["counters"] for name, export in exports.items()}
    return web.json_response(
        {**merge_stats(exports.values()), "members": members, "missing": missing}
    )


async def _drain(gateway, record):
    if record.member == gateway.member.record.member:
        gateway.stop.set()
        return {"member": record.member, "ok": True, "reason": ""}
    answer = await gateway.member.peers.call(
        record.peer_address, Drain(), CALL_TIMEOUT_SECONDS
    )
    reason = answer.unwrap_err().reason if answer.is_err() else ""
    return {"member": record.member, "ok": answer.is_ok(), "reason": reason}


ROUTES = (
    web.get("/v1/instances", list_instances),
    web.post("/v1/instances/{instance}/drain", drain_instance),
    web.get("/v1/stats", show_stats),
)
