"""Stand-ins of executors that run tasks; a task's `Spec` says how long it works."""

import asyncio
import time
from dataclasses import dataclass, field

import orjson
from aiohttp import web

TICK_SECONDS = 0.04
STOP_SECONDS = 0.1
MAX_LEASE_SECONDS = 10.0
MAX_LISTED_ENDS = 500
MAX_WAIT_SECONDS = 2.0
# `SaveS`: work after which a checkpoint is made.
SAVE_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.5
# Three intervals between status reports.
ENTRY_LIFETIME_SECONDS = 4.5
# Longer than any caller waits.
SILENT_SECONDS = 60.0


@dataclass
class Run:
    """One start of a task, and its work that is left, in seconds."""

    task: str
    run: int
    total: float
    left: float
    saved: str = ""
    stops_at: float = 0.0
    gang: "Gang | None" = None
    is_saved: bool = False


@dataclass
class Gang:
    """One run of a gang, whose members work while all of them are present.

    Attributes
    ----------
    members : set of str
        Tasks that are present.
    is_broken : bool
        A member has ended other than `done`, so the others end `broken`.
    """

    size: int
    members: set = field(default_factory=set)
    is_broken: bool = False


class Gangs:
    """Gangs at work on the executors of one cell, by step and run number."""

    def __init__(self):
        self._gangs = {}

    def join(self, task, run, size):
        """Add a member and return its gang."""
        key = task.rpartition(".")[0], run
        gang = self._gangs.setdefault(key, Gang(size))
        gang.members.add(task)
        return gang


@dataclass
class Life:
    """What one process of an executor holds; its clock begins at its start."""

    began: float = field(default_factory=time.monotonic)
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_until: float = 0.0
    runs: dict = field(default_factory=dict)
    over: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    end_count: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def clock(self):
        """Seconds since the process started."""
        return time.monotonic() - self.began


