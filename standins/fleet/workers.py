"""Workers that run tasks under leases and fences."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from cactustiller.cell import (
    ListedEnd,
    ListedRun,
    Listing,
    RunEnd,
    StartAnswer,
    WorkerInfo,
)
from cactustiller.model import ErrorCode, Failure, Outcome

CALL_SECONDS = 0.003
LOST_SECONDS = 1.0
STOP_SECONDS = 0.2
TICK_SECONDS = 0.01
GANG_SECONDS = 3.0
# The other ends are listed once these are acknowledged.
MAX_LISTED_ENDS = 500
# Time from the start of a task that crashes its worker to the crash.
CRASH_SECONDS = 0.01


class WorkerTrouble(Enum):
    """What befalls a worker or its orders."""

    NONE = "none"
    CUT_OFF = "cutOff"
    ORDERS_LATE = "ordersLate"
    FAILING = "failing"
    STANDING_STILL = "standingStill"
    CRASHED = "crashed"
    REPLACED = "replaced"
    CUT_OFF_WITH_REFUSALS = "cutOffWithRefusals"
    DARK = "dark"


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
    # Tail latency in milliseconds of the serving runs, from the runs at work here.
    measure_load: object = lambda runs: 0
    fence: int = 0
    lease_until: float = 0.0
    runs: dict = field(default_factory=dict)
    stopped: dict = field(default_factory=dict)
    ends: list = field(default_factory=list)
    ends_count: int = 0
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
            self.audit.note_end(self.info.worker, run.task, run.run)
        self.info = self.info.__class__(
            **{
                name: getattr(self.info, name)
                for name in self.info.__dataclass_fields__
                if name != "born_ms"
            },
            born_ms=born_ms,
        )
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

    def take_start(self, order):
        """Carry out a start."""
        now = asyncio.get_running_loop().time()
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
        self.lease_until = max(self.lease_until, order.deadline_ms / 1000)
        amounts, seconds = self.describe(order.task)
        seconds *= self.find_slowdown(order.task, order.run)
        run = FleetRun(order.task, order.run, amounts, seconds, seconds)
        self.runs[order.task] = run
        self.audit.note_start(self.info.worker, order.task, order.run)
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
            held.stops_at = asyncio.get_running_loop().time() + STOP_SECONDS

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
            self.lease_until = max(self.lease_until, deadline_ms / 1000)
        for end in self.ends:
            if end.number <= acked_through and end.end is RunEnd.DONE:
                self.audit.note_acknowledged(end.task)
        self.ends = [end for end in self.ends if end.number > acked_through]
        return self.list_runs()

    def list_runs(self):
        """Return the `Listing` as of now."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
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
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = loop.time()
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

    def _end(self, run, how):
        del self.runs[run.task]
        self.stopped[run.task] = max(self.stopped.get(run.task, 0), run.run)
        self.ends_count += 1
        self.ends.append(ListedEnd(self.ends_count, run.task, run.run, how, ""))
        self.audit.note_end(self.info.worker, run.task, run.run)
        self.changed.set()
        self.changed = asyncio.Event()


# Calls get no answer and are not carried out.
SILENT_TROUBLES = (WorkerTrouble.CUT_OFF, WorkerTrouble.DARK)


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
            return _fail(ErrorCode.TIMEOUT, "no answer")
        if found.trouble in ABSENT_FAILURES:
            return _fail(*ABSENT_FAILURES[found.trouble])
        found.take_stop(task, run, fence)
        return Ok(None)

    async def pace(self, worker, task, run, percent, fence):
        """Set the pace of a run."""
        found = self._workers[worker.worker]
        if await self._lose(found, lambda: found.take_pace(task, run, percent, fence)):
            return _fail(ErrorCode.TIMEOUT, "no answer")
        if found.trouble in ABSENT_FAILURES:
            return _fail(*ABSENT_FAILURES[found.trouble])
        if not found.take_pace(task, run, percent, fence):
            return _fail(ErrorCode.FENCED, "a lower fence")
        return Ok(None)

    async def hold(self, worker, fence, acked_through, deadline_ms, wait_ms):
        """Renew the lease and wait for an end."""
        found = self._workers[worker.worker]
        if await self._lose(found, None):
            return _fail(ErrorCode.TIMEOUT, "no answer")
        if found.trouble in ABSENT_FAILURES:
            return _fail(*ABSENT_FAILURES[found.trouble])
        listing = found.take_hold(fence, acked_through, deadline_ms)
        if listing is None:
            return _fail(ErrorCode.FENCED, "a lower fence")
        if wait_ms and not listing.ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await found.changed.wait()
            except TimeoutError:
                pass
            is_gone = found.info.born_ms != listing.born_ms
            if is_gone or found.trouble is WorkerTrouble.CRASHED:
                return _fail(ErrorCode.UNAVAILABLE, "server disconnected")
            if found.trouble is WorkerTrouble.DARK:
                await asyncio.sleep(LOST_SECONDS)
                return _fail(ErrorCode.TIMEOUT, "no answer")
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


def _fail(code, reason, outcome=Outcome.UNKNOWN):
    return Err(
        Failure(
            code=code,
            step="call worker",
            peer="worker",
            reason=reason,
            outcome=outcome,
        )
    )


# Failures of calls to a worker that is not there, by its trouble.
CONNECTION_REFUSED = (ErrorCode.UNAVAILABLE, "connection refused", Outcome.NOT_RUN)
ABSENT_FAILURES = {
    WorkerTrouble.CRASHED: CONNECTION_REFUSED,
    WorkerTrouble.CUT_OFF_WITH_REFUSALS: CONNECTION_REFUSED,
    WorkerTrouble.REPLACED: (
        ErrorCode.REPLACED,
        "another process listens at the address",
        Outcome.NOT_RUN,
    ),
}
