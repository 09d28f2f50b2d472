"""Handlers of messages from peers, one function per message type."""

import json
from functools import singledispatch

import structlog

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import (
    AnnounceSettings,
    Done,
    Drain,
    GetSettings,
    GetStats,
    ReportPermits,
    Stats,
)
from cactustiller.ownership import collect_control_counters, pool_of_service
from cactustiller.scheduler.ballots import is_plausible

log = structlog.get_logger(__name__)


@singledispatch
async def handle_message(message, gateway, hello):
    """Return the reply to a peer's message."""
    return Failure(
        code=ErrorCode.PROTOCOL,
        step=f"handle {type(message).__name__}",
        peer=gateway.member.record.member,
        reason="a gateway does not handle this message",
    )


@handle_message.register(AnnounceSettings)
@handle_message.register(GetSettings)
async def _answer_settings(message, gateway, hello):
    return await gateway.replica.answer(message, hello)


@handle_message.register
async def _report_permits(message: ReportPermits, gateway, hello):
    partition = pool_of_service(message.service)
    if not is_plausible(message.epoch, gateway.member.epoch_of(partition)):
        reason = f"ballot {message.epoch} is far beyond the epoch of {partition}"
        step = f"report permits of {message.service}"
        peer = getattr(hello, "member", "local")
        log.error("ballot_refused", step=step, peer=peer, reason=reason)
        return Failure(code=ErrorCode.INVALID, step=step, peer=peer, reason=reason)
    return gateway.router.report_permits(message)


@handle_message.register
async def _export_stats(message: GetStats, gateway, hello):
    return Stats(text=json.dumps(export_stats(gateway)))


@handle_message.register
async def _drain(message: Drain, gateway, hello):
    gateway.stop.set()
    return Done()


def export_stats(gateway):
    """Return the counters, gauges and histograms of a gateway."""
    export = gateway.metrics.export()
    export["gauges"] = {"evacuated_zones": gateway.evacuations.export()}
    export["counters"] |= collect_control_counters(gateway.member, gateway.ports)
    return export
