"""Home: partition that keeps the jobs of some teams.

One member at a time owns a home, as its leader, elected by lease and fencing token;
the home's epoch grows with each change of owner. Only the owner writes the rows of the
home's jobs and tasks.
"""

import asyncio
from collections import defaultdict, deque
from types import MappingProxyType

import structlog
from result import Err, Ok

from cactustiller.model import JobRecord, RunRecord, RunState, TaskRecord, TaskState
from cactustiller.model.messages import (
    Explanation,
    JobList,
    ReportAnswer,
    RunKey,
    StopRuns,
)
from cactustiller.policy import RunTimes
from cactustiller.ports import Conflict, Put, Write

from .failures import (
    fail_cancel_unavailable,
    fail_handed_over,
    fail_job_ended,
    fail_missing_job,
    fail_outcome_unknown,
)
from .jobs import JobEntry, TeamUsage, finish_job
from .loading import load_jobs
from .recorder import Recorder, put_job, put_task
from .runs import run_row_key
from .supervision import watch_task

SUBMIT_TIMEOUT_SECONDS = 3.0
WAIT_FOREVER_SECONDS = 86_400.0
STOP_RETRY_SECONDS = 1.0
CONFLICT_RETRY_SECONDS = 0.2
FIRST_ATTEMPT = 1
MAX_DECISIONS_PER_JOB = 32
MAX_EXPLAINED_JOBS = 2000

log = structlog.get_logger(__name__)


