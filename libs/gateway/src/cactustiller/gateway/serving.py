"""Start and graceful shutdown of a gateway."""

import asyncio
import gc
from contextlib import AsyncExitStack

import aiohttp
import structlog
from aiohttp import web

from cactustiller.model import MemberRecord, Role
from cactustiller.ownership import Member, Metrics, SettingsEditor, SettingsReplica
from cactustiller.ports import HttpInstanceList, HttpTable

from .bodies import MAX_JSON_BYTES
from .callers import KeyGuard
from .calls import OwnerCalls
from .context import GATEWAY, Gateway, Phase, count_in_flight
from .deduplication import RequestRecords
from .errors import render_failures
from .executors import ExecutorDirectory
from .inbox import answer_peer
from .routes import list_routes
from .routing import RequestRouter

DRAIN_SECONDS = 60.0
COLLECT_EVERY_OBJECTS = 20_000

log = structlog.get_logger(__name__)


def build_app(gateway):
    """Return the aiohttp application of a `Gateway`."""
    app = web.Application(
        middlewares=[count_in_flight, render_failures], client_max_size=MAX_JSON_BYTES
    )
    app[GATEWAY] = gateway
    app.add_routes(list_routes())
    return app


def build_gateway(settings, session, stop):
    """Return the parts of a gateway, not yet started."""
    table = HttpTable(session, settings.platform.table)

    async def handle(message, hello):
        return await answer_peer(message, gateway, hello)

    member = Member(_make_record(settings), table, settings.timing, handle)
    replica = SettingsReplica(member, settings.timing, settings.peers)
    instances = HttpInstanceList(session, settings.platform.instances)
    directory = ExecutorDirectory(instances)
    metrics = Metrics()
    gateway = Gateway(
        member=member,
        replica=replica,
        editor=SettingsEditor(replica, member, settings.site, settings.cell),
        guard=KeyGuard(
            replica, settings.site, settings.cell, settings.first_operator_key_file
        ),
        calls=OwnerCalls(member),
        directory=directory,
        router=RequestRouter(member, directory, metrics),
        records=RequestRecords(member),
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
            shutdown_timeout=DRAIN_SECONDS,
            handler_cancellation=True,
            access_log=None,
        )
        await runner.setup()
        host, port = settings.gateway.host, settings.gateway.http_port
        await web.TCPSite(runner, host, port).start()
        _tune_collector()
        log.info("gateway_started", member=gateway.member.record.member, port=port)
        await stop.wait()
        await drain(gateway, runner, settings.timing.leaving_seconds)
    log.info("gateway_stopped", member=gateway.member.record.member)


async def drain(gateway, runner, leaving_seconds):
    """Shut down without cutting a request.

    The balancer is told first; new connections are taken until it has had
    `leaving_seconds` to notice, and requests in flight are finished.
    """
    gateway.phase = Phase.LEAVING
    log.info("gateway_leaving", in_flight=gateway.in_flight)
    await gateway.member.mark_leaving()
    await asyncio.sleep(leaving_seconds)
    for site in list(runner.sites):
        await site.stop()
    if gateway.in_flight:
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                await gateway.idle.wait()
        except TimeoutError:
            log.error("requests_cut", in_flight=gateway.in_flight)
    await runner.cleanup()
    await gateway.records.stop()
    await gateway.router.stop()
    await gateway.directory.stop()
    await gateway.replica.stop()
    await gateway.member.leave()


def _tune_collector():
    # Requests make hardly any cycles; what lives for long is not looked at again.
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_EVERY_OBJECTS)


def _make_record(settings):
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
