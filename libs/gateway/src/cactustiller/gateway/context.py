"""State of a gateway that its HTTP handlers share."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

from cactustiller.ownership import (
    Member,
    Metrics,
    SettingsEditor,
    SettingsReplica,
    ZoneEvacuations,
)

from .access import AccessControl
from .deduplication import RequestRecordStore
from .executors import ExecutorDirectory
from .owner_client import OwnerClient
from .routing import RequestRouter

RESPONSE_TIMEOUT_SECONDS = 30.0


class Phase(Enum):
    """Phase of a gateway's lifecycle."""

    SERVING = "serving"
    LEAVING = "leaving"


@dataclass
class Gateway:
    """Components of one gateway, its phase and its requests in flight."""

    member: Member
    replica: SettingsReplica
    editor: SettingsEditor
    access_control: AccessControl
    evacuations: ZoneEvacuations
    owner_client: OwnerClient
    directory: ExecutorDirectory
    router: RequestRouter
    records: RequestRecordStore
    metrics: Metrics
    stop: asyncio.Event
    ports: dict[str, object] = field(default_factory=dict)
    phase: Phase = Phase.SERVING
    in_flight: int = 0
    idle: asyncio.Event = field(default_factory=asyncio.Event)


GATEWAY = web.AppKey("gateway", Gateway)


def get_gateway(request):
    """Return the `Gateway` that handles a request."""
    return request.app[GATEWAY]


def get_authorization(request):
    """Return the Authorization header, an empty string if absent."""
    return request.headers.get("Authorization", "")


@web.middleware
async def count_in_flight(request, handler):
    """Count requests in flight, and close connections while leaving."""
    gateway = get_gateway(request)
    gateway.in_flight += 1
    gateway.idle.clear()
    try:
        response = await handler(request)
        if gateway.phase is Phase.LEAVING:
            response.force_close()
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            await response.prepare(request)
            await response.write_eof()
        return response
    except TimeoutError:
        # The caller reads too slowly: drop its connection and the rest.
        gateway.metrics.count("answers_not_read")
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        gateway.in_flight -= 1
        if gateway.in_flight == 0:
            gateway.idle.set()
