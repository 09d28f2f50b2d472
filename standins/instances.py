"""Instance list: the platform's lagging view of workers, backends, entries."""

import asyncio
import hashlib
from enum import StrEnum

import aiohttp
import typer
from aiohttp import web
from pydantic import Field, ValidationError

from cactustiller.model import InstanceState, Record, Resources

from .faults import FaultSwitch, build_fault_routes, respond_invalid
from .server import build_application, serve_until_signal

LIST_PATH = "/v1/instances"
REGISTER_TRIES = 50
ETAG_BYTES = 16
JSON = "application/json"
REGISTER_PAUSE_SECONDS = 0.1


class WorkerInfo(Record):
    """One worker; `address` is ``ip:port``."""

    worker: str
    address: str
    rack: str
    zone: str
    region: str
    make: str
    attributes: dict[str, str] = {}
    resources: Resources
    state: InstanceState = InstanceState.LIVE
    honours_epochs: bool = True


class BackendInfo(Record):
    """One backend server's executor; `slots` requests run at once."""

    executor: str
    service: str
    address: str
    zone: str
    region: str
    slots: int = Field(ge=1)
    connections: int = Field(ge=1)
    state: InstanceState = InstanceState.LIVE


class EntryInfo(Record):
    """One entry instance."""

    instance: str
    zone: str
    state: InstanceState = InstanceState.LIVE


class InstanceList(Record):
    """Answer of ``GET /v1/instances``."""

    workers: list[WorkerInfo]
    backends: list[BackendInfo]
    entries: list[EntryInfo]


class ListFaults(Record):
    """Faults of the list: seconds by which it lags, and 503 at once."""

    lag_s: float = Field(default=0.0, ge=0.0)
    down: bool = False


class Kind(StrEnum):
    """Kind of a listed instance, as in the path."""

    WORKERS = "workers"
    BACKENDS = "backends"
    ENTRIES = "entries"


RECORD_TYPES = {
    Kind.WORKERS: WorkerInfo,
    Kind.BACKENDS: BackendInfo,
    Kind.ENTRIES: EntryInfo,
}


class InstanceRegister:
    """Every change of each instance with its time on the loop's clock."""

    def __init__(self):
        self._changes = {kind: {} for kind in Kind}

    def change(self, kind, name, info):
        """Record an instance's new state; None removes it."""
        now = asyncio.get_running_loop().time()
        self._changes[kind].setdefault(name, []).append((now, info))

    def show(self, lag_seconds=0.0):
        """Return the `InstanceList` of `lag_seconds` ago."""
        moment = asyncio.get_running_loop().time() - lag_seconds
        lists = {}
        for kind, names in self._changes.items():
            seen = (self._find(changes, moment) for changes in names.values())
            lists[kind.value] = [info for info in seen if info is not None]
        return InstanceList.model_construct(**lists)

    @staticmethod
    def _find(changes, moment):
        return next((info for at, info in reversed(changes) if at <= moment), None)


def build_instances(register, switch):
    """Return the HTTP application of the list."""

    @web.middleware
    async def apply_faults(request, handler):
        if switch.faults.down and request.path == LIST_PATH:
            return web.json_response({"error": "down"}, status=503)
        return await handler(request)

    async def show(request):
        body = register.show(switch.faults.lag_s).model_dump_json().encode()
        digest = hashlib.blake2b(body, digest_size=ETAG_BYTES).hexdigest()
        headers = {"ETag": f'"{digest}"'}
        if request.headers.get("If-None-Match") == headers["ETag"]:
            return web.Response(status=304, headers=headers)
        return web.Response(body=body, headers=headers, content_type=JSON)

    async def put(request):
        kind = Kind(request.match_info["kind"])
        try:
            info = RECORD_TYPES[kind].model_validate_json(await request.read())
        except ValidationError as error:
            return respond_invalid(error)
        register.change(kind, request.match_info["name"], info)
        return web.Response(status=204)

    async def delete(request):
        register.change(
            Kind(request.match_info["kind"]), request.match_info["name"], None
        )
        return web.Response(status=204)

    path = "/v1/{kind:workers|backends|entries}/{name}"
    routes = [
        web.get(LIST_PATH, show),
        web.put(path, put),
        web.delete(path, delete),
        *build_fault_routes(switch),
    ]
    return build_application(routes, [apply_faults])


async def register_all(address, kind, infos):
    """Put {name: info} into the list at `address`, waiting until it answers."""
    async with aiohttp.ClientSession(f"http://{address}") as session:
        for name, info in infos.items():
            await _put_with_retry(session, f"/v1/{kind}/{name}", info)


async def _put_with_retry(session, path, info):
    for remaining in reversed(range(REGISTER_TRIES)):
        try:
            async with session.put(path, data=info.model_dump_json()) as response:
                response.raise_for_status()
                return
        except aiohttp.ClientError:
            if not remaining:
                raise
        await asyncio.sleep(REGISTER_PAUSE_SECONDS)


def main(host: str = "127.0.0.1", port: int = 21003):
    """Run the instance list until SIGTERM or SIGINT."""
    application = build_instances(InstanceRegister(), FaultSwitch(ListFaults()))
    asyncio.run(serve_until_signal(application, host, port))


if __name__ == "__main__":
    typer.run(main)
