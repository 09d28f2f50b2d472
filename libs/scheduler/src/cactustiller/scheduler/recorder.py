"""Recorder that commits ends of attempts and cancellations in one home.

It commits one batch at a time. The final state of a job depends on all its tasks, so
each batch has to be computed from the state after the previous one.
"""

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple

import structlog
from result import Err, Ok

from cactustiller.model import (
    TABLE_PEER,
    ErrorCode,
    Failure,
    FailureError,
    JobState,
    Outcome,
    PartitionId,
    TaskState,
)
from cactustiller.model.messages import RunReport
from cactustiller.ports import Put, Write

from .failures import fail_handed_over
from .jobs import end_task, find_restart_delay, finish_job
from .runs import run_row_key

MAX_ENDS_PER_WRITE = 500
CANCEL_TIMEOUT_SECONDS = 5.0
WAIT_FOREVER_SECONDS = 86_400.0

log = structlog.get_logger(__name__)


class _PendingEnd(NamedTuple):
    """Reported end of a run that is not committed yet.

    `epoch` is that of the shard's owner that sent the report.
    """

    report: RunReport
    future: asyncio.Future
    shard: PartitionId
    epoch: int


@dataclass
class _Batch:
    """Changes that one write commits, to be applied in memory afterwards.

    Parameters
    ----------
    ends : dict of RunKey to _PendingEnd
    epochs : dict of PartitionId to int
        Epochs of shards on which the write depends.
    cancels, closes : dict of JobId to asyncio.Future
        Jobs to cancel, and ended jobs whose task rows are to be deleted.
    records : dict of JobId to JobRecord
        New records of jobs.
    tasks : dict of JobId to dict of int to TaskRecord
        New records of tasks by index.
    write : Write
    """

    ends: dict = field(default_factory=dict)
    epochs: dict = field(default_factory=dict)
    cancels: dict = field(default_factory=dict)
    closes: dict = field(default_factory=dict)
    records: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)
    write: Write = field(default_factory=Write)

    def resolve(self, cancelled, recorded):
        """Set the results of all futures that wait for this batch."""
        for future in (*self.cancels.values(), *self.closes.values()):
            if not future.done():
                future.set_result(cancelled)
        for end in self.ends.values():
            if not end.future.done():
                end.future.set_result(recorded)


