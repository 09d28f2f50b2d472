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
from ..records.progress_rows import join_progress_rows
from ..records.specs import decode_job
from ..records.tables import read_table
from ..reporting.events import Event, log_event

# Members forward callers' jobs to the owner; the change feed of the job table only adds
# those that a member stored itself and could not report to the owner.
FEED_PAUSE_SECONDS = 0.4
# A page has up to 1 MB, which takes 1.6 s over a link of 5 Mbit/s.
READ_TIMEOUT_SECONDS = 4.0
READ_RETRY_SECONDS = 0.1
# Deferred jobs that are read again at a time.
DEFERRED_READS = 8
DEFERRED_TIMEOUT_SECONDS = 0.5
# Rows decoded before yielding to other tasks of the loop, about 20 ms of work.
CHUNK_ROWS = 200


class JobLoader:
    """Adds the jobs in the store to an engine.

    Parameters
    ----------
    engine : Engine
    store : RowStore
    """

    def __init__(self, engine, store):
        self._engine = engine
        self._store = store
        self._cancelled = set()
        self._further_rows = {}
        self._feed_version = 0

    async def load(self):
        """Read all jobs and their progress."""
        progress = await self._read_progress()
        jobs, self._feed_version = await self._read_table(JOB_TABLE, CELL_PART)
        self._record_cancels(jobs)
        # Jobs with progress may run on workers, so they are never deferred.
        jobs = sorted(jobs, key=lambda row: row.key.key not in progress)
        for first in range(0, len(jobs), CHUNK_ROWS):
            self._add_job_rows(jobs[first : first + CHUNK_ROWS], progress)
            # Lets the owner renew its lease between chunks.
            await asyncio.sleep(0)

    async def follow(self, wake):
        """Add jobs and cancellations from the change feed; call `wake` if any came."""
        while True:
            await asyncio.sleep(FEED_PAUSE_SECONDS)
            if await self._load_deferred():
                wake()
            answer = await self._store.follow(JOB_TABLE, self._feed_version, 0.0)
            progress = {}
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
                self._add_job_rows(new_rows, progress)
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
            self._add_job_rows(answer.unwrap().rows, {})
            if job in engine.deferred_jobs:
                break
        return len(engine.deferred_jobs) < before

    def _record_cancels(self, rows):
        for row in rows:
            job, is_cancel = split_job_key(row.key.key)
            if is_cancel and row.value is not None:
                self._cancelled.add(job)

    def _add_job_rows(self, rows, progress):
        self._record_cancels(rows)
        for row in rows:
            job, is_cancel = split_job_key(row.key.key)
            if not is_cancel and row.value is not None:
                self.add_job(job, row.value, progress.get(job))
        for job in self._cancelled:
            self._engine.cancel_job(job)

    def add_job(self, job, row, progress=None, is_stored=True):
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
                engine.jobs[job].further_rows = self._further_rows.get(job, 0)
                engine.job_memory.count(engine.jobs[job])
        except (ValueError, KeyError, IndexError, TypeError) as error:
            log_event(Event.ENTRY_UNREADABLE, what="job", job=job, reason=repr(error))
            return
        if job in self._cancelled:
            self._engine.cancel_job(job)

    async def _read_progress(self):
        """Return the encoded progress by job.

        Read before the jobs: a job and its progress are removed together, and a job
        without progress counts as new.
        """
        rows, _ = await self._read_table(PROGRESS_TABLE, CELL_PART)
        progress, self._further_rows = join_progress_rows(rows)
        return progress

    async def _read_table(self, table, part):
        answer = await read_table(
            self._store, table, part, READ_TIMEOUT_SECONDS, READ_RETRY_SECONDS
        )
        return answer.unwrap()
