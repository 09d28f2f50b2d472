"""Backend servers: one process with many executors, one port each."""

import asyncio
import itertools

import typer
from aiohttp import web
from pydantic import Field

from cactustiller.model import InstanceState, Record

from .faults import cut_connection, read_changes, respond_invalid, respond_json
from .instances import BackendInfo, Kind, register_all
from .server import build_application, start_server, wait_for_signal

DEFAULT_WORK_MS = 5


class BackendFaults(Record):
    """Faults of one executor."""

    fail: bool = False
    slow_ms: int = Field(default=0, ge=0)
    hang: bool = False
    leaving: bool = False
    cut_answers: bool = False


class RequestEvent(Record):
    """Start or end of a request; `busy` counts the requests after the event."""

    at: float
    executor: str
    request: str
    event: str
    busy: int
    connections: int


class RequestHistory(Record):
    """Answer of ``GET /history``."""

    events: list[RequestEvent]


class Executor:
    """One executor that echoes requests, at most `slots` at once.

    Parameters
    ----------
    info : BackendInfo
        Identity and limits.
    events : list of RequestEvent
        Receives every start and end.
    count_connections : callable
        Returns the number of open connections.
    """

    def __init__(self, info, events, count_connections):
        self.info = info
        self.events = events
        self.count_connections = count_connections
        self.faults = BackendFaults()
        self.busy = 0
        self._released = asyncio.Event()
        self._released.set()

    def set_faults(self, changes):
        """Set the named faults; requests that hang go on when it is cleared."""
        self.faults = BackendFaults.model_validate(self.faults.model_dump() | changes)
        leaving = self.faults.leaving
        state = InstanceState.LEAVING if leaving else InstanceState.LIVE
        self.info = self.info.with_changes(state=state)
        if self.faults.hang:
            self._released.clear()
        else:
            self._released.set()

    async def run(self, request):
        """Answer ``POST /v1/run``."""
        headers = {"x-executor": self.info.executor}
        headers["x-request-id"] = name = request.headers.get("x-request-id", "")
        if self.faults.leaving:
            headers["x-leaving"] = "1"
        try:
            work_ms = float(request.headers.get("x-work-ms", DEFAULT_WORK_MS))
            reply_bytes = int(request.headers.get("x-reply-bytes", -1))
            deadline_ms = float(request.headers.get("x-deadline-ms", "inf"))
        except ValueError as error:
            return respond_invalid(error)
        until = asyncio.get_running_loop().time() + deadline_ms / 1000
        body = await request.read()
        if self.busy >= self.info.slots:
            return web.Response(status=503, headers=headers | {"x-not-run": "1"})
        self.busy += 1
        self._record(name, "start")
        try:
            async with asyncio.timeout_at(until):
                await asyncio.sleep((work_ms + self.faults.slow_ms) / 1000)
                await self._released.wait()
        except TimeoutError:
            return web.Response(status=504, headers=headers)
        finally:
            self.busy -= 1
            self._record(name, "end")
        if self.faults.cut_answers:
            return cut_connection(request)
        if self.faults.fail:
            return web.Response(status=500, headers=headers)
        if reply_bytes >= 0:
            repeated = itertools.islice(itertools.cycle(body or b"x"), reply_bytes)
            body = bytes(repeated)
        return web.Response(body=body, headers=headers)

    def _record(self, name, event):
        self.events.append(
            RequestEvent.model_construct(
                at=asyncio.get_running_loop().time(),
                executor=self.info.executor,
                request=name,
                event=event,
                busy=self.busy,
                connections=self.count_connections(),
            )
        )


class BackendPool:
    """Executors of one process, their servers and their listing.

    Parameters
    ----------
    infos : list of BackendInfo
        One for each executor; each is served at its own address.
    instances : str
        Address of the instance list; empty for none.
    """

    def __init__(self, infos, instances):
        self.infos = infos
        self.instances = instances
        self.events = []
        self.executors = {}
        self._runners = []

    async def start(self):
        """Serve and register every executor."""
        for info in self.infos:
            await self._start_executor(info)
        await self._register(self.executors.values())

    async def stop(self):
        """Stop every server."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def set_faults(self, name, changes):
        """Set the named faults of one executor, or of all for ``*``."""
        chosen = [
            executor for key, executor in self.executors.items() if name in ("*", key)
        ]
        for executor in chosen:
            executor.set_faults(changes)
        if "leaving" in changes:
            await self._register(chosen)
        return len(chosen)

    async def _start_executor(self, info):
        host, port = info.address.rsplit(":", 1)
        executor = Executor(info, self.events, lambda: len(runner.server.connections))
        self.executors[info.executor] = executor
        routes = [
            web.post("/v1/run", executor.run),
            web.get("/history", self._show_history),
            web.get("/faults", self._show_faults),
            web.post("/faults", self._change_faults),
        ]
        runner = await start_server(
            build_application(routes), host, int(port), cancel_abandoned=True
        )
        self._runners.append(runner)

    async def _register(self, executors):
        if self.instances:
            named = {executor.info.executor: executor.info for executor in executors}
            await register_all(self.instances, Kind.BACKENDS, named)

    async def _show_history(self, request):
        return respond_json(RequestHistory.model_construct(events=self.events))

    async def _show_faults(self, request):
        return web.json_response(
            {name: each.faults.model_dump() for name, each in self.executors.items()}
        )

    async def _change_faults(self, request):
        try:
            changes = await read_changes(request)
            name = changes.pop("executor", "*")
            changed = await self.set_faults(name, changes)
        except ValueError as error:
            return respond_invalid(error)
        if not changed:
            return web.json_response({"error": "unknown executor"}, status=404)
        return web.json_response({"changed": changed})


def list_backends(host, port, count, service, slots, connections, zones, region):
    """Return `count` `BackendInfo` at consecutive ports, zones in turn."""
    return [
        BackendInfo(
            executor=f"{service}-{number:03d}",
            service=service,
            address=f"{host}:{port + number}",
            zone=zones[number % len(zones)],
            region=region,
            slots=slots,
            connections=connections,
        )
        for number in range(count)
    ]


async def run_backends(pool):
    """Serve the pool until SIGTERM or SIGINT."""
    try:
        await pool.start()
        await wait_for_signal()
    finally:
        await pool.stop()


def main(
    host: str = "127.0.0.1",
    port: int = 21010,
    instances: str = "",
    count: int = 6,
    service: str = "echo",
    slots: int = 8,
    connections: int = 64,
    zones: str = "a,b,c",
    region: str = "r1",
):
    """Run COUNT executors at consecutive ports from PORT."""
    infos = list_backends(
        host, port, count, service, slots, connections, zones.split(","), region
    )
    asyncio.run(run_backends(BackendPool(infos, instances)))


if __name__ == "__main__":
    typer.run(main)
