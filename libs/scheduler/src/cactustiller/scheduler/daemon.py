"""Scheduler daemon: homes, shards and pools of one instance."""

import asyncio

import aiohttp
import structlog

from cactustiller.model import MemberId, MemberRecord, Role
from cactustiller.ports import HttpInstanceList, HttpTable, HttpWorkers

from .incarnation import Incarnation, Ports

RESTART_PAUSE_SECONDS = 0.2

log = structlog.get_logger(__name__)


async def serve_scheduler(settings, stop):
    """Run the scheduler of an instance until `stop` is set.

    A scheduler that another one has taken over from drops all state and joins the
    cell again as a new incarnation.

    Parameters
    ----------
    settings : InstanceSettings
    stop : asyncio.Event
    """
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        ports = Ports(
            table=HttpTable(session, settings.platform.table),
            instances=HttpInstanceList(session, settings.platform.instances),
            workers=HttpWorkers(session),
        )
        await run_incarnations(
            lambda: Incarnation(settings, _make_record(settings), ports), stop
        )


async def run_incarnations(create_incarnation, stop):
    """Run one incarnation after another until `stop` is set.

    Parameters
    ----------
    create_incarnation : callable
    stop : asyncio.Event
    """
    while not stop.is_set():
        try:
            await create_incarnation().run(stop)
        except Exception as error:
            log.exception(
                "incarnation_failed",
                step="run incarnation",
                reason=f"{type(error).__name__}: {error}",
            )
        log.info("scheduler_incarnation_ended", graceful=stop.is_set())
        if not stop.is_set():
            # A programming error may recur at once.
            await asyncio.sleep(RESTART_PAUSE_SECONDS)


def _make_record(settings):
    scheduler = settings.scheduler
    return MemberRecord(
        member=MemberId(f"{settings.instance}-scheduler"),
        role=Role.SCHEDULER,
        instance=settings.instance,
        zone=settings.zone,
        region=settings.region,
        peer_address=f"{scheduler.host}:{scheduler.peer_port}",
        incarnation="",
    )
