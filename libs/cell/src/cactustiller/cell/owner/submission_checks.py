"""Checks of new jobs before their owner stores them."""

from result import Ok

from cactustiller.model import ErrorCode, Outcome

from ..ports import CELL_PART, JOB_TABLE
from ..records.specs import decode_job
from ..reporting.events import Event, log_event
from .submissions import ADMIT_STEP

# Time to find out whether a job that is about to be rejected is stored already.
STORED_CHECK_SECONDS = 0.5
# Jobs that are looked up at once for want of memory: a crowd of them would use up the
# reads of the store.
MAX_MEMORY_CHECKS = 4
# Delay after which a job that finds no memory should be submitted again.
MEMORY_RETRY_AFTER_MS = 1000


class SubmissionChecks:
    """Finds the jobs that an owner rejects, or that it does not load for now.

    A job that is stored or accepted meanwhile, by another of its caller's tries, is not
    rejected.

    Parameters
    ----------
    store : RowStore
    admission : AdmissionControl
    engine : Engine
    submissions : PendingSubmissions
    is_known : callable
        Returns whether the owner has a job.
    """

    def __init__(self, store, admission, engine, submissions, is_known):
        self._store = store
        self._admission = admission
        self._engine = engine
        self._submissions = submissions
        self._is_known = is_known
        self._check_count = 0

    async def find_answer(self, job, row, is_store_unavailable):
        """Return the answer to a job that the owner does not add, else None."""
        if job in self._engine.deferred_jobs:
            return Ok(None)
        try:
            spec = decode_job(job, row)
        except (ValueError, KeyError, IndexError, TypeError):
            # The loader logs rows that cannot be read.
            return None
        if not self._engine.job_memory.admit(spec):
            return await self._answer_without_memory(spec)
        if is_store_unavailable or not self._admission.is_needed():
            return None
        rejection = self._admission.find_rejection(spec)
        if rejection is None or await self._is_stored(job) is not False:
            return None
        wait_ms, useful_ms = map(round, rejection)
        log_event(Event.JOB_NOT_ADMITTED, job=job, wait_ms=wait_ms, useful_ms=useful_ms)
        return self._submissions.make_failure(
            "the job cannot start while it has value",
            ErrorCode.OVERLOADED,
            retry_after_ms=wait_ms - useful_ms,
            step=ADMIT_STEP,
        )

    async def _answer_without_memory(self, spec):
        """Return the answer to a job for which there is no memory.

        None if the owner has it already, by another of its caller's tries.
        """
        job, is_stored = spec.job, None
        if self._check_count < MAX_MEMORY_CHECKS:
            self._check_count += 1
            try:
                is_stored = await self._is_stored(job)
            finally:
                self._check_count -= 1
        if is_stored and self._is_known(job):
            return None
        if is_stored:
            # A member has stored it, without an owner.
            self._engine.deferred_jobs[job] = spec.queue
            return Ok(None)
        outcome = Outcome.UNKNOWN if is_stored is None else Outcome.NOT_RUN
        log_event(
            Event.JOB_NOT_ADMITTED,
            job=job,
            reason="no memory for its tasks",
            job_bytes=self._engine.job_memory.used_bytes,
            certain=outcome is Outcome.NOT_RUN,
        )
        return self._submissions.make_failure(
            "no memory for the tasks of the job",
            ErrorCode.OVERLOADED,
            outcome,
            retry_after_ms=MEMORY_RETRY_AFTER_MS,
        )

    async def _is_stored(self, job):
        """Return whether a job is known or stored; None if that can't be found out."""
        answer = await self._store.read(
            JOB_TABLE, CELL_PART, job, job + "\0", STORED_CHECK_SECONDS
        )
        if self._is_known(job):
            return True
        return None if answer.is_err() else bool(answer.unwrap().rows)
