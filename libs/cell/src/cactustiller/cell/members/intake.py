"""Callers' requests, which any member of a cell serves.

A member forwards them to the owner. If the owner does not answer, the member stores
new jobs and cancellations itself.
"""

import asyncio
from typing import NamedTuple

from cactustiller.model import ErrorCode, Outcome
from cactustiller.model.messages import HandInJob, WithdrawJob

from ..decisions.store_outage import TAKEOVER_SECONDS, RejectReason, choose_retry_after
from ..owner.submissions import ADMIT_STEP
from ..ports import CANCEL_SUFFIX, make_cancel_key, make_job_key
from ..records.specs import encode_job
from ..reporting.events import Event, log_event
from ..reporting.loop_work import LoopWork, track_loop_work
from ..reporting.metrics import Count
from .insertion import Acceptance, Inserter
from .lookups import STORE_CALL_TIMEOUT_SECONDS, JobLookups
from .outage_queue import REPLY_WITHIN_SECONDS, OutageQueue, Release, make_caller
from .owner_calls import OwnerCaller

# Time in which this member tries to store a job itself.
INSERT_TIMEOUT_SECONDS = 1.5
# If reads take longer, only the owner writes to the store, since it writes in batches.
SLOW_STORE_READ_SECONDS = 0.05


JOB_EVENTS = {
    Acceptance.ACCEPTED: Event.JOB_ACCEPTED,
    Acceptance.REFUSED: Event.JOB_REFUSED,
    Acceptance.INVALID: Event.JOB_REFUSED,
    Acceptance.UNKNOWN: Event.JOB_REFUSED,
}


class SubmitAnswer(NamedTuple):
    """Answer to a submission; `retry_after` in seconds, 0 if it was accepted."""

    outcome: Acceptance
    retry_after: int = 0


class _Attempt(NamedTuple):
    """Result of one attempt to store a job, by the owner or by this member."""

    outcome: Acceptance
    path: str
    reason: RejectReason | None = None
    expected_seconds: float = 0.0


