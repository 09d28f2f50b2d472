"""Stand-ins of the platform's executors, which run tasks as its page says."""

import asyncio
import time
from dataclasses import dataclass, field

from aiohttp import web
from orjson import dumps, loads

HEARTBEAT_SECONDS = 1.5
# An entry expires after three intervals without a status report.
EXPIRY_SECONDS = 4.5
TICK_SECONDS = 0.02
HOLD_MAX_MS = 10_000
STOP_SECONDS = 0.15
GANG_SECONDS = 3.0
SAVE_MS = 2000
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500
# Longer than any caller waits.
SILENT_SECONDS = 30.0


@dataclass(eq=False)
class Run:
    """One run; `work_ms` of `total_ms` are done."""

    task: str
    number: int
    step: dict
    saved: str
    work_ms: float
    total_ms: float
    end: str
    started_at: float
    stops_at: float = 0.0
    is_present: bool = True

    @property
    def percent(self):
        """Progress in percent."""
        if self.step.get("LongRunning"):
            return 100
        return min(100, int(100 * self.work_ms / self.total_ms))


@dataclass(eq=False)
class Gang:
    """Members of one run of a gang, by task name."""

    count: int
    members: dict = field(default_factory=dict)
    is_complete: bool = False
    end: str = ""


class Fleet:
    """All executors of one service.

    Parameters
    ----------
    store : Store
    tell : callable
        Called with a line for the record.
    describe : callable
        Name of a task and number of its run to its step (a dict as submitted), its work
        in milliseconds, and how it ends; None for a task that nobody sent.

    Attributes
    ----------
    starts, ends : list of dict
        What executors have begun and ended, in order.
    noted : list of dict
        Ends that `AckedThrough` has reached, and whether the lease still held.
    call_count : int
        Calls to all executors.
    """

    def __init__(self, store, tell, describe):
        self.store = store
        self.tell = tell
        self.describe = describe
        self.executors = []
        self.starts, self.ends, self.noted = [], [], []
        self.call_count = 0
        self.gangs = {}
        self._task = None

    async def start(self, ip, count, capacity, service, rack_size=8):
        """Start executors on free ports of an IP address."""
        for index in range(count):
            zone = f"z{index % 3}"
            labels = ["ab"[index % 2], f"r{index // rack_size}"]
            executor = Executor(self, f"i-7f3a{index:04x}", capacity, labels)
            await executor.open(ip, service, zone)
            self.executors.append(executor)
        self._task = asyncio.create_task(self._work())

    async def add_foreign(self, ip, capacity, service, fence):
        """Add an executor of another system, which has seen a fence number."""
        executor = Executor(self, "i-0ther0001", capacity, ["a", "r0"])
        executor.set_fence(fence)
        await executor.open(ip, service, "z0")
        self.executors.append(executor)
        self.tell(f"{executor.name}: of service {service}, has seen fence {fence}")

    async def stop(self):
        """Stop all executors."""
        if self._task is not None:
            self._task.cancel()
        for executor in self.executors:
            await executor.close()

    def list_running(self):
        """Return all runs that are on an executor, up or cut off."""
        return [run for item in self.executors for run in item.runs.values()]

    async def _work(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for executor in self.executors:
                executor.work()


class Executor:
    """One executor, which may be cut off and runs on.

    Parameters
    ----------
    fleet : Fleet
    name : str
    capacity : dict
        `Cpu`, `MemMb` and `Gpu`.
    labels : list of str
    """

    def __init__(self, fleet, name, capacity, labels):
        self.name = name
        self.capacity = capacity
        self.runs = {}
        self.is_cut_off = False
        self._fleet = fleet
        self._labels = labels
        self._stopped = {}
        self._ends = []
        self._end_count = 0
        self._fence = 0
        self._lease_ms = 0.0
        self._zero = time.monotonic() - 1.0
        self._born = int(time.time() * 1000)
        self._changed = asyncio.Event()
        # Takes a hold call and returns whether it gets no answer and waits for
        # `carry_out_late`.
        self.is_late = lambda body: False
        self._late_calls = []
        self._runner = self._reports = self._restart = None
        self._sequence = 0
        self._entry = {}
        self._reported_at = 0.0
        self._worked_at = time.monotonic()

    async def open(self, ip, service, zone):
        """Listen and report."""
        port = await self._listen(ip, 0)
        self._entry = {
            "Service": service,
            "Address": f"{ip}:{port}",
            "Zone": zone,
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": self.capacity,
            "Labels": self._labels,
            "born": self._born,
        }
        self._reports = asyncio.create_task(self._report())

    async def _listen(self, ip, port):
        """Listen on a port, 0 for any free one; return it."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, port)
        await site.start()
        return site._server.sockets[0].getsockname()[1]

    async def close(self):
        """End the executor."""
        self._reports.cancel()
        if self._restart is not None:
            self._restart.cancel()
        await self._runner.cleanup()

    async def carry_out_late(self, min_seconds):
        """Carry out the calls without an answer that came so long ago or longer."""
        now = time.monotonic()
        due = [call for call in self._late_calls if now - call[0] >= min_seconds]
        self._late_calls = [call for call in self._late_calls if call not in due]
        for _, body in due:
            if body["FenceToken"] < self._fence:
                continue
            acked = body.get("AckedThrough", 0)
            self._fleet.tell(f"{self.name}: carries out a late hold, acked {acked}")
            await self._hold(body | {"WaitMs": 0})

    async def crash(self, seconds):
        """End the process; another one starts under the same id after a time.

        It holds and knows nothing of before, and its numbers start anew.
        """
        self._fleet.tell(f"{self.name}: crashes with {len(self.runs)} runs")
        for run in list(self.runs.values()):
            gang = self._find_gang(run)
            if gang is not None and not gang.end:
                gang.end = "broken"
            self._fleet.ends.append(
                {
                    "task": run.task,
                    "run": run.number,
                    "how": "crashed",
                    "at": time.monotonic(),
                }
            )
        self.runs, self._stopped, self._ends = {}, {}, []
        # A crash tells the store nothing: the entry stays until it expires.
        self._reports.cancel()
        await self._runner.cleanup()
        self._restart = asyncio.create_task(self._start_again(seconds))

    async def _start_again(self, seconds):
        await asyncio.sleep(seconds)
        self._fence = self._end_count = self._sequence = 0
        self._lease_ms = 0.0
        self._zero = time.monotonic() - 1.0
        self._born = int(time.time() * 1000)
        ip, _, port = self._entry["Address"].rpartition(":")
        await self._listen(ip, int(port))
        self._entry["born"] = self._born
        self._reports = asyncio.create_task(self._report())
        self._fleet.tell(f"{self.name}: starts again, born {self._born}")

    def set_fence(self, fence):
        """Set the highest fence number that the executor has seen."""
        self._fence = fence

    def work(self):
        """Advance all runs."""
        now = time.monotonic()
        elapsed_ms, self._worked_at = (now - self._worked_at) * 1000, now
        is_lapsed = self.runs and self._read_clock_ms() > self._lease_ms
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            gang = self._find_gang(run)
            if is_lapsed:
                self._finish(run, "lapsed")
            elif run.stops_at and now >= run.stops_at:
                run.saved = self._save(run)
                self._finish(run, "stopped")
            elif gang is not None and gang.end:
                self._finish(run, gang.end)
            elif gang is not None and not gang.is_complete:
                if now - run.started_at > GANG_SECONDS:
                    self._finish(run, "alone")
            elif not run.step.get("LongRunning"):
                self._advance(run, elapsed_ms, gang)

    def _advance(self, run, elapsed_ms, gang):
        before = run.work_ms
        run.work_ms += elapsed_ms
        if int(run.work_ms / SAVE_MS) > int(before / SAVE_MS):
            run.saved = self._save(run)
        if run.work_ms < run.total_ms:
            return
        if gang is not None:
            gang.end = run.end if run.end == "done" else "broken"
        self._finish(run, run.end)

    def _save(self, run):
        """Return a checkpoint: milliseconds of work, and the job it belongs to."""
        if not run.step.get("CheckpointEnabled"):
            return ""
        return f"{int(run.work_ms):08x}{run.task[:8]}"

    def _find_gang(self, run):
        if not run.step.get("Gang"):
            return None
        return self._fleet.gangs[run.task.rpartition(".")[0], run.number]

    def _finish(self, run, how):
        del self.runs[run.task]
        gang = self._find_gang(run)
        if gang is not None and how != "done" and not gang.end:
            gang.end = "broken"
        self._stopped[run.task] = max(self._stopped.get(run.task, 0), run.number)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, run.saved])
        self._fleet.ends.append(
            {"task": run.task, "run": run.number, "how": how, "at": time.monotonic()}
        )
        self._fleet.tell(f"{self.name}: end {run.task} run {run.number} {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def _report(self):
        while True:
            now = time.monotonic()
            if not self.is_cut_off:
                self._sequence += 1
                self._reported_at = now
                entry = self._entry | {"SeqNum": self._sequence}
                self._fleet.store.put("servers", self.name, dumps(entry))
            elif now - self._reported_at > EXPIRY_SECONDS:
                self._fleet.store.remove("servers", self.name)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _handle(self, request):
        body = loads(await request.read())
        self._fleet.call_count += 1
        if self.is_cut_off:
            await asyncio.sleep(SILENT_SECONDS)
            return web.Response(status=500)
        if request.headers.get("X-Expect-Instance") != self.name:
            return web.json_response({}, status=421)
        if request.path == "/hold" and self.is_late(body):
            self._late_calls.append((time.monotonic(), body))
            acked = body.get("AckedThrough", 0)
            self._fleet.tell(f"{self.name}: hold gets no answer, acked {acked}")
            await asyncio.sleep(SILENT_SECONDS)
            return web.Response(status=500)
        if body.get("FenceToken", 0) < self._fence:
            status, answer = 409, {"Reason": "fence"}
            lower = f"fence {body.get('FenceToken', 0)} is below {self._fence}"
            self._fleet.tell(f"{self.name}: {request.path} 409, {lower}")
        else:
            self._fence = body.get("FenceToken", 0)
            status, answer = await self._carry_out(request.path, body)
        if self.is_cut_off:
            await asyncio.sleep(SILENT_SECONDS)
        answer |= {"ClockMs": int(self._read_clock_ms()), "born": self._born}
        return web.Response(
            status=status, body=dumps(answer), content_type="application/json"
        )

    async def _carry_out(self, path, body):
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            self._stop(body["Task"], body["RunId"])
            return 200, {}
        if path == "/hold":
            return 200, await self._hold(body)
        return 200, {}

    def _start(self, body):
        task, number = body["Task"], body["RunId"]
        held = self.runs.get(task)
        if held is not None and held.number == number:
            return 200, {}
        self._extend_lease(body["DeadlineMs"])
        if number <= self._stopped.get(task, 0) or held is not None:
            return 409, {"Reason": "old"}
        if body["DeadlineMs"] <= self._read_clock_ms():
            return 409, {"Reason": "late"}
        described = self._fleet.describe(task, number)
        if described is None:
            self._fleet.tell(f"{self.name}: start {task}, which nobody sent")
            return 400, {}
        step, total_ms, end = described
        saved = body.get("Checkpoint", "")
        done_ms = int(saved[:8], 16) if saved else 0
        now = time.monotonic()
        run = Run(task, number, step, saved, done_ms, total_ms, end, now)
        self.runs[task] = run
        if step.get("Gang"):
            key = (task.rpartition(".")[0], number)
            gang = self._fleet.gangs.setdefault(key, Gang(step["Count"]))
            gang.members[task] = saved
            gang.is_complete = len(gang.members) == gang.count
        self._fleet.starts.append(
            {"task": task, "run": number, "on": self.name, "at": now, "saved": saved}
        )
        text = f" checkpoint {saved}" if saved else ""
        self._fleet.tell(f"{self.name}: start {task} run {number}{text}")
        return 200, {}

    def _stop(self, task, number):
        self._stopped[task] = max(self._stopped.get(task, 0), number)
        held = self.runs.get(task)
        if held is not None and held.number <= number and not held.stops_at:
            held.stops_at = time.monotonic() + STOP_SECONDS

    async def _hold(self, body):
        if body.get("DeadlineMs"):
            self._extend_lease(body["DeadlineMs"])
        acked = body.get("AckedThrough", 0)
        is_held = self._read_clock_ms() <= self._lease_ms
        self._fleet.noted += [
            {"task": end[1], "run": end[2], "is_lease_held": is_held}
            for end in self._ends
            if end[0] <= acked
        ]
        self._ends = [end for end in self._ends if end[0] > acked]
        wait = min(MAX_WAIT_MS, body.get("WaitMs", 0)) / 1000
        if wait and not self._ends:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass
        active = [
            [run.task, run.number, run.saved, run.percent, int(run.step.get("Cpu", 0))]
            for run in self.runs.values()
        ]
        return {"ActiveRuns": active, "EndedRuns": self._ends[:MAX_LISTED_ENDS]}

    def _extend_lease(self, deadline_ms):
        latest = self._read_clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, latest))

    def _read_clock_ms(self):
        return (time.monotonic() - self._zero) * 1000
