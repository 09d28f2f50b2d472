"""Addresses at which workers run, one process after another, and their faults."""

import asyncio
from dataclasses import replace
from enum import Enum

import orjson
from aiohttp import web

from cactustiller.model import WorkerId

from .http import carry_out
from .troubles import WorkerTrouble

HEARTBEAT_SECONDS = 1.5
# Connections that a worker accepts; the others are reset.
CHANNELS = 64
# How long the connections of a machine that has lost power stay open.
LINGER_SECONDS = 12.0
# Longer than any caller waits.
SILENT_SECONDS = 20.0
LATE_SECONDS = (2.0, 12.0)
SLOW_SECONDS = (0.0, 1.0)
DOWN_SECONDS = (0.3, 3.0)


class Reach(Enum):
    """What becomes of calls to a host."""

    OPEN = "open"
    REFUSING = "refusing"
    SILENT = "silent"


class ChannelServer(web.Server):
    """Server that resets connections beyond a limit.

    Attributes
    ----------
    lingers_until : float
        Loop time before which closed connections stay counted for `LINGER_SECONDS`.
    """

    def __init__(self, handler):
        super().__init__(handler, access_log=None)
        self.lingers_until = 0.0
        self._open = {}

    def connection_made(self, handler, transport):
        """Count a connection, or reset it."""
        super().connection_made(handler, transport)
        if len(self._open) >= CHANNELS:
            transport.abort()
        else:
            self._open[handler] = transport

    def connection_lost(self, handler, exc=None):
        """Count a connection no more, at once or after a while."""
        super().connection_lost(handler, exc)
        loop = asyncio.get_running_loop()
        if loop.time() < self.lingers_until:
            loop.call_later(LINGER_SECONDS, self._open.pop, handler, None)
        else:
            self._open.pop(handler, None)

    def reset_all(self):
        """Reset each connection."""
        for transport in self._open.values():
            transport.abort()
        self._open.clear()


