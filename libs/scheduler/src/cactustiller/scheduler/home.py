"""Home: the single writer of some teams' jobs, queues and running counts."""

import asyncio
from collections import deque

import structlog
from result import Err, Ok

from cactustiller.model import (
    NOTHING,
    ErrorCode,
    Failure,
    JobRecord,
    JobState,
    Outcome,
    RunRecord,
    RunState,
    TaskRecord,
    TaskState,
)
from cactustiller.model.messages import (
    Explanation,
    JobList,
    ReportAnswer,
    RunKey,
    StopRuns,
)
from cactustiller.platform import Conflict, Put, Write
from cactustiller.policy import RunTimes

from .jobs import JobEntry, end_task, find_restart_pause, finish_job
from .runs import run_row_key

SUBMIT_SECONDS = 3.0
CANCEL_SECONDS = 5.0
WAIT_FOREVER_SECONDS = 86_400.0
STOP_RETRY_SECONDS = 1.0
KEPT_DECISIONS = 32
KEPT_EXPLAINED_JOBS = 2000

log = structlog.get_logger(__name__)


class Home:
    """Owner's side of one home.

    Parameters
    ----------
    home : PartitionId
    epoch : int
    member : Member
    clock : WallClock
    wake : callable
        Called when there is something new to place.
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
        self._member = member
        self._clock = clock
        self._wake = wake
        self._submitting = {}
        self._recording = set()
        self._tasks = set()

    @property
    def is_owned(self):
        """Whether this member owns the home under the epoch it was started with."""
        member = self._member
        return member.owns(self.home) and member.epoch_of(self.home) == self.epoch

    async def recover(self):
        """Read the home's jobs and tasks; return whether that succeeded."""
        jobs = await self._member.table.scan_rows(f"job/{self.home}/")
        tasks = await self._member.table.scan_rows(f"task/{self.home}/")
        if jobs.is_err() or tasks.is_err():
            return False
        by_job = {}
        for row in tasks.unwrap():
            task = TaskRecord.model_validate(row.value)
            by_job.setdefault(task.job, []).append(task)
        for row in jobs.unwrap():
            record = JobRecord.model_validate(row.value)
            entry = JobEntry.recover(record, by_job.get(record.job, []))
            self.jobs[record.job] = entry
            self._learn_run_times(entry)
        self.changed_jobs.update(self.jobs)
        self.is_recovered = True
        log.info("home_recovered", home=self.home, jobs=len(self.jobs))
        self._spawn(self._stop_cancelled())
        self._wake()
        return True

    async def stop(self):
        """Stop all work under this home at once."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def release(self):
        """Wait until no write of this home is under way."""
        self.is_recovered = False
        await asyncio.gather(*self._submitting.values(), return_exceptions=True)

    def reopen(self):
        """Place work again after a hand-over that failed."""
        self.is_recovered = True
        self._wake()

    async def submit(self, message):
        """Accept a job once; return ``Ok(JobView)`` or ``Err(Failure)``."""
        known = self.jobs.get(message.job)
        if known is not None:
            return Ok(known.make_view(detail=False))
        task = self._submitting.get(message.job)
        if task is None:
            task = self._spawn(self._commit_job(message))
            self._submitting[message.job] = task
        try:
            async with asyncio.timeout(SUBMIT_SECONDS):
                return await asyncio.shield(task)
        except TimeoutError:
            return Err(_fail_unknown(message.job))

    def get(self, message):
        """Return ``Ok(JobView)`` of a job."""
        entry = self.jobs.get(message.job)
        if entry is None:
            return Err(self._fail_unknown_job(message.job))
        return Ok(entry.make_view(message.detail))

    def list_jobs(self, message):
        """Return the `JobList` of a team."""
        return JobList(
            jobs=[
                entry.make_view(detail=False)
                for entry in self.jobs.values()
                if entry.record.spec.team == message.team
            ]
        )

    def explain(self, message):
        """Return ``Ok(Explanation)`` of why a job waits or how it was placed."""
        if message.job not in self.jobs:
            return Err(self._fail_unknown_job(message.job))
        lines = self.explain_waiting(message.job)
        placed = self.explanations.get(message.job, [])
        return Ok(Explanation(lines=[*lines, *placed]))

    async def cancel(self, message):
        """Cancel a job; return ``Ok(JobView)`` once that is recorded."""
        entry = self.jobs.get(message.job)
        if entry is None:
            return Err(self._fail_unknown_job(message.job))
        if not entry.record.state.is_final:
            cancelled = entry.record.with_changes(
                state=JobState.CANCELLED,
                reason="cancelled",
                ended_at=self._clock.now(),
            )
            write = Write(puts=[self._put_job(cancelled)])
            answer = await self._commit(write, "cancel", CANCEL_SECONDS)
            if answer.is_err():
                return answer
            entry.record = cancelled
            entry.waiting.clear()
            self.changed_jobs.add(entry.job)
            self._wake()
            self._spawn(self._stop_holding(entry))
        return Ok(entry.make_view(message.detail))

    def is_new(self, job):
        """Return whether nothing of a job can be in the table service."""
        return job not in self.jobs and job not in self._submitting

    def note_decision(self, job, line):
        """Keep a line that explains a decision about a job."""
        if job not in self.explanations:
            self.explanations[job] = deque(maxlen=KEPT_DECISIONS)
            while len(self.explanations) > KEPT_EXPLAINED_JOBS:
                del self.explanations[next(iter(self.explanations))]
        self.explanations[job].append(line)

    def find_usage(self, team):
        """Return resources and number of the team's tasks that hold capacity."""
        used = NOTHING
        count = 0
        for entry in self.jobs.values():
            if entry.record.spec.team != team:
                continue
            holding = len(entry.list_holding()) + len(entry.placing)
            used = used + entry.record.spec.template.resources.times(holding)
            count += holding
        return used, count

    def make_run(self, entry, index, worker):
        """Return the `RunRecord` of a task's next attempt on a worker."""
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
        """Commit assignments; ``Ok`` makes their tasks assigned.

        Waits until the effect is known, since the tasks must not be placed again
        before that.
        """
        if not self.is_owned:
            return Err(self._fail_handed_over("assign"))
        puts = []
        assigned = []
        for shard, runs in runs_by_shard.items():
            for run in runs:
                task = self._make_assigned(shard, run)
                assigned.append(task)
                puts.append(self._put_task(task))
                key = run_row_key(shard, run.job, run.index)
                puts.append(Put(key=key, value=run.model_dump(mode="json")))
        write = Write(checks=[self._member.ownership_check()], puts=puts)
        answer = await self._member.committer.commit(
            write, "assign", WAIT_FOREVER_SECONDS, wait_if_stuck=True
        )
        if answer.is_ok():
            for task in assigned:
                entry = self.jobs[task.job]
                entry.placing.discard(task.index)
                entry.tasks[task.index] = task
                self.changed_jobs.add(task.job)
        return answer

    async def unassign(self, runs):
        """Return runs that their shard will never start to the waiting tasks."""
        reports = [
            _Ended(run, RunState.LAPSED, "not started: " + reason)
            for run, reason in runs
        ]
        await self._record_ends(reports)

    async def record_reports(self, message):
        """Take a shard's reports; return which ends are recorded."""
        ended = []
        recorded = []
        for report in message.reports:
            entry = self.jobs.get(report.run.job)
            task = entry.tasks.get(report.run.index) if entry else None
            if _is_settled(task, report):
                recorded.append(report.run)
            elif report.state is RunState.RUNNING:
                self._note_running(entry, task)
            elif report.run not in self._recording:
                ended.append(report)
        if ended:
            recorded += await self._record_ends(ended)
        return ReportAnswer(recorded=recorded)

    def list_assigned(self):
        """Return the runs of every task that holds capacity, by shard."""
        by_shard = {}
        for entry in self.jobs.values():
            for task in entry.list_holding():
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
            write = Write(puts=[self._put_job(record)])
            answer = await self._commit(write, "submit", WAIT_FOREVER_SECONDS)
        finally:
            self._submitting.pop(message.job, None)
        if answer.is_err():
            return answer
        entry = JobEntry.recover(record, [])
        self.jobs[record.job] = entry
        self.changed_jobs.add(record.job)
        log.info("job_accepted", job=record.job, team=record.spec.team)
        self._wake()
        return Ok(entry.make_view(detail=False))

    async def _commit(self, write, purpose, seconds, wait_if_stuck=False):
        """Commit a write on condition that this home is still owned here.

        The member's fence does not cover a voluntary hand-over, so each write is
        conditional on the ownership row as well.
        """
        while self.is_owned:
            check = self._member.ownership_check()
            answer = await self._member.committer.commit(
                write.with_changes(checks=[*write.checks, check]),
                purpose,
                seconds,
                wait_if_stuck=wait_if_stuck,
            )
            if answer.is_ok() or not isinstance(answer.unwrap_err(), Conflict):
                return answer
            await self._member.refresh()
        return Err(self._fail_handed_over(purpose))

    def _fail_handed_over(self, purpose):
        return Failure(
            code=ErrorCode.NOT_OWNER,
            step=f"commit {purpose}",
            peer=self.home,
            reason="the home has been handed over",
            retry_after_ms=200,
        )

    def _make_assigned(self, shard, run):
        entry = self.jobs[run.job]
        previous = entry.tasks.get(run.index)
        return TaskRecord(
            job=run.job,
            index=run.index,
            state=TaskState.ASSIGNED,
            attempt=run.attempt,
            failures=previous.failures if previous else 0,
            preemptions=previous.preemptions if previous else 0,
            worker=run.worker,
            shard=shard,
            changed_at=self._clock.now(),
        )

    def _note_running(self, entry, task):
        if task.state is TaskState.RUNNING:
            return
        entry.tasks[task.index] = task.with_changes(state=TaskState.RUNNING)
        entry.note_started(self._clock.now())

    async def _record_ends(self, reports):
        """Commit the ends of attempts; return the keys of the recorded ones."""
        now = self._clock.now()
        keys = [report.run for report in reports]
        changes = {}
        write = Write(puts=[], deletes=[])
        for report in reports:
            entry = self.jobs[report.run.job]
            task = entry.tasks[report.run.index]
            ended = end_task(entry, task, report, now)
            changes.setdefault(entry.job, {})[task.index] = ended
            write.deletes.append(run_row_key(task.shard, task.job, task.index))
        finished = {}
        for job, tasks in changes.items():
            entry = self.jobs[job]
            after = entry.tasks | tasks
            final = finish_job(entry.record, after, now)
            if final is None:
                write.puts.extend(self._put_task(task) for task in tasks.values())
                continue
            finished[job] = final
            write.puts.append(self._put_job(final))
            write.deletes.extend(self._task_key(job, index) for index in after)
        self._recording.update(keys)
        try:
            answer = await self._commit(
                write, "end", WAIT_FOREVER_SECONDS, wait_if_stuck=True
            )
        finally:
            self._recording.difference_update(keys)
        if answer.is_err():
            return []
        self._note_ends(reports)
        self._apply_ends(changes, finished, now)
        return keys

    def _note_ends(self, reports):
        """Learn from the ends of attempts."""
        for report in reports:
            entry = self.jobs[report.run.job]
            task = entry.tasks[report.run.index]
            if report.state is RunState.FAILED:
                entry.failed_on.add(task.worker)
            elif report.state is RunState.SUCCEEDED:
                self.run_times.note(entry.record.spec, report.run_seconds)
            elif report.state is RunState.STOPPED:
                self.run_times.note_unfinished(entry.record.spec, report.run_seconds)
            self.ended_runs.append((entry, task.worker, report.state))

    def _learn_run_times(self, entry):
        """Learn from the rows of a job, as far as they tell."""
        seconds = [task.run_seconds for task in entry.tasks.values()]
        for found in (entry.record.run_seconds, *seconds):
            if found:
                self.run_times.note(entry.record.spec, found)

    def _apply_ends(self, changes, finished, now):
        for job, tasks in changes.items():
            entry = self.jobs[job]
            self.changed_jobs.add(job)
            for index, task in tasks.items():
                entry.tasks[index] = task
                if task.state is not TaskState.WAITING:
                    continue
                if entry.record.state is JobState.CANCELLED:
                    continue
                entry.restart_at[index] = now + find_restart_pause(task.failures)
                entry.put_back(index)
            if job in finished:
                entry.record = finished[job]
                log.info("job_ended", job=job, state=entry.record.state)
        self._wake()

    async def _stop_cancelled(self):
        """After a takeover, stop what cancelled jobs still hold."""
        for entry in list(self.jobs.values()):
            if entry.record.state is JobState.CANCELLED and entry.list_holding():
                self._spawn(self._stop_holding(entry))

    async def _stop_holding(self, entry):
        """Ask the shards to stop a cancelled job's tasks until all have ended."""
        while True:
            holding = entry.list_holding()
            if not holding and not entry.placing:
                return
            by_shard = {}
            for task in holding:
                key = RunKey(job=task.job, index=task.index, attempt=task.attempt)
                by_shard.setdefault(task.shard, []).append(key)
            for shard, keys in by_shard.items():
                message = StopRuns(shard=shard, runs=keys, reason="cancelled")
                await self._member.call_owner(shard, message)
            await asyncio.sleep(STOP_RETRY_SECONDS)

    def _put_job(self, record):
        key = f"job/{self.home}/{record.job}"
        return Put(key=key, value=record.model_dump(mode="json"))

    def _task_key(self, job, index):
        return f"task/{self.home}/{job}/{index}"

    def _put_task(self, task):
        key = self._task_key(task.job, task.index)
        return Put(key=key, value=task.model_dump(mode="json"))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _fail_unknown_job(self, job):
        return Failure(
            code=ErrorCode.NOT_FOUND,
            step="find job",
            peer=self.home,
            reason=f"no job {job}",
        )


class _Ended:
    """End of an attempt that the home itself has found."""

    def __init__(self, run, state, reason):
        self.run = run
        self.state = state
        self.reason = reason
        self.run_seconds = 0.0


def _is_settled(task, report):
    """Return whether the table already holds what became of a reported attempt."""
    if task is None or task.attempt != report.run.attempt:
        return True
    return not task.state.holds_capacity


def _fail_unknown(job):
    return Failure(
        code=ErrorCode.TIMEOUT,
        step="commit job",
        peer="table service",
        reason=f"no answer within {SUBMIT_SECONDS} s; ask again for job {job}",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=1000,
    )
