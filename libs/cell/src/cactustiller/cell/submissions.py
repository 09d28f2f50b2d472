"""Jobs and cancellings that wait for the transaction that holds them."""

import asyncio

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome


class PendingSubmissions:
    """Callers of one owner who wait for the store.

    Parameters
    ----------
    engine : Engine
        Forgets the jobs that are refused.
    member : MemberId
        Named in failures.

    Attributes
    ----------
    jobs : dict of JobId to (bytes, Future)
        Rows to be stored.
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
        """Return ``Ok(None)`` once a cancelling is stored."""
        future = self._cancels.get(job)
        if future is None or future.done():
            future = self._cancels[job] = asyncio.get_running_loop().create_future()
        return await asyncio.shield(future)

    def start_commit(self, jobs):
        """Return the rows of jobs that go into the next transaction."""
        self._in_flight = frozenset(jobs)
        return [(job, self.jobs[job][0]) for job in jobs]

    def finish_commit(self):
        """Answer the callers whose transaction took effect."""
        stored = [job for job in self._in_flight if job in self.jobs]
        self._engine.confirm_jobs(stored)
        for job in stored:
            _resolve(self.jobs.pop(job)[1], Ok(None))
        for job in list(self._cancels):
            if not self._engine.is_unstored(job):
                _resolve(self._cancels.pop(job), Ok(None))
        self._in_flight = frozenset()

    def on_store_lost(self, is_silent):
        """Refuse the jobs that no transaction holds; the others may be stored yet.

        Callers of the others, and those who cancel, are told so at once where the store
        is silent, and ask again after a while.
        """
        self.reject([job for job in self.jobs if job not in self._in_flight])
        if not is_silent:
            return
        failure = self.make_failure("no answer of the store", outcome=Outcome.UNKNOWN)
        for future in [*(f for _, f in self.jobs.values()), *self._cancels.values()]:
            _resolve(future, failure)

    def reject(self, jobs):
        """Refuse jobs that surely are not stored, and forget them."""
        for job in jobs:
            _, future = self.jobs.pop(job)
            self._engine.drop_job(job)
            _resolve(future, self.make_failure("the store is away"))

    def end_term(self):
        """Answer all callers; what is on its way may still be stored."""
        self.reject([job for job in self.jobs if job not in self._in_flight])
        failure = self.make_failure(
            "the term ended", ErrorCode.NOT_OWNER, Outcome.UNKNOWN
        )
        for future in [*(f for _, f in self.jobs.values()), *self._cancels.values()]:
            _resolve(future, failure)
        self.jobs.clear()
        self._cancels.clear()

    def make_failure(self, reason, code=ErrorCode.UNAVAILABLE, outcome=Outcome.NOT_RUN):
        """Return the failure of a hand-in."""
        return Err(
            Failure(
                code=code,
                step="store job",
                peer=self._member,
                reason=reason,
                outcome=outcome,
            )
        )


def _resolve(future, answer):
    """Answer a caller who was not answered before."""
    if not future.done():
        future.set_result(answer)
