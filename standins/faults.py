"""Fault switches that are read and set over HTTP."""

import asyncio
import random

from aiohttp import web
from pydantic import Field

from cactustiller.model import Record


class StoreFaults(Record):
    """Faults of the table service and the object store.

    Parameters
    ----------
    down : bool
        Answer 503 at once.
    slow_ms : int
        Delay of every answer in milliseconds.
    lose_answers, drop_requests : float
        Probability that the connection closes after, or before, the effect.
    seed : int
        Seed of the random choices; setting it starts them again.
    """

    down: bool = False
    slow_ms: int = Field(default=0, ge=0)
    lose_answers: float = Field(default=0.0, ge=0.0, le=1.0)
    drop_requests: float = Field(default=0.0, ge=0.0, le=1.0)
    seed: int = 0


class FaultSwitch:
    """Current faults of one program, changed field by field.

    Parameters
    ----------
    faults : Record
        Initial faults; its class gives the known names and ranges.
    """

    def __init__(self, faults):
        self.faults = faults
        self.random = random.Random(getattr(faults, "seed", 0))

    def change(self, changes):
        """Set the named faults; raises `ValidationError` for a wrong one."""
        merged = self.faults.model_dump() | changes
        self.faults = type(self.faults).model_validate(merged)
        if "seed" in changes:
            self.random.seed(changes["seed"])

    def happens(self, probability):
        """Return whether a fault of this probability strikes now."""
        return probability > 0 and self.random.random() < probability


def cut_connection(request):
    """Close the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def respond_json(record, status=200):
    """Return the record as a JSON response."""
    return web.Response(
        body=record.model_dump_json(), status=status, content_type="application/json"
    )


def respond_invalid(error):
    """Return 400 with the reason."""
    return web.json_response({"error": "invalid", "reason": str(error)}, status=400)


async def read_changes(request):
    """Return the body's fault names and values; raises `ValueError`."""
    changes = await request.json()
    if not isinstance(changes, dict):
        raise ValueError("expected a JSON object of faults")
    return changes


def build_fault_routes(switch):
    """Return the routes ``GET|POST /faults`` of a switch."""

    async def show(request):
        return respond_json(switch.faults)

    async def change(request):
        try:
            switch.change(await read_changes(request))
        except ValueError as error:
            return respond_invalid(error)
        return respond_json(switch.faults)

    return [web.get("/faults", show), web.post("/faults", change)]


def build_store_middleware(switch):
    """Return a middleware that applies `StoreFaults` to calls under ``/v1/``."""

    @web.middleware
    async def apply_faults(request, handler):
        if not request.path.startswith("/v1/"):
            return await handler(request)
        faults = switch.faults
        if faults.down:
            return web.json_response({"error": "down"}, status=503)
        if switch.happens(faults.drop_requests):
            return cut_connection(request)
        response = await handler(request)
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if switch.happens(faults.lose_answers):
            return cut_connection(request)
        return response

    return apply_faults
