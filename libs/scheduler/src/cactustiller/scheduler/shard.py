"""Shard: partition that keeps the capacity and runs of some workers.

One member at a time owns a shard, as its leader, elected by lease and fencing token.
The shard's epoch grows with each change of owner; workers that honour epochs refuse
calls with an older one. Only the owner reserves capacity and starts or stops runs on
the shard's workers.
"""

import asyncio
from collections import OrderedDict

import structlog

from cactustiller.model import (
    NO_RESOURCES,
    FailureError,
    InstanceState,
    RunState,
)
from cactustiller.model.messages import (
    Done,
    Refusal,
    Reservation,
    Reservations,
    StartAnswer,
    WorkerView,
)
from cactustiller.ports import WorkerInfo

from .authority import ShardAuthority
from .failures import fail_stale, fail_unverified
from .removals import RemovalTracker
from .runs import RunEntry, RunPhase, make_run_key, run_row_key
from .sessions import WorkerSession
from .supervision import watch_task
from .unreadable import UnreadableRuns

CHECK_INTERVAL_SECONDS = 0.5
MAX_FINISHED_KEYS = 50_000
RELEASE_POLL_SECONDS = 0.05

log = structlog.get_logger(__name__)


class Shard:
    """State and operations of one shard at its owner.

    Parameters
    ----------
    shard : PartitionId
    epoch : int
        Epoch of the ownership under which this object was created.
    member : Member
    port : WorkerPort
    timing : TimingSettings
    evacuations : ZoneEvacuations
    """

    def __init__(self, shard, epoch, member, port, timing, evacuations):
        self.shard = shard
        self.epoch = epoch
        self.sessions = {}
        self.changed_workers = set()
        self.is_recovered = False
        self.on_change = lambda: None
        self.on_failure = lambda error: None
        self._authority = ShardAuthority(shard, epoch, member, evacuations)
        self._member = member
        self._port = port
        self._timing = timing
        self._recovered_runs = {}
        self._removals = RemovalTracker()
        self._unreadable = UnreadableRuns(shard, self._on_session_change)
        self._finished_keys = OrderedDict()
        self._is_releasing = False
        self._task = None

    async def recover(self):
        """Load the committed assignments; return whether that succeeded."""
        answer = await self._member.table.scan_rows(f"run/{self.shard}/")
        if answer.is_err():
            return False
        for record in self._unreadable.read(answer.unwrap()):
            self._recovered_runs.setdefault(record.worker, []).append(record)
        log.info("shard_recovered", shard=self.shard, runs=len(answer.unwrap()))
        self.is_recovered = True
        self._task = asyncio.create_task(self._run_checks())
        watch_task(self._task, self.on_failure)
        return True

    async def stop(self):
        """Cancel all background tasks and worker sessions of this shard."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(*(session.stop() for session in self.sessions.values()))

    async def release(self):
        """Stop starting runs; wait until no start message can be in flight."""
        self._is_releasing = True
        while True:
            if not any(session.is_starting for session in self.sessions.values()):
                return
            await asyncio.sleep(RELEASE_POLL_SECONDS)

    def reopen(self):
        """Resume starting runs after a failed handover."""
        self._is_releasing = False

    async def set_workers(self, infos):
        """Update the sessions from the platform's list of the shard's workers.

        Parameters
        ----------
        infos : dict of WorkerId to WorkerInfo
        """
        if not self.is_recovered:
            return
        for worker, info in infos.items():
            session = self.sessions.get(worker)
            if session is None:
                self._add_session(info)
            elif session.info != info:
                session.info = info
                self._on_session_change(session)
        known = self.sessions.keys() | self._recovered_runs.keys()
        for worker in self._removals.list_removed(known - infos.keys()):
            if worker in self._recovered_runs:
                self._add_removed_session(worker)
            else:
                await self._drop_removed(worker)

    def update_zones(self, zones):
        """Apply a change of the evacuated zones; return the number of their workers.

        Starts that have not been sent are withdrawn, and new digests are published.
        """
        found = [item for item in self.sessions.values() if item.info.zone in zones]
        for session in found:
            session.wake()
            self._on_session_change(session)
        return len(found)

    def reserve(self, message):
        """Reserve capacity for the runs of a `ReserveRuns`; return `Reservations`."""
        results = []
        granted = []
        for run in message.runs:
            reason = self._find_refusal(run)
            if not reason:
                granted.append(run)
                self._add_reservation(run, message.hold_ms)
            results.append(Reservation(granted=not reason, reason=reason))
        if message.all_or_none and len(granted) < len(message.runs):
            self.release_runs([make_run_key(run) for run in granted])
            refused = Reservation(granted=False, reason="not all tasks fit")
            results = [refused if result.granted else result for result in results]
        return Reservations(epoch=self.epoch, results=results)

    def release_runs(self, keys):
        """Release the reservations of runs; started runs are not affected."""
        for key in keys:
            session, entry = self._find_run(key)
            if entry is not None and entry.phase is RunPhase.RESERVED:
                session.remove(key)
        return Done()

    async def start_runs(self, message):
        """Start runs whose assignments are committed; return a `StartAnswer`."""
        refused = []
        for run in message.runs:
            reason = await self._start_run(run, message.epoch)
            if reason:
                self._mark_finished(make_run_key(run))
                refused.append(Refusal(run=make_run_key(run), reason=reason))
        return StartAnswer(epoch=self.epoch, refused=refused)

    async def stop_runs(self, message):
        """Request the stop of runs; their homes get a report when they have ended."""
        for key in message.runs:
            session, entry = self._find_run(key)
            if entry is None:
                continue
            if entry.phase is RunPhase.RESERVED:
                session.remove(key)
                self._mark_finished(key)
            elif entry.holds_capacity:
                session.request_stop(entry, message.checkpoint)
        self.on_change()
        return Done()

    def list_unreported(self):
        """Return the reports that homes have not acknowledged yet, by home."""
        by_home = {}
        for session in self.sessions.values():
            for entry in session.entries.values():
                if not entry.is_reported:
                    by_home.setdefault(entry.record.home, []).append(entry.report)
        return by_home

    def mark_reported(self, reports, recorded):
        """Mark reports as acknowledged, and remove runs whose end is recorded.

        Parameters
        ----------
        reports : list of RunReport
            Reports that the home has received.
        recorded : set of RunKey
            Runs whose end the home has committed.
        """
        for report in reports:
            session, entry = self._find_run(report.run)
            if entry is None or entry.report is not report:
                continue
            if report.state is RunState.RUNNING:
                entry.is_reported = True
            elif report.run in recorded:
                session.remove(report.run)
                self._mark_finished(report.run)

    def resend_reports(self, home):
        """Resend the reports of all runs of a home to its new owner."""
        now = asyncio.get_running_loop().time()
        for session in self.sessions.values():
            for entry in session.entries.values():
                if entry.record.home == home and entry.report is not None:
                    entry.refresh_report(now)
        self.on_change()

    def list_views(self, workers=None):
        """Return a `WorkerView` of each worker named, or of all workers."""
        names = self.sessions if workers is None else workers
        return [self._make_view(self.sessions[name]) for name in names]

    def _make_view(self, session):
        return WorkerView(
            worker=session.info.worker,
            shard=self.shard,
            free=session.free,
            usable=session.is_usable,
            reason=""
            if session.is_usable
            else session.block_reason or session.evacuation or session.failure_reason,
        )

    def _add_session(self, info):
        session = WorkerSession(
            info, self._authority, self._port, self._timing, self._on_session_change
        )
        self.sessions[info.worker] = session
        for record in self._recovered_runs.pop(info.worker, []):
            entry = RunEntry(
                record, RunPhase.RECOVERED, lease_until=None, is_inherited=True
            )
            session.add(entry)
        self._unreadable.watch(session)
        session.start()

    async def _drop_removed(self, worker):
        """End the runs of an unlisted worker that is unreachable as well."""
        session = self.sessions[worker]
        if session.is_reachable:
            return
        session.end_all("the platform removed the worker")
        if not session.entries:
            await session.stop()
            del self.sessions[worker]

    def _add_removed_session(self, worker):
        """End and report the recovered runs of a worker that is no longer listed."""
        records = self._recovered_runs.pop(worker)
        info = WorkerInfo(
            worker=worker,
            address="",
            rack="",
            zone="",
            resources=NO_RESOURCES,
            state=InstanceState.LEAVING,
        )
        session = WorkerSession(
            info, self._authority, self._port, self._timing, self._on_session_change
        )
        self.sessions[worker] = session
        for record in records:
            session.add(RunEntry(record, RunPhase.RECOVERED, lease_until=None))
        session.end_all("the platform removed the worker")

    def _on_session_change(self, session):
        self.changed_workers.add(session.info.worker)
        self.on_change()

    def _find_run(self, key):
        for session in self.sessions.values():
            entry = session.entries.get(key)
            if entry is not None:
                return session, entry
        return None, None

    def _find_refusal(self, run):
        """Return the reason not to reserve a run, or an empty string."""
        key = make_run_key(run)
        session = self.sessions.get(run.worker)
        if self._is_releasing or self._authority.is_fenced:
            return "the owner of the shard is changing"
        if key in self._finished_keys:
            return "this attempt has ended"
        if session is None or not session.is_usable:
            closed = session.evacuation if session is not None else ""
            return closed or "the worker is not usable"
        if key in session.entries:
            return "this attempt already exists on the worker"
        if not run.template.resources.fits_within(session.free):
            return "the worker has too little free capacity"
        return ""

    def _add_reservation(self, run, hold_ms):
        until = asyncio.get_running_loop().time() + hold_ms / 1000
        entry = RunEntry(run, RunPhase.RESERVED, reserved_until_loop_seconds=until)
        self.sessions[run.worker].add(entry)

    async def _start_run(self, run, epoch):
        """Start a run; return the reason for a final refusal, or an empty string."""
        key = make_run_key(run)
        if self._unreadable.has(run):
            self._unreadable.claim(run, self.sessions)
            return ""
        session, entry = self._find_run(key)
        if entry is not None and entry.phase is not RunPhase.RESERVED:
            return ""
        if self._authority.is_stale:
            raise FailureError(fail_stale(self.shard))
        if entry is not None and epoch == self.epoch and not self._is_releasing:
            if session.evacuation:
                session.remove(key)
            else:
                session.request_start(entry)
            return session.evacuation
        if key in self._finished_keys:
            return "this attempt has ended"
        return await self._start_unreserved(run)

    async def _start_unreserved(self, run):
        """Start a run that has no reservation if its assignment is in the table."""
        row_key = run_row_key(self.shard, run.job, run.index)
        answer = await self._member.table.read_row(row_key)
        if answer.is_err():
            raise FailureError(fail_unverified(self.shard))
        row = answer.unwrap()
        if row.value is None or row.value["attempt"] != run.attempt:
            return "the assignment is not committed"
        _, entry = self._find_run(make_run_key(run))
        if entry is not None and entry.phase is not RunPhase.RESERVED:
            return ""
        self.release_runs([make_run_key(run)])
        reason = self._find_refusal(run)
        if reason:
            return reason
        self._add_reservation(run, 0)
        session, entry = self._find_run(make_run_key(run))
        session.request_start(entry)
        return ""

    def _mark_finished(self, key):
        self._finished_keys[key] = True
        if len(self._finished_keys) > MAX_FINISHED_KEYS:
            self._finished_keys.popitem(last=False)

    async def _run_checks(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            for session in list(self.sessions.values()):
                session.check_deadlines()
            self.on_change()