class WorkerHost:
    """One address, the worker that runs there and the path to it.

    Parameters
    ----------
    worker_id : WorkerId
        Of the first worker; the later ones have it with a number.
    ip : str
    make_worker : callable
        Id, address, clock zero and callback of crashes to a `FleetWorker`.
    registry : Registry
    generator : random.Random

    Attributes
    ----------
    late_share, slow_share, lost_share : float
        Shares of orders that are carried out seconds later without an answer, of calls
        that are carried out and answered late, and of calls without an answer.
    """

    def __init__(self, worker_id, ip, make_worker, registry, generator):
        self.late_share = self.slow_share = self.lost_share = 0.0
        self.worker = None
        self.is_up = False
        self.server = ChannelServer(self._handle)
        self._first_id = worker_id
        self._make_worker = make_worker
        self._registry = registry
        self._generator = generator
        self._listener = None
        self._address = (ip, 0)
        self._called_address = ""
        # The process died with its machine, so calls to it get no answer.
        self._is_dark = False
        self._opening = asyncio.Lock()
        self._cuts = []
        self._lives = 0
        self._tasks = set()

    async def start(self, open_relay):
        """Start the first worker, and report it from time to time.

        `open_relay` returns the address that callers use for that of the host.
        """
        await self._listen()
        self._address = self._listener.sockets[0].getsockname()
        self._called_address = await open_relay("{}:{}".format(*self._address))
        self._start_worker(self._first_id)
        self._run_aside(self._report_regularly())

    async def stop(self):
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.worker.stop()
        self._close()
        await self.server.shutdown(0.1)

    async def cut_off(self, seconds, reach):
        """Cut the host off for a while."""
        worker = self.worker
        self._tell(f"is cut off for {seconds:.2f} s, {reach.value}")
        self._cuts.append(reach)
        self._apply_reach()
        await asyncio.sleep(seconds)
        self._cuts.remove(reach)
        self._tell("is back")
        if worker is not self.worker:
            self.server.reset_all()
        self._apply_reach()
        await self._open()
        self.report()

    async def crash(self, seconds, is_dark=False, is_renamed=False):
        """Crash the worker and start another after a while."""
        if not self.is_up:
            return
        self._end_worker(is_dark)
        await self._replace_worker(seconds, is_renamed)

    async def drain(self, remaining_seconds, extra_seconds, down_seconds):
        """Let the worker announce its exit, serve on, exit and be replaced."""
        worker = self.worker
        if not self.is_up or worker.info.is_draining:
            return
        remaining_ms = int(remaining_seconds * 1000)
        worker.info = replace(worker.info, is_draining=True, remaining_ms=remaining_ms)
        self._tell("drains")
        self.report()
        await asyncio.sleep(remaining_seconds + extra_seconds)
        if self.is_up and self.worker is worker:
            if not self._cuts:
                self._registry.remove(worker.info.worker)
            self._end_worker(False)
            await self._replace_worker(down_seconds, True)

    def report(self):
        """Report the worker's status, if it is up and reaches the store."""
        if self.is_up and not self._cuts:
            self._registry.report(self.worker.info)

    def _tell(self, event):
        self.worker.audit.tell(f"{self.worker.info.worker} {event}")

    def _start_worker(self, worker_id):
        zero = asyncio.get_running_loop().time() - 1.0
        former = self.worker
        self.worker = self._make_worker(
            worker_id, self._called_address, zero, self._take_crash
        )
        if former is not None and former.info.worker == worker_id:
            self.worker.stopped_before = former.stopped_before
        self.worker.start()
        self._tell(f"starts, born {self.worker.info.born_ms}")
        self.is_up = True
        self._is_dark = False
        self.report()

    def _end_worker(self, is_dark):
        self.is_up, self._is_dark = False, is_dark
        self._tell(f"is down, dark {is_dark}")
        self.worker.crash()
        self._apply_reach()

    def _take_crash(self, worker):
        """Note that a task has crashed the worker."""
        if not self.is_up or worker is not self.worker:
            return
        self.is_up = False
        self._tell("is crashed by a task")
        # A process that dies by itself breaks its connections.
        self._is_dark = False
        self._apply_reach()
        is_renamed = self._generator.random() < 0.5
        seconds = self._generator.uniform(*DOWN_SECONDS)
        self._run_aside(self._replace_worker(seconds, is_renamed))

    async def _replace_worker(self, seconds, is_renamed):
        await self.worker.stop()
        await asyncio.sleep(seconds)
        worker_id = self.worker.info.worker
        if is_renamed:
            self._lives += 1
            worker_id = WorkerId(f"{self._first_id}-{self._lives}")
        if self._is_dark:
            self.server.reset_all()
        self._start_worker(worker_id)
        await self._open()

    @property
    def _reach(self):
        if Reach.REFUSING in self._cuts:
            return Reach.REFUSING
        if self._cuts or self._is_dark:
            return Reach.SILENT
        return Reach.OPEN if self.is_up else Reach.REFUSING

    def _apply_reach(self):
        if self._reach is Reach.REFUSING:
            self._close()

    def _close(self):
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.server.reset_all()

    async def _open(self):
        # A crash may end while a cut does.
        async with self._opening:
            if self._reach is not Reach.REFUSING and self._listener is None:
                await self._listen()

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self.server, *self._address, reuse_address=True
        )

    async def _report_regularly(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.report()

    def _run_aside(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _draw(self, share):
        return share > 0 and self._generator.random() < share

    async def _handle(self, request):
        body = orjson.loads(await request.read())
        worker = self.worker
        if self._reach is not Reach.OPEN:
            return await _stay_silent()
        if request.headers["X-Expect-Instance"] != worker.info.worker:
            return web.json_response({}, status=421)
        delay = 0.0 if request.path == "/hold" else self._choose_delay()
        if delay:
            self._run_aside(self._carry_out_late(request, body, delay))
            return await _stay_silent()
        if self._draw(self.slow_share):
            await asyncio.sleep(self._generator.uniform(*SLOW_SECONDS))
        if worker is not self.worker or self._reach is not Reach.OPEN:
            return await _stay_silent()
        status, answer = await carry_out(worker, request.path, body)
        if self._draw(self.slow_share):
            await asyncio.sleep(self._generator.uniform(*SLOW_SECONDS))
        is_gone = worker is not self.worker or self._reach is not Reach.OPEN
        if is_gone or self._draw(self.lost_share):
            return await _stay_silent()
        return web.json_response(answer, status=status)

    def _choose_delay(self):
        """Return after how many seconds an order is carried out, 0 if at once."""
        if self.worker.trouble is WorkerTrouble.ORDERS_LATE:
            return self.worker.late_seconds
        is_late = self._draw(self.late_share)
        return self._generator.uniform(*LATE_SECONDS) if is_late else 0.0

    async def _carry_out_late(self, request, body, delay):
        """Carry out an order seconds later, also by the next process of its id."""
        worker_id = self.worker.info.worker
        await asyncio.sleep(delay)
        if self.is_up and self.worker.info.worker == worker_id:
            await carry_out(self.worker, request.path, body, True)


async def _stay_silent():
    await asyncio.sleep(SILENT_SECONDS)
    return web.json_response({}, status=500)