class Recorder:
    """Commits the ends of a home's tasks and jobs.

    Parameters
    ----------
    home : PartitionId
    jobs : dict of JobId to JobEntry
    clock : WallClock
    commit : callable
        Coroutine function of a write, a purpose, a timeout in seconds, whether to
        wait while the table service is not answering, and the epochs of shards
        on which the write depends.
    epoch_of : callable
        Returns the current epoch of a shard.
    on_recorded : callable
        Called after each write.

    Attributes
    ----------
    on_end_recorded : callable
        Called with the `JobEntry` and the report of each end after its commit.
    """

    def __init__(self, home, jobs, clock, commit, epoch_of, on_recorded):
        self._home = home
        self._jobs = jobs
        self._clock = clock
        self._commit = commit
        self._epoch_of = epoch_of
        self._on_recorded = on_recorded
        self.on_end_recorded = lambda entry, report: None
        self._ends = {}
        self._cancels = {}
        self._closes = {}
        self._wake = asyncio.Event()
        self._futures = set()

    def stop(self):
        """Fail everything that waits for a commit, once `run` has been cancelled.

        The callers then try again at the new owner of the home; a commit in flight may
        still take effect.
        """
        failure = fail_handed_over(self._home, "record").with_changes(
            outcome=Outcome.UNKNOWN
        )
        for future in list(self._futures):
            if not future.done():
                future.set_exception(FailureError(failure))
                # Marks the exception as retrieved where nobody waits any more.
                future.exception()

    async def record_ends(self, reports, shard, epoch):
        """Commit reported ends; return the keys of the runs that are recorded.

        Reports of a previous owner of the shard are not recorded, since the new owner
        may have started the runs or renewed their leases.

        Raises
        ------
        FailureError
            If the home is stopped meanwhile.
        """
        waiting = []
        for report in reports:
            entry = self._ends.get(report.run)
            if entry is None:
                entry = _PendingEnd(report, self._make_future(), shard, epoch)
                self._ends[report.run] = entry
            waiting.append((report.run, entry.future))
        self._wake.set()
        return [key for key, future in waiting if await asyncio.shield(future)]

    async def cancel(self, job):
        """Commit the cancellation of a job; return ``Ok`` or ``Err(Failure)``."""
        future = self._cancels.get(job)
        if future is None:
            future = self._cancels[job] = self._make_future()
            self._wake.set()
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_SECONDS):
                return await asyncio.shield(future)
        except TimeoutError:
            is_pending = self._cancels.pop(job, None) is not None
            outcome = Outcome.NOT_RUN if is_pending else Outcome.UNKNOWN
            return Err(_fail_timed_out(job, outcome))

    async def close(self, job):
        """Delete the task rows of a job that has ended; return the ``Result``."""
        if job not in self._closes:
            self._closes[job] = self._make_future()
            self._wake.set()
        return await asyncio.shield(self._closes[job])

    async def run(self):
        """Commit batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._ends or self._cancels or self._closes:
                await self._write_batch()

    async def _write_batch(self):
        batch = self._build_batch()
        if not batch.write.puts and not batch.write.deletes:
            batch.resolve(Ok(None), True)
            return
        must_wait = bool(batch.ends)
        seconds = WAIT_FOREVER_SECONDS if must_wait else CANCEL_TIMEOUT_SECONDS
        answer = await self._commit(
            batch.write, "end", seconds, must_wait, batch.epochs
        )
        if answer.is_ok():
            self._apply_batch(batch)
        batch.resolve(answer, answer.is_ok())
        self._on_recorded()

    def _build_batch(self):
        batch = _Batch(write=Write(puts=[], deletes=[]))
        batch.cancels, self._cancels = self._cancels, {}
        batch.closes, self._closes = self._closes, {}
        for key in list(self._ends)[:MAX_ENDS_PER_WRITE]:
            self._add_end(batch, key)
        now = self._clock.now()
        for job in batch.cancels:
            self._add_cancellation(batch, self._jobs[job], now)
        for end in batch.ends.values():
            self._add_ended_task(batch, end.report, now)
        for job, tasks in batch.tasks.items():
            self._add_finished_job(batch, self._jobs[job], tasks, now)
        for job in batch.closes:
            self._add_row_deletion(batch, self._jobs[job], now)
        batch.write.puts.extend(
            self._put_job(record) for record in batch.records.values()
        )
        return batch

    def _add_end(self, batch, key):
        end = self._ends.pop(key)
        expected_epoch = batch.epochs.get(end.shard, end.epoch)
        if end.epoch < self._epoch_of(end.shard) or expected_epoch != end.epoch:
            end.future.set_result(False)
            return
        batch.ends[key] = end
        batch.epochs[end.shard] = end.epoch

    def _add_cancellation(self, batch, entry, now):
        if not entry.record.state.is_final:
            batch.records[entry.job] = entry.record.with_changes(
                state=JobState.CANCELLED, reason="cancelled", ended_at=now
            )

    def _add_ended_task(self, batch, report, now):
        entry = self._jobs[report.run.job]
        task = entry.tasks[report.run.index]
        if task.attempt != report.run.attempt or not task.state.holds_capacity:
            return
        record = batch.records.get(entry.job, entry.record)
        ended = end_task(record, task, report, now)
        batch.tasks.setdefault(entry.job, {})[task.index] = ended
        batch.write.deletes.append(run_row_key(task.shard, task.job, task.index))

    def _add_finished_job(self, batch, entry, tasks, now):
        """Add the ended tasks of a job to a batch, or its end if all have ended."""
        record = batch.records.get(entry.job, entry.record)
        after = entry.tasks | tasks
        final = None if record.state.is_final else finish_job(record, after, now)
        if final is None:
            batch.write.puts.extend(self._put_task(task) for task in tasks.values())
            return
        batch.records[entry.job] = final
        batch.write.deletes.extend(self._task_key(entry.job, i) for i in after)

    def _add_row_deletion(self, batch, entry, now):
        """Add the deletion of a job's task rows once no task holds capacity."""
        record = batch.records.get(entry.job, entry.record)
        if not record.state.is_final:
            record = finish_job(record, entry.tasks, now)
        if record is None or entry.job in batch.tasks or entry.has_active_tasks:
            return
        batch.records[entry.job] = record.with_changes(
            succeeded=max(record.succeeded, entry.count(TaskState.SUCCEEDED)),
            failed=max(record.failed, entry.count(TaskState.FAILED)),
        )
        batch.write.deletes.extend(self._task_key(entry.job, i) for i in entry.tasks)

    def _apply_batch(self, batch):
        for job, record in batch.records.items():
            entry = self._jobs[job]
            was_final = entry.record.state.is_final
            entry.record = record
            entry.changed_jobs.add(job)
            if record.state is JobState.CANCELLED:
                entry.waiting.clear()
            if not was_final:
                log.info("job_ended", job=job, state=record.state)
        for report in (end.report for end in batch.ends.values()):
            if report.run.index in batch.tasks.get(report.run.job, {}):
                self.on_end_recorded(self._jobs[report.run.job], report)
        for job, tasks in batch.tasks.items():
            self._apply_tasks(self._jobs[job], tasks)

    def _apply_tasks(self, entry, tasks):
        for index, task in tasks.items():
            entry.set_task(task)
            if task.state is TaskState.WAITING and not entry.record.state.is_final:
                pause = find_restart_delay(task.failures + task.crashes)
                entry.restart_at[index] = self._clock.now() + pause
                entry.requeue(index)

    def _put_job(self, record):
        return put_job(self._home, record)

    def _put_task(self, task):
        return put_task(self._home, task)

    def _task_key(self, job, index):
        return task_row_key(self._home, job, index)

    def _make_future(self):
        future = asyncio.get_running_loop().create_future()
        self._futures.add(future)
        future.add_done_callback(self._futures.discard)
        return future


def task_row_key(home, job, index):
    """Return the key of a task's row in the table."""
    return f"task/{home}/{job}/{index}"


def job_row_key(home, job):
    """Return the key of a job's row in the table."""
    return f"job/{home}/{job}"


def put_job(home, record):
    """Return the `Put` of a job's row."""
    key = job_row_key(home, record.job)
    return Put(key=key, value=record.model_dump(mode="json"))


def put_task(home, task):
    """Return the `Put` of a task's row."""
    key = task_row_key(home, task.job, task.index)
    return Put(key=key, value=task.model_dump(mode="json"))


def _fail_timed_out(job, outcome):
    return Failure(
        code=ErrorCode.TIMEOUT,
        step="cancel job",
        peer=TABLE_PEER,
        reason=f"no answer within {CANCEL_TIMEOUT_SECONDS} s; ask again for job {job}",
        outcome=outcome,
        retry_after_ms=1000,
    )
