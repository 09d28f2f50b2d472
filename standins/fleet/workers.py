"""Workers that run tasks under leases and fences."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace

from result import Ok

from cactustiller.cell import (
    ListedEnd,
    ListedRun,
    Listing,
    RunEnd,
    StartAnswer,
    WorkerInfo,
)
from cactustiller.model import ErrorCode

from .troubles import ABSENT_FAILURES, SILENT_TROUBLES, WorkerTrouble, make_failure

CALL_SECONDS = 0.003
LOST_SECONDS = 1.0
STOP_SECONDS = 0.2
TICK_SECONDS = 0.01
# A longer lease is shortened to this.
MAX_LEASE_SECONDS = 10.0
# The other ends are listed once these are acknowledged.
MAX_LISTED_ENDS = 500
# Time from the start of a task that crashes its worker to the crash.
CRASH_SECONDS = 0.01


@dataclass
class FleetRun:
    """Run on a worker; `seconds` is the work that is left."""

    task: str
    run: int
    amounts: tuple
    seconds: float
    total: float
    stops_at: float = 0.0
    pace: int = 100


@dataclass
class FleetWorker:
    """One worker.

    Parameters
    ----------
    describe : callable
        Task name to its amounts and seconds of work.
    crashes_on : callable
        Task name to whether the task crashes each worker that starts it.
    on_crash : callable
        Called with this worker after its crash.
    find_slowdown : callable
        Task name and run to the factor by which the run takes longer.
    """

    info: WorkerInfo
    audit: object
    describe: object
    crashes_on: object = lambda task: False
    on_crash: object = lambda worker: None
    find_slowdown: object = lambda task, run: 1
    trouble: WorkerTrouble = WorkerTrouble.NONE
    late_seconds: float = 3.0
    stop_seconds: float = STOP_SECONDS
    # Loop time at which the worker's own clock showed 0.
    clock_zero: float = 0.0
    # Tail latency in milliseconds of the serving runs, from the runs at work here.
    measure_load: object = lambda runs: 0
    fence: int = 0
    lease_until: float = 0.0
    runs: dict = field(default_factory=dict)
    stopped: dict = field(default_factory=dict)
    # Runs that former processes stopped or ended, which this one does not know.
    stopped_before: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    ends_count: int = 0
    # Number of all starts at the time of each end since the lease last lapsed.
    starts_at_end: dict = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    _task: asyncio.Task | None = None

    def start(self):
        """Begin to work."""
        self._task = asyncio.create_task(self._work())

    async def stop(self):
        """Stop working."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def be_reborn(self, born_ms):
        """Lose everything and start a new life."""
        for run in self.runs.values():
            self.audit.note_end(self.info.worker, run.task, run.run, "crashed")
        self.info = replace(self.info, born_ms=born_ms)
        self.starts_at_end = {}
        self.stopped_before |= self.stopped
        self.runs, self.stopped, self.ends = {}, {}, []
        self.fence = self.ends_count = 0
        self.lease_until = 0.0

    def crash(self, cause=None, is_silent=False):
        """Lose everything and refuse connections; `cause` is the task at fault.

        After a silent crash the calls get no answer, and connections stay open.
        """
        if self.trouble in (WorkerTrouble.CRASHED, WorkerTrouble.DARK):
            return
        if cause is not None:
            self.audit.note_crash(cause)
        self.be_reborn(self.info.born_ms)
        self.trouble = WorkerTrouble.DARK if is_silent else WorkerTrouble.CRASHED
        self.changed.set()
        self.changed = asyncio.Event()
        self.on_crash(self)

    def read_clock(self):
        """Return the worker's own time in seconds."""
        return asyncio.get_running_loop().time() - self.clock_zero

    def take_start(self, order, is_late=False):
        """Carry out a start, seconds after it was sent if `is_late`."""
        now = self.read_clock()
        if order.fencing_token < self.fence:
            return StartAnswer.FENCED
        self.fence = order.fencing_token
        held = self.runs.get(order.task)
        if held is not None and held.run == order.run:
            return StartAnswer.STARTED
        if order.run <= self.stopped.get(order.task, 0) or held is not None:
            return StartAnswer.OLD_RUN
        if order.deadline_ms / 1000 <= now:
            return StartAnswer.TOO_LATE
        self._extend_lease(order.deadline_ms)
        amounts, seconds = self.describe(order.task)
        seconds *= self.find_slowdown(order.task, order.run)
        run = FleetRun(order.task, order.run, amounts, seconds, seconds)
        self.runs[order.task] = run
        was_stopped = order.run <= self.stopped_before.get(order.task, 0)
        self.audit.note_start(
            self.info.worker, order.task, order.run, is_late, is_late and was_stopped
        )
        free = [
            capacity - sum(run.amounts[index] for run in self.runs.values())
            for index, capacity in enumerate(self.info.capacity)
        ]
        if min(free) < 0:
            self.audit.note_overload(self.info.worker, free)
        if self.crashes_on(order.task):
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_SECONDS, self.crash, order.task)
        return StartAnswer.STARTED

    def take_stop(self, task, run, fence):
        """Carry out a stop."""
        if fence < self.fence:
            return
        self.fence = fence
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        held = self.runs.get(task)
        if held is not None and held.run <= run and not held.stops_at:
            held.stops_at = self.read_clock() + self.stop_seconds

    def take_pace(self, task, run, percent, fence):
        """Set the pace of a run."""
        if fence < self.fence:
            return False
        self.fence = fence
        held = self.runs.get(task)
        if held is not None and held.run == run:
            held.pace = percent
        return True

    def take_hold(self, fence, acked_through, deadline_ms):
        """Renew the lease; return the `Listing`, or None for a lower fence."""
        if fence < self.fence:
            return None
        self.fence = fence
        if deadline_ms is not None:
            self._extend_lease(deadline_ms)
        for end in self.ends:
            if end.number <= acked_through and end.end is RunEnd.DONE:
                starts = self.starts_at_end.get(end.number)
                self.audit.note_acknowledged(end.task, starts)
        self.ends = [end for end in self.ends if end.number > acked_through]
        return self.list_runs()

    def list_runs(self):
        """Return the `Listing` as of now."""
        now_ms = int(self.read_clock() * 1000)
        active = tuple(
            ListedRun(
                run.task,
                run.run,
                "",
                int(100 * (1 - run.seconds / run.total)),
                self.measure_load(list(self.runs.values())),
            )
            for run in self.runs.values()
        )
        ended = tuple(self.ends[:MAX_LISTED_ENDS])
        is_complete = len(ended) < MAX_LISTED_ENDS
        return Listing(now_ms, self.info.born_ms, active, ended, is_complete)

    async def _work(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.read_clock()
            self._note_lapse()
            for run in list(self.runs.values()):
                if self.trouble is not WorkerTrouble.STANDING_STILL:
                    run.seconds -= TICK_SECONDS * run.pace / 100
                if now > self.lease_until:
                    self._end(run, RunEnd.LEASE_EXPIRED)
                elif run.stops_at and now >= run.stops_at:
                    self._end(run, RunEnd.STOPPED)
                elif self.trouble is WorkerTrouble.FAILING:
                    self._end(run, RunEnd.FAILED)
                elif run.seconds <= 0:
                    self._end(run, RunEnd.DONE)

    def _extend_lease(self, deadline_ms):
        self._note_lapse()
        latest = self.read_clock() + MAX_LEASE_SECONDS
        self.lease_until = max(self.lease_until, min(deadline_ms / 1000, latest))

    def _note_lapse(self):
        if self.read_clock() > self.lease_until:
            self.starts_at_end.clear()

    def _end(self, run, how):
        del self.runs[run.task]
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.run)
        self.ends_count += 1
        self.ends.append(ListedEnd(self.ends_count, run.task, run.run, how, ""))
        self.starts_at_end[self.ends_count] = len(self.audit.starts)
        self.audit.note_end(self.info.worker, run.task, run.run, how.value)
        if how is RunEnd.FAILED:
            self.audit.note_failure(run.task, run.run)
        self.changed.set()
        self.changed = asyncio.Event()


