"""Simulated worker: starts, leases, epochs, reports; no input or output."""

import asyncio
import uuid
from collections import deque

from cactustiller.model import RunState

from .history import HistoryEvent, HistoryRank
from .runs import (
    ApplyReply,
    EpochRefused,
    Refused,
    Run,
    TaskReport,
    WatchReply,
    WorkerFaults,
    read_behaviour,
)

REMEMBER_SECONDS = 600.0
FAIL_AFTER_SECONDS = 0.2
SHORTEST_TIMER_SECONDS = 0.0001
FIRST_SEQUENCE = 1  # above 0, so that an idle worker's caller waits
# On a virtual clock a shorter wait returns at once, so the poll would never end.
MIN_WAIT_SECONDS = 1e-6


class SimulatedWorker:
    """One worker on the running loop's clock.

    Parameters
    ----------
    info : WorkerInfo
        Identity, capacity and whether the worker honours epochs.
    history : History
        Receives every start and end.
    """

    def __init__(self, info, history):
        self.info = info
        self.history = history
        self.faults = WorkerFaults()
        self._waiters = set()
        self._runs = {}
        self._forget()

    def apply(self, request):
        """Start, renew and stop tasks; `ApplyReply` or `EpochRefused`."""
        if refusal := self._check_epoch(request):
            return refusal
        for renewal in request.renew:
            if run := self._find_running(renewal):
                run.lease_until = max(run.lease_until, renewal.lease_until)
        if not self.faults.refuse_stop:
            for stop in request.stops:
                if run := self._find_running(stop):
                    self._end(run, RunState.STOPPED, self._now(), "stopped")
        refused = [start for start in request.starts if not self._start(start)]
        return ApplyReply(
            now=self._now(),
            refused=[
                Refused(
                    job=start.job,
                    index=start.index,
                    attempt=start.attempt,
                    reason="start_before has passed",
                )
                for start in refused
            ],
            sequence=self._sequence,
        )

    async def watch(self, request):
        """Return the changed tasks, waiting up to `wait_ms` for the first."""
        if refusal := self._check_epoch(request):
            return refusal
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.wait_ms / 1000
        after, boot = request.after, self._boot
        while True:
            if boot != self._boot or after > self._sequence:
                after = 0
            changed, sequence = self._collect_changes(after)
            remaining = deadline - loop.time()
            if changed or after == 0 or remaining < MIN_WAIT_SECONDS:
                break
            waiter = loop.create_future()
            self._waiters.add(waiter)
            await asyncio.wait([waiter], timeout=remaining)
            self._waiters.discard(waiter)
        return WatchReply.model_construct(
            now=self._now(), sequence=sequence, boot=self._boot, tasks=changed
        )

    def set_faults(self, changes):
        """Set the named faults; ``restart`` true restarts the worker once."""
        merged = WorkerFaults.model_validate(self.faults.model_dump() | changes)
        self.faults = merged.with_changes(restart=False)
        if merged.restart:
            self.restart()
        if self.faults.fail_all:
            self.settle()
            for run in self._list_running():
                self._fail_soon(run)
                self._arm(run)

    def restart(self):
        """End every task and forget tasks, epochs and sequence; new boot."""
        self.settle()
        for run in self._list_running():
            self._end(run, RunState.FAILED, self._now(), "worker restarted")
        self._forget()
        self._wake()

    def settle(self):
        """End the tasks whose time has passed though their timer is late."""
        for run in self._list_running():
            self._end_if_due(run)

    def _forget(self):
        self._runs = {}
        self._ended = deque()
        self._started = set()
        self._epochs = {}
        self._sequence = FIRST_SEQUENCE
        self._boot = uuid.uuid4().hex

    def _now(self):
        return asyncio.get_running_loop().time()

    def _list_running(self):
        return [run for run in self._runs.values() if run.state is RunState.RUNNING]

    def _check_epoch(self, request):
        highest = self._epochs.get(request.shard, 0)
        honours = self.info.honours_epochs and not self.faults.ignore_epochs
        if honours and request.epoch < highest:
            return EpochRefused(epoch=highest)
        self._epochs[request.shard] = max(highest, request.epoch)
        return None

    def _find_running(self, reference):
        run = self._runs.get(reference.key)
        if run is None or run.state is not RunState.RUNNING:
            return None
        self._end_if_due(run)
        return run if run.state is RunState.RUNNING else None

    def _start(self, start):
        now = self._now()
        if start.key in self._started:
            return True
        if now > start.start_before:
            return False
        self._started.add(start.key)
        run = Run(start, now, read_behaviour(start))
        if self.faults.fail_all:
            self._fail_soon(run)
        self._record(run, "start", now, HistoryRank.START)
        self._report(run)
        self._arm(run)
        return True

    def _fail_soon(self, run):
        run.finish_at = min(run.finish_at, self._now() + FAIL_AFTER_SECONDS)
        run.finish_state = RunState.FAILED

    def _arm(self, run):
        if run.timer is not None:
            run.timer.cancel()
        # Never at once: a clock that rounds down would fire for ever.
        at = max(run.due_at, self._now() + SHORTEST_TIMER_SECONDS)
        run.timer = asyncio.get_running_loop().call_at(at, self._fire, run)

    def _fire(self, run):
        self._end_if_due(run)
        if run.state is RunState.RUNNING:
            self._arm(run)

    def _end_if_due(self, run):
        if self._now() < run.due_at:
            return
        if run.finish_at <= run.lease_until:
            self._end(run, run.finish_state, run.finish_at, run.finish_state.value)
        else:
            self._end(run, RunState.LAPSED, run.lease_until, "lease passed")

    def _end(self, run, state, at, reason):
        run.timer.cancel()
        run.state, run.reason = state, reason
        run.ended_at = max(at, run.started_at)
        at_once = run.ended_at == run.started_at
        rank = HistoryRank.END_AT_START if at_once else HistoryRank.END
        self._record(run, "end", run.ended_at, rank)
        self._ended.append(run)
        self._report(run)
        self._forget_old()

    def _forget_old(self):
        limit = self._now() - REMEMBER_SECONDS
        while self._ended and self._ended[0].ended_at < limit:
            self._runs.pop(self._ended.popleft().start.key, None)

    def _report(self, run):
        self._sequence += 1
        run.sequence, run.changed_at = self._sequence, self._now()
        self._runs.pop(run.start.key, None)
        self._runs[run.start.key] = run
        delay = self.faults.late_reports_ms / 1000
        if delay:
            asyncio.get_running_loop().call_later(delay, self._wake)
        else:
            self._wake()

    def _wake(self):
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    def _collect_changes(self, after):
        self._forget_old()
        visible_at = self._now() - self.faults.late_reports_ms / 1000
        changed = []
        sequence = max(after, FIRST_SEQUENCE)
        for run in reversed(self._runs.values()):
            if run.sequence <= after:
                break
            if run.changed_at <= visible_at:
                sequence = max(sequence, run.sequence)
                changed.append(self._describe(run))
        changed.reverse()
        return changed, sequence

    def _describe(self, run):
        until = self._now() if run.state is RunState.RUNNING else run.ended_at
        return TaskReport.model_construct(
            job=run.start.job,
            index=run.start.index,
            attempt=run.start.attempt,
            state=run.state,
            lease_until=run.lease_until,
            usage=run.usage,
            reason=run.reason,
            run_seconds=until - run.started_at,
        )

    def _record(self, run, event, at, rank):
        self.history.add(
            HistoryEvent.model_construct(
                at=at,
                worker=self.info.worker,
                job=run.start.job,
                index=run.start.index,
                attempt=run.start.attempt,
                event=event,
                state=run.state.value,
                resources=run.start.resources,
                capacity=self.info.resources,
            ),
            rank,
        )
