"""Startup and graceful shutdown of a gateway."""

import asyncio
import gc
from contextlib import AsyncExitStack

import aiohttp
import structlog
from aiohttp import web

from cactustiller.model import MemberRecord, Role
from cactustiller.ownership import (
    Member,
    Metrics,
    SettingsEditor,
    SettingsReplica,
    ZoneEvacuations,
)
from cactustiller.ports import HttpInstanceList, HttpTable

from .access import AccessControl
from .bodies import MAX_JSON_BYTES
from .context import GATEWAY, Gateway, Phase, count_in_flight
from .deduplication import RequestRecordStore
from .errors import handle_failures
from .executors import ExecutorDirectory
from .handlers import handle_message
from .owner_client import OwnerClient
from .routes import list_routes
from .routing import RequestRouter

DRAIN_TIMEOUT_SECONDS = 60.0
GC_THRESHOLD_OBJECTS = 20_000

log = structlog.get_logger(__name__)


def build_app(gateway):
    """Return the aiohttp application of a `Gateway`."""
    app = web.Application(
        middlewares=[count_in_flight, handle_failures], client_max_size=MAX_JSON_BYTES
    )
    app[GATEWAY] = gateway
    app.add_routes(list_routes())
    return app


def build_gateway(settings, session, stop):
    """Return a `Gateway` whose components are not yet started."""
    table = HttpTable(session, settings.platform.table)

    async def handle(message, hello):
        return await handle_message(message, gateway, hello)

    member = Member(_make_member_record(settings), table, settings.timing, handle)
    replica = SettingsReplica(member, settings.timing, settings.peers)
    instances = HttpInstanceList(session, settings.platform.instances)
    evacuations = ZoneEvacuations(replica, settings.site, settings.cell)
    directory = ExecutorDirectory(instances, evacuations)
    metrics = Metrics()
    gateway = Gateway(
        member=member,
        replica=replica,
        editor=SettingsEditor(replica, member, settings.site, settings.cell),
        access_control=AccessControl(
            replica, settings.site, settings.cell, settings.first_operator_key_file
        ),
        evacuations=evacuations,
        owner_client=OwnerClient(member),
        directory=directory,
        router=RequestRouter(member, directory, metrics, replica),
        records=RequestRecordStore(member),
        metrics=metrics,
        stop=stop,
        ports={"table": table, "instances": instances},
    )
    return gateway


async def serve_gateway(settings, stop):
    """Serve until `stop` is set, then shut down gracefully.

    Parameters
    ----------
    settings : InstanceSettings
    stop : asyncio.Event
    """
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        gateway = build_gateway(settings, session, stop)
        await gateway.member.listen()
        await gateway.member.start()
        await gateway.replica.start()
        await gateway.editor.create_default()
        await gateway.directory.start()
        gateway.router.start()
        gateway.records.start()
        runner = web.AppRunner(
            build_app(gateway),
            shutdown_timeout=DRAIN_TIMEOUT_SECONDS,
            handler_cancellation=True,
            access_log=None,
        )
        await runner.setup()
        host, port = settings.gateway.host, settings.gateway.http_port
        await web.TCPSite(runner, host, port).start()
        _tune_garbage_collector()
        log.info("gateway_started", member=gateway.member.record.member, port=port)
        await stop.wait()
        await drain(gateway, runner, settings.timing.leaving_seconds)
    log.info("gateway_stopped", member=gateway.member.record.member)


async def drain(gateway, runner, leaving_seconds):
    """Shut down without interrupting requests in flight.

    The health check fails at once, but new connections are still accepted for
    `leaving_seconds`, until the load balancer has reacted. Requests in flight then
    have `DRAIN_TIMEOUT_SECONDS` to finish.
    """
    gateway.phase = Phase.LEAVING
    log.info("gateway_leaving", in_flight=gateway.in_flight)
    await gateway.member.mark_leaving()
    await asyncio.sleep(leaving_seconds)
    for site in list(runner.sites):
        await site.stop()
    if gateway.in_flight:
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_SECONDS):
                await gateway.idle.wait()
        except TimeoutError:
            log.error("requests_cut", in_flight=gateway.in_flight)
    await runner.cleanup()
    await gateway.records.stop()
    await gateway.router.stop()
    await gateway.directory.stop()
    await gateway.replica.stop()
    await gateway.member.leave()


def _tune_garbage_collector():
    # Requests create hardly any reference cycles, so collections can be rare.
    # Freezing exempts the long-lived objects of the startup from collections.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


def _make_member_record(settings):
    gateway = settings.gateway
    host = gateway.host
    return MemberRecord(
        member=f"{settings.instance}-{Role.GATEWAY}",
        role=Role.GATEWAY,
        instance=settings.instance,
        zone=settings.zone,
        region=settings.region,
        peer_address=f"{host}:{gateway.peer_port}",
        http_address=f"{host}:{gateway.http_port}",
        incarnation="",
    )
