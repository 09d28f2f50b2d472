"""Loads the jobs and their progress at takeover, then follows the job table."""

import asyncio

from cactustiller.model import ErrorCode, JobId

from ..ports import (
    CANCEL_SUFFIX,
    CELL_PART,
    JOB_TABLE,
    PROGRESS_TABLE,
    split_job_key,
)
from ..records.progress_rows import ProgressRows
from ..records.specs import decode_job
from ..records.tables import read_table
from ..reporting.events import Event, log_event
from ..reporting.loop_work import LoopWork, track_loop_work

# Members forward callers' jobs to the owner; the change feed of the job table only adds
# those that a member stored itself and could not report to the owner.
FEED_PAUSE_SECONDS = 0.4
# A page has up to 1 MB, which takes 1.6 s over a link of 5 Mbit/s.
READ_TIMEOUT_SECONDS = 4.0
READ_RETRY_SECONDS = 0.1
# Deferred jobs that are read again at a time.
DEFERRED_READS = 8
DEFERRED_TIMEOUT_SECONDS = 0.5
# Work before other tasks of the loop have their turn, in tasks of jobs, of which each
# takes some microseconds; and the same of a row, its bytes and a step.
CHUNK_WORK = 3000
TASKS_PER_ROW = 20
BYTES_PER_TASK = 200
TASKS_PER_STEP = 5


class JobLoader:
    """Adds the jobs in the store to an engine.

    Parameters
    ----------
    engine : Engine
    store : RowStore
    metrics : Metrics
    """

    def __init__(self, engine, store, metrics):
        self._engine = engine
        self._store = store
        self._metrics = metrics
        self._cancelled = set()
        self._feed_version = 0

    async def load(self):
        """Read all jobs and their progress."""
        progress = await self._read_progress()
        jobs, self._feed_version = await self._read_table(JOB_TABLE, CELL_PART)
        # Jobs with progress may run on workers, so they are never deferred.
        jobs = sorted(jobs, key=lambda row: row.key.key not in progress)
        await self._add_job_rows(jobs, progress)

    async def follow(self, wake):
        """Add jobs and cancellations from the change feed; call `wake` if any came."""
        while True:
            await asyncio.sleep(FEED_PAUSE_SECONDS)
            if await self._load_deferred():
                wake()
            answer = await self._store.follow(JOB_TABLE, self._feed_version, 0.0)
            progress = ProgressRows()
            if answer.is_ok():
                page = answer.unwrap()
                self._feed_version = max(self._feed_version, page.version)
                rows = page.rows
            elif answer.unwrap_err().code is ErrorCode.HISTORY_LOST:
                # Some may be rows of finished jobs whose removal failed, which must not
                # count as new.
                progress = await self._read_progress()
                rows, self._feed_version = await self._read_table(JOB_TABLE, CELL_PART)
            else:
                continue
            new_rows = [
                row
                for row in rows
                if row.key.key.endswith(CANCEL_SUFFIX)
                or row.key.key not in self._engine.jobs
            ]
            if new_rows:
                await self._add_job_rows(new_rows, progress)
                wake()

    async def _load_deferred(self):
        """Load deferred jobs for which there is memory; return whether any were."""
        engine = self._engine
        before = len(engine.deferred_jobs)
        for job in list(engine.deferred_jobs)[:DEFERRED_READS]:
            if not engine.job_memory.has_room:
                break
            answer = await self._store.read(
                JOB_TABLE,
                CELL_PART,
                job,
                job + CANCEL_SUFFIX + "\0",
                DEFERRED_TIMEOUT_SECONDS,
            )
            if answer.is_err():
                break
            del engine.deferred_jobs[job]
            await self._add_job_rows(answer.unwrap().rows, ProgressRows())
            if job in engine.deferred_jobs:
                break
        return len(engine.deferred_jobs) < before

    def _record_cancels(self, rows):
        """Record the jobs of which rows say that they are cancelled; return them."""
        found = set()
        for row in rows:
            job, is_cancel = split_job_key(row.key.key)
            if is_cancel and row.value is not None:
                found.add(job)
        self._cancelled |= found
        return found

    async def _add_job_rows(self, rows, progress):
        """Add jobs and cancellations; let other tasks run after each piece of work."""
        cancelled = self._record_cancels(rows)
        rows = iter(rows)
        is_done = False
        while not is_done:
            with track_loop_work(self._metrics, LoopWork.LOAD_JOBS):
                is_done = self._add_some(rows, progress)
            await asyncio.sleep(0)
        for job in cancelled:
            self._engine.cancel_job(job)

    def _add_some(self, rows, progress):
        """Add jobs up to `CHUNK_WORK`; return whether there are no more."""
        work = 0
        for row in rows:
            job, is_cancel = split_job_key(row.key.key)
            if is_cancel or row.value is None:
                continue
            encoded, further_rows = progress.find(job)
            self.add_job(job, row.value, encoded, further_rows=further_rows)
            work += self._estimate_work(job, row, encoded)
            if work >= CHUNK_WORK:
                return False
        return True

    def _estimate_work(self, job, row, progress):
        """Return the work of adding a job, in tasks."""
        size = len(row.value) + len(progress or b"")
        run = self._engine.jobs.get(job)
        steps = run.iterate_steps() if run is not None else ()
        tasks = sum(step.spec.count + TASKS_PER_STEP for step in steps)
        return TASKS_PER_ROW + size // BYTES_PER_TASK + tasks

    def add_job(self, job, row, progress=None, is_stored=True, further_rows=0):
        """Add a job from the value of its row; log and skip an unreadable one.

        A stored job that has not begun is deferred while there is no memory for it.
        """
        engine = self._engine
        try:
            spec = decode_job(JobId(job), row)
            is_new = progress is None and job not in engine.jobs
            if is_stored and is_new and not engine.job_memory.admit(spec):
                if job not in engine.deferred_jobs:
                    engine.deferred_jobs[job] = spec.queue
                    log_event(Event.JOB_DEFERRED, job=job, queue=spec.queue)
                return
            engine.add_job(spec, progress, is_stored)
            if progress is not None:
                engine.jobs[job].further_rows = further_rows
                engine.job_memory.count(engine.jobs[job])
        except (ValueError, KeyError, IndexError, TypeError) as error:
            log_event(Event.ENTRY_UNREADABLE, what="job", job=job, reason=repr(error))
            return
        if job in self._cancelled:
            self._engine.cancel_job(job)

    async def _read_progress(self):
        """Return the `ProgressRows` in the store.

        Read before the jobs: a job and its progress are removed together, and a job
        without progress counts as new.
        """
        rows, _ = await self._read_table(PROGRESS_TABLE, CELL_PART)
        return ProgressRows(rows)

    async def _read_table(self, table, part):
        answer = await read_table(
            self._store, table, part, READ_TIMEOUT_SECONDS, READ_RETRY_SECONDS
        )
        return answer.unwrap()
