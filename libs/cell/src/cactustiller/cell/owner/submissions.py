"""Jobs and cancellations whose callers wait until a transaction stores them."""

import asyncio

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome

STORE_STEP = "store job"
# Step of failures of jobs that are not admitted.
ADMIT_STEP = "admit job"


class PendingSubmissions:
    """Unanswered submissions and cancellations of one owner.

    Parameters
    ----------
    engine : Engine
        Drops the jobs that are rejected.
    member : MemberId
        Peer to name in failures.

    Attributes
    ----------
    jobs : dict of JobId to (bytes, Future)
        Rows that are not stored yet, each with the future that its callers await.
    """

    def __init__(self, engine, member):
        self.jobs = {}
        self._engine = engine
        self._member = member
        self._cancels = {}
        self._in_flight = frozenset()

    async def wait_for_job(self, job, row):
        """Return ``Ok(None)`` once a job is stored."""
        known = self.jobs.get(job)
        if known is None or known[1].done():
            self.jobs[job] = (row, asyncio.get_running_loop().create_future())
        return await asyncio.shield(self.jobs[job][1])

    async def wait_for_cancel(self, job):
        """Return ``Ok(None)`` once a cancellation is stored."""
        future = self._cancels.get(job)
        if future is None or future.done():
            future = self._cancels[job] = asyncio.get_running_loop().create_future()
        return await asyncio.shield(future)

    def start_commit(self, jobs):
        """Return the rows of the jobs that the next transaction stores."""
        self._in_flight = frozenset(jobs)
        return [(job, self.jobs[job][0]) for job in jobs]

    def finish_commit(self):
        """Answer the callers of the transaction that was committed."""
        stored = [job for job in self._in_flight if job in self.jobs]
        self._engine.confirm_jobs(stored)
        for job in stored:
            _resolve(self.jobs.pop(job)[1], Ok(None))
        for job in list(self._cancels):
            if not self._engine.is_unstored(job):
                _resolve(self._cancels.pop(job), Ok(None))
        self._in_flight = frozenset()

    def on_store_unavailable(self, is_read_failure):
        """Reject the jobs that are in no transaction; the others may still be stored.

        If reads fail too (`is_read_failure`), the other callers are answered as well,
        with the outcome `UNKNOWN`, so that they retry instead of waiting.
        """
        self.reject([job for job in self.jobs if job not in self._in_flight])
        if not is_read_failure:
            return
        failure = self.make_failure(
            "the store does not answer", outcome=Outcome.UNKNOWN
        )
        for future in [*(f for _, f in self.jobs.values()), *self._cancels.values()]:
            _resolve(future, failure)

    def reject(self, jobs):
        """Reject and drop jobs that are guaranteed not to be stored."""
        for job in jobs:
            _, future = self.jobs.pop(job)
            self._engine.drop_job(job)
            _resolve(future, self.make_failure("the store is unavailable"))

    def end_term(self):
        """Answer all callers; a transaction in flight may still be committed."""
        self.reject([job for job in self.jobs if job not in self._in_flight])
        failure = self.make_failure(
            "the term ended", ErrorCode.NOT_OWNER, Outcome.UNKNOWN
        )
        for future in [*(f for _, f in self.jobs.values()), *self._cancels.values()]:
            _resolve(future, failure)
        self.jobs.clear()
        self._cancels.clear()

    def make_failure(
        self,
        reason,
        code=ErrorCode.UNAVAILABLE,
        outcome=Outcome.NOT_RUN,
        retry_after_ms=0,
        step=STORE_STEP,
    ):
        """Return the failure of a submission."""
        return Err(
            Failure(
                code=code,
                step=step,
                peer=self._member,
                reason=reason,
                outcome=outcome,
                retry_after_ms=retry_after_ms,
            )
        )


def _resolve(future, answer):
    """Answer the callers that await a future, unless they already have an answer."""
    if not future.done():
        future.set_result(answer)