class Executor:
    """One executor, which may crash and start again under its id.

    Parameters
    ----------
    executor_id, service, rack : str
    ip : str
        Loopback address to listen on.
    store : Store
    record : Record
    capacity : dict
        `Cpu`, `MemMb` and `Gpu`.

    Attributes
    ----------
    gangs : Gangs
        Shared by the executors of a cell.
    choose_delay : callable
        Takes path and body of an order; returns after how many seconds the order is
        carried out, without an answer, or None for at once.
    starts, ends : list of tuple
        ``(time, task, run, checkpoint)`` and ``(time, task, run, how)`` in order.
    """

    def __init__(self, executor_id, service, rack, ip, store, record, capacity):
        self.id = executor_id
        self.life = Life()
        self.is_up = True
        self.is_cut = False
        self.gangs = Gangs()
        self.choose_delay = lambda path, body: None
        self.starts, self.ends = [], []
        self._service, self._rack, self._capacity = service, rack, capacity
        self._ip, self._port = ip, 0
        self._store, self._record = store, record
        self._server = web.Server(self._handle, access_log=None)
        self._listener = None
        self._shown = None
        self._tasks = set()

    async def open(self):
        """Listen, report to the store and begin to work."""
        await self._listen()
        self._run_aside(self._work())
        self._run_aside(self._report())

    async def close(self):
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()
        await self._server.shutdown(0.1)

    async def crash(self):
        """Lose everything; the address refuses connections."""
        self._record.note(self.id, "crashes")
        for run in self.life.runs.values():
            self.ends.append((time.monotonic(), run.task, run.run, "crashed"))
            _leave_gang(run, "crashed")
        self.is_up = False
        self.life = Life()
        self._listener.close()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def restart(self):
        """Start a new process under the same id, at the same address."""
        self.life = Life()
        self.is_up = True
        self._shown = None
        await self._listen()
        self.report()
        self._record.note(self.id, f"starts again, born {self.life.born_ms}")

    def report(self):
        """Write the entry if it has changed."""
        entry = {
            "Service": self._service,
            "Address": f"{self._ip}:{self._port}",
            "Zone": "z-1",
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "SeqNum": 1,
            "Capacity": self._capacity,
            "Labels": ["a", self._rack],
            "born": self.life.born_ms,
        }
        if entry != self._shown:
            self._store.put("servers", self.id, entry)
            self._shown = entry

    async def _listen(self):
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, self._ip, self._port, reuse_address=True
        )
        self._port = self._listener.sockets[0].getsockname()[1]

    async def _report(self):
        reported_at = time.monotonic()
        while True:
            now = time.monotonic()
            if self.is_up and not self.is_cut and not self._store.is_down:
                self.report()
                reported_at = now
            elif now - reported_at > ENTRY_LIFETIME_SECONDS and self._shown:
                self._store.remove("servers", self.id)
                self._shown = None
            await asyncio.sleep(HEARTBEAT_SECONDS / 5)

    def _run_aside(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self):
        worked_at = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            elapsed, worked_at = now - worked_at, now
            life = self.life
            if not self.is_up:
                continue
            for run in list(life.runs.values()):
                _work_on(run, elapsed)
                if life.clock > life.lease_until:
                    self._end(run, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self._end(run, "stopped")
                elif run.gang is not None and run.gang.is_broken:
                    self._end(run, "broken")
                elif run.left <= 0:
                    self._end(run, "done")

    def _end(self, run, how):
        life = self.life
        del life.runs[run.task]
        _leave_gang(run, how)
        life.over[run.task] = max(run.run, life.over.get(run.task, 0))
        life.end_count += 1
        life.ends.append([life.end_count, run.task, run.run, how, run.saved])
        self.ends.append((time.monotonic(), run.task, run.run, how))
        self._record.note(self.id, f"end {run.task} run {run.run} {how}")
        life.changed.set()
        life.changed = asyncio.Event()

    async def _handle(self, request):
        body = orjson.loads(await request.read())
        if self.is_cut:
            await asyncio.sleep(SILENT_SECONDS)
        if request.headers.get("X-Expect-Instance") != self.id:
            return web.json_response(self._describe(), status=421)
        if request.path == "/hold":
            return await self._hold(body)
        delay = self.choose_delay(request.path, body)
        if delay is not None:
            name = f"{request.path} {body['Task']} run {body['RunId']}"
            self._record.note(self.id, f"{name} gets no answer, is due in {delay} s")
            self._run_aside(self._carry_out_late(request.path, body, delay))
            await asyncio.sleep(SILENT_SECONDS)
        status, reason = self._carry_out(request.path, body)
        answer = self._describe() | ({"Reason": reason} if reason else {})
        return web.json_response(answer, status=status)

    def _describe(self):
        return {"ClockMs": int(self.life.clock * 1000), "born": self.life.born_ms}

    async def _carry_out_late(self, path, body, delay):
        await asyncio.sleep(delay)
        if not self.is_up:
            return
        status, reason = self._carry_out(path, body)
        name = f"{path} {body['Task']} run {body['RunId']}"
        self._record.note(self.id, f"{name} carried out late: {status} {reason or ''}")

    def _carry_out(self, path, body):
        life = self.life
        if body["FenceToken"] < life.fence:
            return 409, "fence"
        life.fence = body["FenceToken"]
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        return 200, None

    def _start(self, body):
        life = self.life
        task, run = body["Task"], body["RunId"]
        held = life.runs.get(task)
        if held is not None and held.run == run:
            return 200, None
        if held is not None or run <= life.over.get(task, 0):
            self._extend(body)
            return 409, "old"
        if body["DeadlineMs"] / 1000 <= life.clock:
            return 409, "late"
        self._extend(body)
        spec, saved = orjson.loads(body["Spec"]), body.get("Checkpoint", "")
        seconds = spec["seconds"]
        size = spec.get("gang", 0)
        gang = self.gangs.join(task, run, size) if size else None
        is_saved = bool(spec.get("saves"))
        life.runs[task] = Run(task, run, seconds, seconds, saved, 0.0, gang, is_saved)
        self.starts.append((time.monotonic(), task, run, saved))
        self._record.note(self.id, f"start {task} run {run} {saved}")
        return 200, None

    def _stop(self, body):
        task, run = body["Task"], body["RunId"]
        self.life.over[task] = max(run, self.life.over.get(task, 0))
        held = self.life.runs.get(task)
        if held is not None and held.run <= run and not held.stops_at:
            held.stops_at = time.monotonic() + STOP_SECONDS
        self._record.note(self.id, f"stop {task} run {run}")
        return 200, None

    def _extend(self, body):
        deadline = min(body["DeadlineMs"] / 1000, self.life.clock + MAX_LEASE_SECONDS)
        self.life.lease_until = max(self.life.lease_until, deadline)

    async def _hold(self, body):
        life = self.life
        if body["FenceToken"] < life.fence:
            return web.json_response(self._describe() | {"Reason": "fence"}, status=409)
        life.fence = body["FenceToken"]
        if "DeadlineMs" in body:
            self._extend(body)
        life.ends = [end for end in life.ends if end[0] > body["AckedThrough"]]
        wait = min(body.get("WaitMs", 0) / 1000, MAX_WAIT_SECONDS)
        if wait and not life.ends:
            try:
                async with asyncio.timeout(wait):
                    await life.changed.wait()
            except TimeoutError:
                pass
        if self.is_cut or life is not self.life:
            await asyncio.sleep(SILENT_SECONDS)
        active = [
            [run.task, run.run, run.saved, _percent(run), 1000]
            for run in life.runs.values()
        ]
        ended = life.ends[:MAX_LISTED_ENDS]
        lists = {"ActiveRuns": active, "EndedRuns": ended}
        return web.json_response(self._describe() | lists)


def _work_on(run, seconds):
    """Let a run work, a gang's only while all members are present; save its state."""
    gang = run.gang
    if gang is not None and len(gang.members) < gang.size:
        return
    before, run.left = run.left, run.left - seconds
    saves = [int((run.total - left) / SAVE_SECONDS) for left in (before, run.left)]
    if run.is_saved and saves[1] > saves[0]:
        run.saved = f"{run.run:04x}{saves[1]:012x}"


def _leave_gang(run, how):
    if run.gang is not None:
        run.gang.is_broken |= how != "done"


def _percent(run):
    return max(0, min(100, int(100 * (1 - run.left / run.total))))