class Intake:
    """Accepts and cancels jobs and looks up their states.

    Parameters
    ----------
    store : RowStore
    peers : PeerClient
    find_owner : callable
        Returns the `Owner` if this member owns the cell or else None, the address of
        the owning member, empty if unknown, and its epoch.
    election : Election
        Reports whether the store answers this member.
    generator : random.Random
        Source of jitter.
    metrics : Metrics
    max_row_bytes : int
        Largest row that the store takes; a larger one would fail a whole transaction.
    """

    def __init__(
        self, store, peers, find_owner, election, generator, metrics, max_row_bytes
    ):
        self._find_owner = find_owner
        self._inserter = Inserter(store, generator)
        self._lookups = JobLookups(store, peers, find_owner)
        self.find_state = self._lookups.find_state
        self.count_pending = self._lookups.count_pending
        self.answer_state = self._lookups.answer_state
        self.answer_pending = self._lookups.answer_pending
        self._election = election
        self._random = generator
        self._metrics = metrics
        self._max_row_bytes = max_row_bytes
        self._outage_queue = OutageQueue(
            self._is_store_available, election.probe_store, metrics
        )
        self._owner_caller = OwnerCaller(peers, find_owner, election)
        self.mark_announced = self._owner_caller.mark_announced

    @property
    def waiting_count(self):
        """Number of callers that wait for the store to answer again."""
        return len(self._outage_queue)

    async def accept(self, spec, caller=None):
        """Store a job; `REFUSED` guarantees that it never runs.

        The owner stores jobs in batches with its other writes, which sustains a higher
        rate on a slow store. If no owner answers, this member stores the job itself.
        While the store is unavailable, `store_outage.decide` says who waits for it.

        Parameters
        ----------
        spec : JobSpec
        caller : Caller or None
            None for a caller that arrived now.

        Returns
        -------
        SubmitAnswer
        """
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        caller = caller or make_caller(received_at)
        with track_loop_work(self._metrics, LoopWork.ENCODE_JOB, job=spec.job):
            row = encode_job(spec)
        if len(row) > self._max_row_bytes:
            return self._reject_row(spec, len(row))
        message = HandInJob(job=spec.job, row=row.decode())
        attempt = await self._store_job(
            message, row, received_at + REPLY_WITHIN_SECONDS
        )
        if attempt.reason is RejectReason.STORE_FAILED:
            attempt = await self._wait_for_store(message, row, caller, attempt)
        retry_after, fields = 0, {}
        if attempt.outcome is not Acceptance.ACCEPTED:
            retry_after, fields = self._explain_rejection(attempt, caller)
        log_event(
            JOB_EVENTS[attempt.outcome],
            job=spec.job,
            queue=spec.queue,
            team=spec.team,
            outcome=attempt.outcome.value,
            path=attempt.path,
            epoch=self._find_owner()[2],
            seconds=round(loop.time() - received_at, 3),
            **fields,
        )
        return SubmitAnswer(attempt.outcome, retry_after)

    def _reject_row(self, spec, size):
        """Reject a job whose row the store would not take."""
        reason = RejectReason.ROW_TOO_LARGE.value
        self._metrics.count(Count.REJECTIONS, reason)
        log_event(
            Event.JOB_REFUSED,
            job=spec.job,
            queue=spec.queue,
            team=spec.team,
            reason=reason,
            row_bytes=size,
        )
        return SubmitAnswer(Acceptance.INVALID)

    async def _wait_for_store(self, message, row, caller, attempt):
        """Repeat a failed attempt as long as the caller may wait; return the last."""
        while attempt.reason is RejectReason.STORE_FAILED:
            age = self._find_outage_seconds()
            if age is None:
                break
            result = await self._outage_queue.wait(
                message.job, len(row), caller, age, self._is_isolated()
            )
            if result is not Release.TRY_AGAIN:
                return attempt._replace(reason=result)
            is_unknown = attempt.outcome is Acceptance.UNKNOWN
            attempt = await self._store_job(
                message, row, caller.answer_by, is_unknown, is_retry=True
            )
        if attempt.outcome is Acceptance.ACCEPTED:
            self._outage_queue.release_all()
        return attempt

    def _explain_rejection(self, attempt, caller):
        """Count a rejection; return its Retry-After and the fields to log."""
        outage_seconds = self._find_outage_seconds() or 0.0
        remaining = caller.answer_by - asyncio.get_running_loop().time()
        retry_after = choose_retry_after(
            max(attempt.expected_seconds, outage_seconds),
            remaining if caller.is_time_known else None,
            self._random.random(),
        )
        self._metrics.count(Count.REJECTIONS, attempt.reason.value)
        return retry_after, {
            "reason": attempt.reason.value,
            "retry_after": retry_after,
            "outage_seconds": round(outage_seconds, 3),
            "time_left": round(remaining, 3),
            "waiting": self.waiting_count,
        }

    async def _store_job(
        self, message, row, answer_by, may_be_stored=False, is_retry=False
    ):
        """Store a job once, by the owner or else by this member.

        Parameters
        ----------
        message : HandInJob
        row : bytes
        answer_by : float
            Loop time by which the caller has to be answered.
        may_be_stored : bool
            Whether an earlier attempt may still take effect.
        is_retry : bool
            Whether the caller has waited; the call to the owner then ends in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(answer_by if is_retry else None):
                answer = await self._owner_caller.forward(message)
        except TimeoutError:
            return _Attempt(Acceptance.UNKNOWN, "owner", RejectReason.STORE_FAILED)
        outcome = _decode_acceptance(answer)
        if outcome is Acceptance.ACCEPTED:
            return _Attempt(outcome, "owner")
        if may_be_stored:
            outcome = Acceptance.UNKNOWN
        if _is_overloaded(answer):
            failure = answer.unwrap_err()
            is_admitted = failure.step != ADMIT_STEP
            return _Attempt(
                outcome,
                "owner",
                RejectReason.OVERLOADED if is_admitted else RejectReason.CANNOT_START,
                failure.retry_after_ms / 1000,
            )
        deadline = min(loop.time() + INSERT_TIMEOUT_SECONDS, answer_by)
        is_unknown = outcome is Acceptance.UNKNOWN
        outcome = await self._insert(
            make_job_key(message.job), row, deadline, is_unknown
        )
        self._owner_caller.notify_later(message, outcome)
        if outcome is Acceptance.ACCEPTED:
            return _Attempt(outcome, "store")
        is_available = self._election.unavailable_since is None
        if is_available and self._election.read_seconds > SLOW_STORE_READ_SECONDS:
            # Only an owner stores jobs in a slow store.
            return _Attempt(outcome, "store", RejectReason.STORE_SLOW, TAKEOVER_SECONDS)
        return _Attempt(outcome, "store", RejectReason.STORE_FAILED)

    def _find_outage_seconds(self):
        """Return how long the store has been unavailable to this member, or None."""
        began = [
            at
            for at in (self._election.unavailable_since, self._inserter.failing_since)
            if at is not None
        ]
        return asyncio.get_running_loop().time() - min(began) if began else None

    def _is_store_available(self):
        return self._find_outage_seconds() is None

    def _is_isolated(self):
        """Return whether neither the store nor the owner can be heard."""
        owner, _, _ = self._find_owner()
        return owner is None and self._owner_caller.is_owner_silent()

    async def cancel(self, job):
        """Cancel a job; `ACCEPTED` means that the cancellation is stored."""
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        message = WithdrawJob(job=job)
        outcome = _decode_acceptance(await self._owner_caller.forward(message))
        if outcome is not Acceptance.ACCEPTED:
            may_be_stored = outcome is Acceptance.UNKNOWN
            deadline = received_at + REPLY_WITHIN_SECONDS
            outcome = await self._store_cancel(job, deadline, may_be_stored)
            self._owner_caller.notify_later(message, outcome)
        log_event(
            Event.JOB_CANCELLED,
            job=job,
            outcome=outcome.value,
            seconds=round(loop.time() - received_at, 3),
        )
        return outcome

    async def _store_cancel(self, job, deadline, may_be_stored):
        remaining = deadline - asyncio.get_running_loop().time()
        rows = await self._lookups.read_job_rows(
            job, min(STORE_CALL_TIMEOUT_SECONDS, remaining)
        )
        if rows is None:
            return Acceptance.UNKNOWN if may_be_stored else Acceptance.REFUSED
        if not rows:
            return Acceptance.NOT_FOUND
        if any(row.key.key.endswith(CANCEL_SUFFIX) for row in rows):
            return Acceptance.ACCEPTED
        return await self._insert(make_cancel_key(job), b"1", deadline, may_be_stored)

    async def _insert(self, key, value, deadline, may_be_stored=False):
        """Store a row without the owner, unless the store is slow or unavailable.

        On a slow store, transactions of every member would exceed the callers' timeout
        and delay the owner's. Callers are refused immediately and retry later.
        """
        try:
            async with asyncio.timeout_at(deadline):
                is_store_available = await self._election.check_store()
        except TimeoutError:
            is_store_available = False
        if (
            not is_store_available
            or self._election.read_seconds > SLOW_STORE_READ_SECONDS
        ):
            return Acceptance.UNKNOWN if may_be_stored else Acceptance.REFUSED
        return await self._inserter.insert(key, value, deadline, may_be_stored)


def _decode_acceptance(answer):
    """Return the `Acceptance` in an owner's answer.

    `REFUSED` guarantees that the owner stored nothing and will not do so later.
    """
    if answer.is_ok():
        return Acceptance.ACCEPTED
    is_not_run = answer.unwrap_err().outcome is Outcome.NOT_RUN
    return Acceptance.REFUSED if is_not_run else Acceptance.UNKNOWN


def _is_overloaded(answer):
    """Return whether the owner is overloaded; storing a job here would not help."""
    return answer.is_err() and answer.unwrap_err().code is ErrorCode.OVERLOADED