class WorkerClient:
    """One member's way to the workers."""

    def __init__(self, workers):
        self.is_cut_off = False
        self._workers = workers
        self._late = set()

    async def start(self, worker, order):
        """Start a run."""
        found = self._workers[worker.worker]
        if await self._lose(found, lambda: found.take_start(order)):
            return StartAnswer.UNANSWERED
        if found.trouble is WorkerTrouble.CRASHED:
            return StartAnswer.UNHEALTHY
        if found.trouble is WorkerTrouble.REPLACED:
            return StartAnswer.OTHER_INCARNATION
        return found.take_start(order)

    async def stop(self, worker, task, run, fence):
        """Stop a run."""
        found = self._workers[worker.worker]
        if await self._lose(found, lambda: found.take_stop(task, run, fence)):
            return make_failure(ErrorCode.TIMEOUT, "no answer")
        if found.trouble in ABSENT_FAILURES:
            return make_failure(*ABSENT_FAILURES[found.trouble])
        found.take_stop(task, run, fence)
        return Ok(None)

    async def pace(self, worker, task, run, percent, fence):
        """Set the pace of a run."""
        found = self._workers[worker.worker]
        if await self._lose(found, lambda: found.take_pace(task, run, percent, fence)):
            return make_failure(ErrorCode.TIMEOUT, "no answer")
        if found.trouble in ABSENT_FAILURES:
            return make_failure(*ABSENT_FAILURES[found.trouble])
        if not found.take_pace(task, run, percent, fence):
            return make_failure(ErrorCode.FENCED, "a lower fence")
        return Ok(None)

    async def hold(self, worker, fence, acked_through, deadline_ms, wait_ms):
        """Renew the lease and wait for an end."""
        found = self._workers[worker.worker]
        if await self._lose(found, None):
            return make_failure(ErrorCode.TIMEOUT, "no answer")
        if found.trouble in ABSENT_FAILURES:
            return make_failure(*ABSENT_FAILURES[found.trouble])
        listing = found.take_hold(fence, acked_through, deadline_ms)
        if listing is None:
            return make_failure(ErrorCode.FENCED, "a lower fence")
        if wait_ms and not listing.ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await found.changed.wait()
            except TimeoutError:
                pass
            is_gone = found.info.born_ms != listing.born_ms
            if is_gone or found.trouble is WorkerTrouble.CRASHED:
                return make_failure(ErrorCode.UNAVAILABLE, "server disconnected")
            if found.trouble is WorkerTrouble.DARK:
                await asyncio.sleep(LOST_SECONDS)
                return make_failure(ErrorCode.TIMEOUT, "no answer")
            listing = found.list_runs()
        return Ok(listing)

    def count_connections(self):
        """Return no counts, since calls need no connections."""
        return Counter()

    async def _lose(self, worker, carry_out):
        """Pass the time of a call; return whether its answer is lost."""
        await asyncio.sleep(CALL_SECONDS)
        if self.is_cut_off or worker.trouble in SILENT_TROUBLES:
            await asyncio.sleep(LOST_SECONDS)
            return True
        if worker.trouble is WorkerTrouble.ORDERS_LATE and carry_out is not None:
            task = asyncio.create_task(_carry_out(worker.late_seconds, carry_out))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(LOST_SECONDS)
            return True
        return False


async def _carry_out(seconds, carry_out):
    await asyncio.sleep(seconds)
    carry_out()