class Home:
    """State and operations of one home at its owner.

    Parameters
    ----------
    home : PartitionId
    epoch : int
        Epoch of the ownership under which this object was created.
    member : Member
    clock : WallClock
    wake : callable
        Called when there may be tasks to place.
    """

    def __init__(self, home, epoch, member, clock, wake):
        self.home = home
        self.epoch = epoch
        self.jobs = {}
        self.is_recovered = False
        self.explanations = {}
        self.changed_jobs = set()
        self.ended_runs = []
        self.run_times = RunTimes()
        self.explain_waiting = lambda job: []
        self.on_failure = lambda error: None
        self.record_wait = lambda kind, team, queue, seconds: None
        self._member = member
        self._clock = clock
        self._wake = wake
        self._submissions = {}
        self._unreadable = {}
        self._usage = defaultdict(TeamUsage)
        self._tasks = set()
        self._recorder = Recorder(
            home, self.jobs, clock, self._commit, member.epoch_of, wake
        )
        self._recorder.on_end_recorded = self._on_end_recorded

    @property
    def is_owned(self):
        """Whether this member still owns the home under the same epoch."""
        member = self._member
        return member.owns(self.home) and member.epoch_of(self.home) == self.epoch

    async def recover(self):
        """Load the home's jobs and tasks; return whether that succeeded."""
        jobs = await self._member.table.scan_rows(f"job/{self.home}/")
        tasks = await self._member.table.scan_rows(f"task/{self.home}/")
        if jobs.is_err() or tasks.is_err():
            return False
        loaded = load_jobs(self.home, jobs.unwrap(), tasks.unwrap())
        self._unreadable = loaded.unreadable
        for record, job_tasks in loaded.jobs:
            self._add_job(record, job_tasks)
        self.is_recovered = True
        log.info("home_recovered", home=self.home, jobs=len(self.jobs))
        self._spawn(self._recorder.run())
        self._resume_unfinished_endings()
        self._wake()
        return True

    async def stop(self):
        """Cancel all background tasks of this home."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._recorder.stop()

    async def release(self):
        """Stop placement; wait until no submission is being committed."""
        self.is_recovered = False
        await asyncio.gather(*self._submissions.values(), return_exceptions=True)

    def reopen(self):
        """Resume work after a failed handover."""
        self.is_recovered = True
        self._wake()

    async def submit(self, message):
        """Accept a job idempotently; return ``Ok(JobView)`` or ``Err(Failure)``."""
        known = self.jobs.get(message.job)
        if known is not None:
            return Ok(known.make_view(detail=False))
        if message.job in self._unreadable:
            return Err(fail_missing_job(self.home, message.job, self._unreadable))
        task = self._submissions.get(message.job)
        if task is None:
            task = self._spawn(self._commit_job(message))
            self._submissions[message.job] = task
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_SECONDS):
                return await asyncio.shield(task)
        except TimeoutError:
            return Err(fail_outcome_unknown(message.job, SUBMIT_TIMEOUT_SECONDS))

    def get(self, message):
        """Return ``Ok(JobView)`` or ``Err(Failure)`` for a job."""
        entry = self.jobs.get(message.job)
        if entry is None:
            return Err(fail_missing_job(self.home, message.job, self._unreadable))
        return Ok(entry.make_view(message.detail))

    def list_jobs(self, message):
        """Return the `JobList` of a team, without task details."""
        return JobList(
            jobs=[
                entry.make_view(detail=False)
                for entry in self.jobs.values()
                if entry.record.spec.team == message.team
            ]
        )

    def explain(self, message):
        """Return ``Ok(Explanation)`` of why a job is pending or how it was placed."""
        if message.job not in self.jobs:
            return Err(fail_missing_job(self.home, message.job, self._unreadable))
        lines = self.explain_waiting(message.job)
        placed = self.explanations.get(message.job, [])
        return Ok(Explanation(lines=[*lines, *placed]))

    async def cancel(self, message):
        """Cancel a job; return ``Ok(JobView)`` once the cancellation is committed."""
        entry = self.jobs.get(message.job)
        if entry is None:
            return Err(fail_missing_job(self.home, message.job, self._unreadable))
        if not entry.record.state.is_final:
            if self._member.committer.is_stuck:
                return Err(fail_cancel_unavailable())
            answer = await self._recorder.cancel(entry.job)
            if answer.is_err():
                return answer
            self._spawn(self._stop_remaining_tasks(entry))
        return Ok(entry.make_view(message.detail))

    def is_new(self, job):
        """Return whether the table service can't hold any row of a job."""
        return job not in self.jobs and job not in self._submissions

    def record_decision(self, job, line):
        """Keep a line of explanation for a decision about a job."""
        if job not in self.explanations:
            self.explanations[job] = deque(maxlen=MAX_DECISIONS_PER_JOB)
            while len(self.explanations) > MAX_EXPLAINED_JOBS:
                del self.explanations[next(iter(self.explanations))]
        self.explanations[job].append(line)

    def find_usage(self, team):
        """Return the resources and the number of a team's tasks that hold capacity."""
        usage = self._usage[team]
        return usage.used, usage.tasks

    def make_run(self, entry, index, worker):
        """Return the `RunRecord` for a task's next attempt on a worker."""
        spec = entry.record.spec
        return RunRecord(
            job=entry.job,
            index=index,
            attempt=entry.next_attempt(index),
            home=self.home,
            team=spec.team,
            worker=worker,
            template=spec.template,
            kind=spec.kind,
            urgency=spec.urgency,
        )

    async def commit_runs(self, runs_by_shard):
        """Commit assignments, and mark their tasks assigned if that succeeds.

        Waits until the outcome is known, since placing a task again while its
        assignment may yet be committed could run it twice.

        Parameters
        ----------
        runs_by_shard : dict of PartitionId to list of RunRecord

        Returns
        -------
        Result
            ``Err`` with a `Failure`, or a `Conflict` if the ownership row changed.
        """
        if not self.is_owned:
            return Err(fail_handed_over(self.home, "assign"))
        puts = []
        assigned = []
        for shard, runs in runs_by_shard.items():
            for run in runs:
                if self.jobs[run.job].record.state.is_final:
                    return Err(fail_job_ended(run.job))
                task = self._make_assigned(shard, run)
                assigned.append(task)
                puts.append(put_task(self.home, task))
                key = run_row_key(shard, run.job, run.index)
                puts.append(Put(key=key, value=run.model_dump(mode="json")))
        write = Write(checks=[self._member.ownership_check()], puts=puts)
        answer = await self._member.committer.commit(
            write, "assign", WAIT_FOREVER_SECONDS, wait_if_stuck=True
        )
        if answer.is_ok():
            for task in assigned:
                self.jobs[task.job].assign(task)
        return answer

    async def unassign(self, shard, epoch, runs):
        """Make the tasks of runs that the shard refused to start pending again.

        Runs that have ended in the meantime, and runs that a new owner of the shard
        may have started, are left unchanged.

        Parameters
        ----------
        shard : PartitionId
        epoch : int
            Epoch of the shard's owner that refused the runs.
        runs : list of (RunKey, str)
            Refused runs with their reasons.
        """
        reports = [
            _EndReport(run, RunState.LAPSED, "not started: " + reason)
            for run, reason in runs
            if not _is_attempt_over(self._find_task(run), run.attempt)
        ]
        if reports:
            await self._recorder.record_ends(reports, shard, epoch)

    async def record_reports(self, message):
        """Process a `ReportRuns`; return a `ReportAnswer` with the recorded ends."""
        ended = []
        recorded = []
        for report in message.reports:
            task = self._find_task(report.run)
            if _is_attempt_over(task, report.run.attempt):
                recorded.append(report.run)
            elif report.state is RunState.RUNNING:
                self._mark_running(task, self._clock.now() - report.run_seconds)
            else:
                # A short run may end before its start is reported.
                if report.run_seconds:
                    started_at = self._clock.now() - report.run_seconds
                    self._mark_running(task, started_at)
                ended.append(report)
        recorded += await self._recorder.record_ends(
            ended, message.shard, message.epoch
        )
        return ReportAnswer(recorded=recorded)

    def list_assigned(self):
        """Return the run of every task that holds capacity, by shard."""
        by_shard = {}
        for entry in self.jobs.values():
            for task in entry.list_active():
                run = self.make_run(entry, task.index, task.worker)
                run = run.with_changes(attempt=task.attempt)
                by_shard.setdefault(task.shard, []).append(run)
        return by_shard

    async def _commit_job(self, message):
        record = JobRecord(
            job=message.job,
            spec=message.spec,
            submitted_at=self._clock.now(),
            key=message.key,
        )
        try:
            write = Write(puts=[put_job(self.home, record)])
            answer = await self._commit(write, "submit", WAIT_FOREVER_SECONDS)
        finally:
            self._submissions.pop(message.job, None)
        if answer.is_err():
            return answer
        entry = self._add_job(record, [])
        log.info("job_accepted", job=record.job, team=record.spec.team)
        self._wake()
        return Ok(entry.make_view(detail=False))

    async def _commit(
        self, write, purpose, seconds, wait_if_stuck=False, epochs=MappingProxyType({})
    ):
        """Commit a write on the condition that this member still owns the home.

        The member's fencing token does not cover a voluntary handover, so each write
        also checks the ownership row. `epochs` are epochs of shards that must be
        current as well.
        """
        if not self._has_epochs(epochs):
            await self._member.refresh()
        while self.is_owned and self._has_epochs(epochs):
            check = self._member.ownership_check()
            answer = await self._member.committer.commit(
                write.with_changes(checks=[*write.checks, check]),
                purpose,
                seconds,
                wait_if_stuck=wait_if_stuck,
            )
            if answer.is_ok() or not isinstance(answer.unwrap_err(), Conflict):
                return answer
            known = self._member.ownership_version
            await self._member.refresh()
            if self._member.ownership_version == known:
                # The row cannot be read, so the next commit will fail as well.
                await asyncio.sleep(CONFLICT_RETRY_SECONDS)
        return Err(fail_handed_over(self.home, purpose))

    def _has_epochs(self, epochs):
        epoch_of = self._member.epoch_of
        return all(epoch_of(shard) == epoch for shard, epoch in epochs.items())

    def _make_assigned(self, shard, run):
        entry = self.jobs[run.job]
        previous = entry.tasks.get(run.index)
        return TaskRecord(
            job=run.job,
            index=run.index,
            state=TaskState.ASSIGNED,
            attempt=run.attempt,
            failures=previous.failures if previous else 0,
            crashes=previous.crashes if previous else 0,
            preemptions=previous.preemptions if previous else 0,
            worker=run.worker,
            shard=shard,
            changed_at=self._clock.now(),
        )

    def _find_task(self, run):
        entry = self.jobs.get(run.job)
        return entry.tasks.get(run.index) if entry else None

    def _mark_running(self, task, started_at):
        entry = self.jobs[task.job]
        if task.state is TaskState.RUNNING:
            return
        entry.set_task(task.with_changes(state=TaskState.RUNNING))
        entry.record_start(started_at)
        if task.attempt == FIRST_ATTEMPT:
            spec = entry.record.spec
            seconds = max(0.0, started_at - entry.record.submitted_at)
            self.record_wait(spec.kind, spec.team, spec.queue, seconds)

    def _add_job(self, record, tasks):
        usage = self._usage[record.spec.team]
        entry = JobEntry.recover(record, tasks, usage, self.changed_jobs)
        self.jobs[record.job] = entry
        self._learn_run_times(entry)
        return entry

    def _on_end_recorded(self, entry, report):
        """Use the end of an attempt for run time estimates and worker health."""
        spec = entry.record.spec
        task = entry.tasks[report.run.index]
        if report.state is RunState.FAILED:
            entry.failed_on.add(task.worker)
        elif report.state is RunState.SUCCEEDED:
            self.run_times.record(spec, report.run_seconds)
        elif report.state is RunState.STOPPED:
            self.run_times.record_stopped(spec, report.run_seconds)
        self.ended_runs.append((entry, task.worker, report.state))

    def _learn_run_times(self, entry):
        """Feed the run times in a job's rows to the estimator."""
        seconds = [task.run_seconds for task in entry.tasks.values()]
        for found in (entry.record.run_seconds, *seconds):
            if found:
                self.run_times.record(entry.record.spec, found)

    def _resume_unfinished_endings(self):
        """Resume endings of jobs that the previous owner left unfinished."""
        now = self._clock.now()
        for entry in self.jobs.values():
            if entry.record.state.is_final and entry.tasks:
                self._spawn(self._stop_remaining_tasks(entry))
            elif finish_job(entry.record, entry.tasks, now) is not None:
                self._spawn(self._recorder.close(entry.job))

    async def _stop_remaining_tasks(self, entry):
        """Stop the tasks of a cancelled job; delete their rows once all have ended."""
        while True:
            active = entry.list_active()
            if not entry.has_active_tasks:
                await self._recorder.close(entry.job)
                return
            by_shard = {}
            for task in active:
                key = RunKey(job=task.job, index=task.index, attempt=task.attempt)
                by_shard.setdefault(task.shard, []).append(key)
            for shard, keys in by_shard.items():
                message = StopRuns(shard=shard, runs=keys, reason="cancelled")
                await self._member.call_owner(shard, message)
            await asyncio.sleep(STOP_RETRY_SECONDS)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        watch_task(task, self.on_failure)
        return task


class _EndReport:
    """Report of an ended attempt that the home itself creates; see `RunReport`."""

    def __init__(self, run, state, reason):
        self.run = run
        self.state = state
        self.reason = reason
        self.run_seconds = 0.0


def _is_attempt_over(task, attempt):
    """Return whether an attempt is over or superseded, so that nothing is recorded."""
    if task is None or task.attempt != attempt:
        return True
    return not task.state.holds_capacity
