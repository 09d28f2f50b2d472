"""Session of a shard's owner with one worker.

The session keeps the exact capacity that runs hold on the worker, grants and renews
the leases of its runs, and sends it starts and stops. A long poll (`Watch`) returns
the states of the runs, a call (`Apply`) changes them.
"""

import asyncio
import random

import structlog
from result import Ok

from cactustiller.model import NO_RESOURCES, ErrorCode, InstanceState, RunState
from cactustiller.model.supervision import keep_running
from cactustiller.ports import TaskStop

from .apply_items import ApplyLimits, build_apply, make_watch
from .clock import CLOCK_RATE_MARGIN, WorkerClock
from .runs import RunPhase, make_run_key

LONG_POLL_SECONDS = 15.0
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
RENEWALS_PER_LEASE = 3
# How long an owner may act without the table service; see `ShardAuthority`.
OUTAGE_GRANT_SECONDS = 300.0

log = structlog.get_logger(__name__)


class WorkerSession:
    """Runs and capacity of one worker, as recorded by the owner of its shard.

    Parameters
    ----------
    info : WorkerInfo
    authority : ShardAuthority
        Has the epoch; decides whether starts and renewals are allowed now.
    port : WorkerPort
    timing : TimingSettings
        ``task_lease_seconds`` and ``start_window_seconds`` are used.
    on_change : callable
        Called with the session after a change of its runs or capacity.
    """

    def __init__(self, info, authority, port, timing, on_change):
        self.info = info
        self.entries = {}
        self.used = NO_RESOURCES
        self.is_reconciled = False
        self.is_reachable = False
        self.failure_reason = "the worker has not answered yet"
        self.block_reason = ""
        self.is_orphan = lambda status, boot: status.state is RunState.RUNNING
        self._authority = authority
        self._port = port
        self._timing = timing
        self._on_change = on_change
        self._clock = WorkerClock()
        self._sequence = 0
        self._watched_at = float("-inf")
        self._boot = ""
        self._has_restarted = False
        self._wake = asyncio.Event()
        self._random = random.Random(info.worker)
        self._needs_full_watch = False
        self._orphan_stops = []
        self._renew_at = float("inf")
        self._tasks = []
        self._created_at = asyncio.get_running_loop().time()
        self._unreachable_since = self._created_at

    @property
    def is_usable(self):
        """Whether new runs may be reserved here."""
        return self._is_available and not self.evacuation

    @property
    def evacuation(self):
        """Why the zone is closed to new runs, an empty string if it is not."""
        return self._authority.find_evacuation(self.info.zone)

    @property
    def _is_available(self):
        is_live = self.info.state is InstanceState.LIVE
        is_known = self.is_reconciled and not self.block_reason
        return is_live and is_known and self.is_reachable

    @property
    def is_starting(self):
        """Whether a start message may be in flight to the worker."""
        now = asyncio.get_running_loop().time()
        return any(
            entry.phase is RunPhase.STARTING and self._has_start_in_progress(entry, now)
            for entry in self.entries.values()
        )

    def _has_start_in_progress(self, entry, now):
        """Return whether a start will be sent, or a sent one may still take effect."""
        if self.is_reachable:
            return True
        return entry.start_before > 0.0 and not self._clock.has_surely_passed(
            entry.start_before, now
        )

    @property
    def free(self):
        """Capacity that no run holds; `NO_RESOURCES` if it is unknown or leaving.

        In an evacuated zone it is the capacity that would be free otherwise.
        """
        if not self._is_available:
            return NO_RESOURCES
        return self.info.resources.subtract_to_zero(self.used)

    def start(self):
        """Start the calls to the worker, which are restarted after an exception."""
        runs = {"watch": self._run_watch_loop, "apply to": self._run_apply_loop}
        self._tasks = [
            asyncio.create_task(keep_running(f"{step} {self.info.worker}", run))
            for step, run in runs.items()
        ]

    async def stop(self):
        """Cancel all calls to the worker."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add(self, entry):
        """Add a run and the capacity that it holds."""
        self.entries[entry.key] = entry
        if entry.holds_capacity:
            self.used = self.used + entry.record.template.resources
        self._on_change(self)

    def claim(self, entry, status, boot):
        """Add a run whose row is malformed, with its last status since a boot."""
        self.add(entry)
        if status is not None and boot == self._boot:
            self._handle_status(status, 0.0)
        elif self.is_reconciled:
            self._start_recovered(entry)

    def remove(self, key):
        """Remove a run and free its capacity."""
        entry = self.entries.pop(key)
        if entry.holds_capacity:
            self._free(entry)

    def end(self, entry, state, reason="", run_seconds=0.0):
        """Record the end of a run and free its capacity; ignore an ended run."""
        if not entry.holds_capacity:
            return
        self._free(entry)
        entry.set_state(state, reason, run_seconds)

    def wake(self):
        """Request that pending changes are sent to the worker."""
        self._wake.set()

    def request_start(self, entry):
        """Start a run whose assignment is committed."""
        entry.phase = RunPhase.STARTING
        entry.needs_apply = True
        self.wake()

    def request_stop(self, entry, checkpoint):
        """Stop a run in any phase."""
        never_sent = entry.phase is RunPhase.STARTING and entry.start_before == 0.0
        if never_sent:
            self.end(entry, RunState.STOPPED, "stopped before its start")
            return
        entry.is_stopping = True
        entry.checkpoint = checkpoint
        entry.needs_apply = True
        self.wake()

    def check_deadlines(self):
        """Expire reservations, renew leases and end runs whose lease has expired."""
        now = asyncio.get_running_loop().time()
        for entry in list(self.entries.values()):
            if entry.phase is RunPhase.RESERVED:
                if now >= entry.reserved_until_loop_seconds:
                    self.remove(entry.key)
            elif not self.is_reachable and entry.holds_capacity:
                self._check_lease(entry, now)
        if now >= self._renew_at:
            self._renew_leases(now)
        if any(entry.needs_apply for entry in self.entries.values()):
            self.wake()

    def end_all(self, reason):
        """Record the end of every run, since the worker is gone permanently."""
        for entry in self.entries.values():
            if entry.phase is not RunPhase.RESERVED:
                self.end(entry, RunState.LAPSED, reason)

    def _free(self, entry):
        self.used = self.used - entry.record.template.resources
        self._on_change(self)

    def _check_lease(self, entry, now):
        if entry.lease_until is None:
            has_expired = self._have_inherited_leases_expired(now)
        elif entry.start_before == entry.lease_until == 0.0:
            # No start message has been sent.
            window = self._timing.start_window_seconds
            has_expired = now >= self._unreachable_since + window
        else:
            moment = max(entry.lease_until, entry.start_before)
            has_expired = self._clock.has_surely_passed(moment, now)
        # A worker that ignores epochs also accepts renewals of the previous owner.
        if entry.is_inherited and not self.info.honours_epochs:
            has_expired = has_expired and self._have_inherited_leases_expired(now)
        if has_expired:
            self.end(entry, RunState.LAPSED, "lease expired on an unreachable worker")

    def _have_inherited_leases_expired(self, now):
        """Return whether all leases granted by previous owners have expired."""
        grant = OUTAGE_GRANT_SECONDS + self._timing.task_lease_seconds
        return now >= self._created_at + grant * CLOCK_RATE_MARGIN

    def _may_start_take_effect(self, entry, answered_at):
        """Return whether a start message may take effect after a worker's answer."""
        is_answered = (
            not entry.unanswered_starts and answered_at >= entry.start_answered_at
        )
        now = asyncio.get_running_loop().time()
        return not is_answered and not self._clock.has_surely_passed(
            entry.start_before, now
        )

    def _may_renew(self, entry):
        # A run that ignores a stop request ends when its lease expires.
        is_wanted = entry.phase is RunPhase.RUNNING and not entry.is_stopping
        # An unanswered renewal counts as granted, so renewals to a dead worker would
        # prevent the end of its runs.
        return is_wanted and self.is_reachable and self._authority.may_renew()

    def _renew_leases(self, now):
        """Renew all leases together when the first is due, to save calls."""
        if not (self.is_reachable and self._authority.may_renew()):
            return
        wanted = [entry for entry in self.entries.values() if self._may_renew(entry)]
        for entry in wanted:
            entry.needs_apply = True
        period = self._timing.task_lease_seconds / RENEWALS_PER_LEASE
        self._renew_at = now + period if wanted else float("inf")

    def _mark_running(self, entry, run_seconds=0.0):
        """Record the start of a run, and schedule the renewal of its lease."""
        entry.set_state(RunState.RUNNING, run_seconds=run_seconds)
        now = asyncio.get_running_loop().time()
        entry.running_since_loop_seconds = now - run_seconds
        remaining = (entry.lease_until or 0.0) - self._clock.estimate(now)
        lease = self._timing.task_lease_seconds
        due_in = remaining - lease * (1 - 1 / RENEWALS_PER_LEASE)
        self._renew_at = min(self._renew_at, now + due_in)

    async def _run_watch_loop(self):
        self.is_reconciled = False  # after an exception, runs may be out of date
        retry_seconds = MIN_RETRY_SECONDS
        while True:
            is_first = not self.is_reconciled or self._needs_full_watch
            if self._needs_full_watch:
                self._needs_full_watch = False
                await asyncio.sleep(MIN_RETRY_SECONDS)
            after, seconds = (0, 0) if is_first else (self._sequence, LONG_POLL_SECONDS)
            watch = make_watch(self._authority, after, seconds)
            answer = await self._port.watch(self.info, watch)
            if answer.is_ok():
                retry_seconds = MIN_RETRY_SECONDS
                self._handle_watch_reply(answer.unwrap(), is_first)
                continue
            if self._handle_failure(answer.unwrap_err()):
                return
            await asyncio.sleep(self._random.uniform(retry_seconds / 2, retry_seconds))
            retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)

    def _handle_failure(self, failure):
        """Record a failed call; return whether the shard has a newer owner."""
        if failure.code is ErrorCode.FENCED:
            self._authority.mark_fenced(str(failure))
            return True
        if self.is_reachable:
            log.warning("worker_unreachable", reason=str(failure))
            self._unreachable_since = asyncio.get_running_loop().time()
        self.is_reachable = False
        self.failure_reason = failure.reason
        self._on_change(self)
        return False

    def _handle_watch_reply(self, reply, is_first):
        self._clock = WorkerClock(reply.now, asyncio.get_running_loop().time())
        if self._boot and reply.boot != self._boot:
            # The worker has restarted and lost its runs: request its full state.
            self._boot = ""
            self._has_restarted = True
            self.is_reconciled = False
            return
        self._boot = reply.boot
        self._sequence = reply.sequence
        self._watched_at = reply.now
        was_usable = self.is_usable
        self.is_reachable = True
        if not self.info.honours_epochs:
            self._assume_inherited_starts()
        for status in reply.tasks:
            self._handle_status(status, reply.now)
        if is_first:
            self._reconcile({make_run_key(status) for status in reply.tasks}, reply.now)
        if not was_usable:
            self._on_change(self)

    def _assume_inherited_starts(self):
        """Assume that start messages of the previous owner are in flight."""
        now = asyncio.get_running_loop().time()
        latest = self._clock.estimate(now) + self._timing.start_window_seconds
        for entry in self.entries.values():
            if entry.phase is RunPhase.RECOVERED and not entry.start_before:
                entry.start_before = latest
                entry.unanswered_starts = 1

    def _handle_status(self, status, answered_at):
        entry = self.entries.get(make_run_key(status))
        if entry is None:
            if self.is_orphan(status, self._boot):
                self._stop_orphan(status)
            return
        if not entry.holds_capacity:
            return
        entry.lease_until = max(entry.lease_until or 0.0, status.lease_until)
        entry.usage = status.usage
        if status.state is not RunState.RUNNING:
            if self._may_start_take_effect(entry, answered_at):
                self._needs_full_watch = True
                return
            self.end(entry, status.state, status.reason, status.run_seconds)
        elif entry.phase is not RunPhase.RUNNING:
            self._mark_running(entry, status.run_seconds)
            entry.needs_apply = entry.is_stopping
            self._on_change(self)

    def _stop_orphan(self, status):
        """Request the stop of a run that the owner has no record of."""
        run = make_run_key(status).model_dump()
        log.warning("orphan_stopped", worker=self.info.worker, **run)
        self._orphan_stops.append(TaskStop(**run))
        self.wake()

    def _reconcile(self, seen, answered_at):
        """Start or end the runs that are missing from the worker's full state."""
        self.is_reconciled = True
        for entry in list(self.entries.values()):
            if entry.key in seen or not entry.holds_capacity:
                continue
            if entry.phase is RunPhase.RECOVERED:
                self._start_recovered(entry)
            elif entry.phase is RunPhase.STARTING and not self._may_have_crashed(entry):
                self.request_start(entry)
            elif entry.phase in (RunPhase.STARTING, RunPhase.RUNNING):
                if self._may_start_take_effect(entry, answered_at):
                    self._needs_full_watch = True
                    entry.needs_apply = entry.is_stopping
                    continue
                self.end(entry, RunState.CRASHED, "the worker has restarted")
        if not self._needs_full_watch:
            self._has_restarted = False

    def _may_have_crashed(self, entry):
        """Return whether the worker restarted after a start of the run was sent."""
        return self._has_restarted and entry.start_before > 0.0

    def _start_recovered(self, entry):
        """Start a run that is missing from the worker, if its capacity suffices.

        It may not suffice, since the reservation of a run may have expired before the
        assignment was committed.
        """
        entry.lease_until = 0.0
        self.request_start(entry)
        if not self.used.fits_within(self.info.resources):
            self.request_stop(entry, checkpoint=False)

    async def _run_apply_loop(self):
        retry_seconds = MIN_RETRY_SECONDS
        while True:
            await self._wake.wait()
            self._wake.clear()
            if not self.is_reconciled:
                await asyncio.sleep(MIN_RETRY_SECONDS)
                self._wake.set()
                continue
            answer = await self._send_changes()
            if answer.is_ok():
                retry_seconds = MIN_RETRY_SECONDS
            elif self._handle_failure(answer.unwrap_err()):
                return
            else:
                pause = self._random.uniform(retry_seconds / 2, retry_seconds)
                await asyncio.sleep(pause)
                retry_seconds = min(2 * retry_seconds, MAX_RETRY_SECONDS)
                self._wake.set()

    async def _send_changes(self):
        """Send all pending changes; return ``Ok`` or the ``Err`` of a failed call.

        A start without an answer may have crashed the worker. It is repeated only if
        the worker has not restarted since.
        """
        if self._has_unanswered_starts():
            answer = await self._check_worker()
            if answer.is_err():
                return answer
            if not self.is_reconciled:
                self.wake()
                return Ok(None)
        apply = self._build_apply()
        if apply is None:
            return Ok(None)
        answer = await self._port.apply(self.info, apply)
        if answer.is_ok():
            self._handle_apply_reply(apply, answer.unwrap())
        return answer

    def _has_unanswered_starts(self):
        return any(
            entry.phase is RunPhase.STARTING
            and entry.needs_apply
            and entry.unanswered_starts
            for entry in self.entries.values()
        )

    async def _check_worker(self):
        """Ask for changes without waiting, which shows whether the worker restarted."""
        watch = make_watch(self._authority, self._sequence)
        answer = await self._port.watch(self.info, watch)
        if answer.is_ok():
            self._handle_watch_reply(answer.unwrap(), False)
        return answer

    def _build_apply(self):
        now = asyncio.get_running_loop().time()
        self._withdraw_starts()
        window_seconds = self._authority.latest_start(self.info, now) - now
        limits = ApplyLimits(
            now=self._clock.estimate(now),
            start_window_seconds=min(window_seconds, self._timing.start_window_seconds),
            lease_seconds=self._timing.task_lease_seconds,
            may_renew=self._may_renew,
        )
        return build_apply(
            self._authority,
            self.entries.values(),
            self._orphan_stops,
            self.is_reachable,
            limits,
        )

    def _withdraw_starts(self):
        """End the runs that may not start because the zone is being evacuated.

        A start that was sent is not repeated, and its run keeps its capacity until the
        message can no longer take effect.
        """
        reason = self.evacuation
        for entry in list(self.entries.values()) if reason else ():
            is_pending = entry.phase is RunPhase.STARTING and entry.needs_apply
            if (
                is_pending
                and not entry.is_stopping
                and entry.is_surely_not_started(self._watched_at)
            ):
                self.end(entry, RunState.LAPSED, f"not started: {reason}")

    def _handle_apply_reply(self, apply, reply):
        self._clock = WorkerClock(reply.now, asyncio.get_running_loop().time())
        was_usable = self.is_usable
        self.is_reachable = True
        refused = {make_run_key(refusal): refusal.reason for refusal in reply.refused}
        for start in apply.starts:
            entry = self.entries.get(make_run_key(start))
            if entry is None:
                continue
            entry.unanswered_starts -= 1
            entry.start_answered_at = max(entry.start_answered_at, reply.now)
            if entry.phase is not RunPhase.STARTING:
                continue
            if entry.key in refused:
                # The worker will never act on a refused message, so send a new one.
                log.info("start_refused", reason=refused[entry.key], run=str(entry.key))
                continue
            entry.needs_apply = entry.is_stopping
            self._mark_running(entry)
        for renewal in apply.renew:
            entry = self.entries.get(make_run_key(renewal))
            if entry is not None:
                entry.needs_apply = entry.is_stopping
        for stop in apply.stops:
            self._handle_stop_reply(self.entries.get(make_run_key(stop)))
        self._orphan_stops = [
            stop for stop in self._orphan_stops if stop not in apply.stops
        ]
        if not (apply.starts or apply.renew or apply.stops):
            self.wake()
        # A renewal changes no capacity, so it is not published to peers.
        if apply.starts or apply.stops or not was_usable:
            self._on_change(self)

    def _handle_stop_reply(self, entry):
        if entry is None:
            return
        entry.needs_apply = False
        if entry.phase is RunPhase.STARTING:
            # A start message may still be in flight; check again when the worker can
            # no longer act on it.
            self._recheck_after_start_window(entry)

    def _recheck_after_start_window(self, entry):
        now = asyncio.get_running_loop().time()
        if self._clock.has_surely_passed(entry.start_before, now):
            self.end(entry, RunState.STOPPED, "stopped before its start")
            return
        entry.needs_apply = True
