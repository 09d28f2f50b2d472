"""Stand-in of one executor, served over HTTP on an address of its own."""

import asyncio
import time
from dataclasses import dataclass

import orjson
from aiohttp import web

HOLD_MAX_SECONDS = 10.0
STOP_SECONDS = 0.1
TICK_SECONDS = 0.02
SAVE_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.5
ENDS_PER_ANSWER = 500
# Longer than any caller waits.
SILENT_SECONDS = 30.0


@dataclass
class Run:
    """Run that works on an executor."""

    task: str
    run: int
    seconds: float
    has_checkpoints: bool
    began: float
    stops_at: float = 0.0
    saved: str = ""


class Executor:
    """Executor that follows the platform's pages.

    Parameters
    ----------
    rig : Rig
        Its store, its record and the work of each task.
    worker : str
        Id.
    rack : str
    capacity : dict
        `Cpu`, `MemMb` and `Gpu`.
    """

    def __init__(self, rig, worker, rack, capacity):
        self.worker = worker
        self.address = ""
        self.state = "ready"
        self.remaining_ms = 0
        self.is_listed = False
        self._rig = rig
        self._rack = rack
        self._capacity = capacity
        self._runner = None
        self._site = None
        self._port = 0
        self._is_cut = False
        self._is_up = False
        self._sequence = 0
        self._last_report = 0.0
        self._begin_life()

    def _begin_life(self):
        self.born_ms = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self._fence = 0
        self._lease_ends = 0.0
        self._has_lapsed = False
        self.lapses = []
        self.runs = {}
        self._highest = {}
        self.ends = []
        self._count = 0
        self._changed = asyncio.Event()

    async def start(self):
        """Listen, and report to the store."""
        await self._listen()
        self._is_up = True
        self._report()

    async def _listen(self):
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, self._rig.executor_host, self._port, reuse_address=True
        )
        await self._site.start()
        self._port = self._site._server.sockets[0].getsockname()[1]
        self.address = f"{self._rig.executor_host}:{self._port}"

    async def stop_listening(self):
        """Refuse connections, and break those that are open."""
        runner, self._runner = self._runner, None
        if runner is not None:
            for protocol in list(runner.server.connections):
                if protocol.transport is not None:
                    protocol.transport.abort()
            await runner.cleanup()

    async def crash(self):
        """Lose everything that runs; connections are refused until a restart."""
        self._is_up = False
        self._rig.note("executor crashes", worker=self.worker, runs=len(self.runs))
        for run in self.runs.values():
            self._rig.note_end(self, run, "crashed")
        self.runs = {}
        await self.stop_listening()

    async def restart(self):
        """Start again under the same id; nothing of before is known."""
        self._begin_life()
        await self._listen()
        self._is_up = True
        self.state = "ready"
        self._report()
        self._rig.note("executor restarts", worker=self.worker)

    async def cut_off(self):
        """Cut the executor off from all machines and the store, with refusals."""
        self._is_cut = True
        self._rig.note("executor is cut off", worker=self.worker)
        await self.stop_listening()

    async def reconnect(self):
        """End the cut."""
        await self._listen()
        self._is_cut = False
        self._report()
        self._rig.note("executor is back", worker=self.worker)

    def drain(self, remaining_ms):
        """Announce a planned shutdown."""
        self.state, self.remaining_ms = "draining", remaining_ms
        self._rig.note("executor drains", worker=self.worker)
        self._report()

    async def leave(self):
        """Exit after a planned shutdown."""
        self._is_up = False
        self.is_listed = False
        self._rig.store.remove("servers", "", self.worker)
        self._rig.note("executor exits", worker=self.worker, runs=len(self.runs))
        for run in self.runs.values():
            self._rig.note_end(self, run, "left")
        self.runs = {}
        await self.stop_listening()

    def tick(self):
        """Pass the time: work, leases and status reports."""
        now = time.monotonic()
        if self._lease_ends and now > self._lease_ends and not self._has_lapsed:
            self._has_lapsed = True
            self.lapses.append(now)
            self._rig.note("lease lapses", worker=self.worker, runs=len(self.runs))
        if self._is_up:
            for run in list(self.runs.values()):
                if now > self._lease_ends:
                    self._end(run, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self._end(run, "stopped")
                elif now >= run.began + run.seconds:
                    self._end(run, self._rig.find_end(run.task, run.run))
                elif run.has_checkpoints:
                    saves = int((now - run.began) / SAVE_SECONDS)
                    run.saved = f"{saves:016x}" if saves else ""
            if not self._is_cut and now >= self._last_report + HEARTBEAT_SECONDS:
                self._report()
        is_silent = now > self._last_report + 3 * HEARTBEAT_SECONDS
        if self.is_listed and is_silent and self._rig.store.mode == "up":
            self.is_listed = False
            self._rig.store.remove("servers", "", self.worker)
            self._rig.note("entry expires", worker=self.worker)

    def _report(self):
        if self._rig.store.mode != "up" or self._is_cut:
            return
        self._last_report = time.monotonic()
        self._sequence += 1
        self.is_listed = True
        entry = {
            "Service": self._rig.service,
            "Address": self.address,
            "Zone": self._rig.zone,
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "SeqNum": self._sequence,
            "Capacity": self._capacity,
            "Labels": ["a", self._rack],
            "born": self.born_ms,
        }
        if self.state == "draining":
            entry["RemainingMs"] = self.remaining_ms
        self._rig.store.put("servers", "", self.worker, orjson.dumps(entry))

    def _end(self, run, how):
        del self.runs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.run)
        self._count += 1
        self.ends.append([self._count, run.task, run.run, how, run.saved])
        self._rig.note_end(self, run, how)
        self._changed.set()
        self._changed = asyncio.Event()

    def _clock_ms(self):
        return int((time.monotonic() - self._clock_zero) * 1000) + 1

    async def _handle(self, request):
        body = orjson.loads(await request.read())
        if request.headers.get("X-Expect-Instance", self.worker) != self.worker:
            return web.json_response({}, status=421)
        base = {"ClockMs": self._clock_ms(), "born": self.born_ms}
        if body.get("FenceToken", 0) < self._fence:
            return web.json_response(base | {"Reason": "fence"}, status=409)
        self._fence = body.get("FenceToken", 0)
        if request.path == "/run-start":
            return self._start(body, base)
        if request.path == "/run-stop":
            return self._stop(body, base)
        if request.path == "/hold":
            return await self._hold(body)
        return web.json_response(base, status=404)

    def _extend_lease(self, deadline_ms):
        now = time.monotonic()
        deadline = self._clock_zero + deadline_ms / 1000
        bounded = min(deadline, now + HOLD_MAX_SECONDS)
        self._lease_ends = max(self._lease_ends, bounded)
        self._has_lapsed = now > self._lease_ends
        return deadline > now

    def _start(self, body, base):
        task, run = body["Task"], body["RunId"]
        held = self.runs.get(task)
        if held is not None and held.run == run:
            return web.json_response(base)
        is_in_time = self._extend_lease(body["DeadlineMs"])
        if held is not None or run <= self._highest.get(task, 0):
            return web.json_response(base | {"Reason": "old"}, status=409)
        if not is_in_time:
            return web.json_response(base | {"Reason": "late"}, status=409)
        work = self._rig.describe(task)
        self.runs[task] = Run(
            task,
            run,
            work.seconds,
            work.has_checkpoints,
            time.monotonic(),
            saved=body.get("Checkpoint", ""),
        )
        self._rig.note_start(self, self.runs[task])
        return web.json_response(base)

    def _stop(self, body, base):
        task, run = body["Task"], body["RunId"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        held = self.runs.get(task)
        if held is not None and held.run <= run and not held.stops_at:
            held.stops_at = time.monotonic() + STOP_SECONDS
        return web.json_response(base)

    async def _hold(self, body):
        acked = body.get("AckedThrough", 0)
        for end in self.ends:
            if end[0] <= acked:
                self._rig.note_acknowledged(self, end)
        self.ends = [end for end in self.ends if end[0] > acked]
        if body.get("DeadlineMs") is not None:
            self._extend_lease(body["DeadlineMs"])
        if not self.ends and body.get("WaitMs"):
            try:
                async with asyncio.timeout(body["WaitMs"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        answer = {
            "ClockMs": self._clock_ms(),
            "born": self.born_ms,
            "ActiveRuns": [
                [
                    run.task,
                    run.run,
                    run.saved,
                    min(100, int(100 * (now - run.began) / run.seconds)),
                    0,
                ]
                for run in self.runs.values()
            ],
            "EndedRuns": self.ends[:ENDS_PER_ANSWER],
        }
        return web.json_response(answer)
