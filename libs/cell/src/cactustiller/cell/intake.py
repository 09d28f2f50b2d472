"""Callers' requests, which any member of a cell serves.

A member forwards them to the owner. If the owner does not answer, the member stores
new jobs and cancellations itself.
"""

import asyncio

from cactustiller.model import ErrorCode, Outcome
from cactustiller.model.messages import HandInJob, WithdrawJob

from .events import Event, log_event
from .insertion import Acceptance, Inserter
from .lookups import STORE_CALL_TIMEOUT_SECONDS, JobLookups
from .owner_calls import OwnerCaller
from .ports import CANCEL_SUFFIX, make_cancel_key, make_job_key
from .specs import encode_job

# Time in which this member tries to store a job itself.
INSERT_TIMEOUT_SECONDS = 1.5
# If reads take longer, only the owner writes to the store, since it writes in batches.
SLOW_STORE_READ_SECONDS = 0.05
# Callers time out after 3 s, so the answer has to be sent earlier.
REPLY_WITHIN_SECONDS = 2.8
# Time for the store to recover or another member to take over. The callers' timeout of
# 3 s starts with their first request, so a longer delay would cost them a retry.
RETRY_AFTER_SECONDS = 1


JOB_EVENTS = {
    Acceptance.ACCEPTED: Event.JOB_ACCEPTED,
    Acceptance.REFUSED: Event.JOB_REFUSED,
    Acceptance.UNKNOWN: Event.JOB_REFUSED,
}


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
    """

    def __init__(self, store, peers, find_owner, election, generator):
        self._find_owner = find_owner
        self._inserter = Inserter(store, generator)
        self._lookups = JobLookups(store, peers, find_owner)
        self.find_state = self._lookups.find_state
        self.count_pending = self._lookups.count_pending
        self.answer_state = self._lookups.answer_state
        self.answer_pending = self._lookups.answer_pending
        self._election = election
        self._owner_caller = OwnerCaller(peers, find_owner, election)
        self.mark_announced = self._owner_caller.mark_announced

    async def accept(self, spec):
        """Store a job; `REFUSED` guarantees that it never runs.

        The owner stores jobs in batches with its other writes, which sustains a higher
        rate on a slow store. If no owner answers, this member stores the job itself.
        """
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        row = encode_job(spec)
        message = HandInJob(job=spec.job, row=row.decode())
        answer = await self._owner_caller.forward(message)
        outcome = _decode_acceptance(answer)
        path = "owner"
        if outcome is not Acceptance.ACCEPTED and not _is_overloaded(answer):
            path = "store"
            key = make_job_key(spec.job)
            may_be_stored = outcome is Acceptance.UNKNOWN
            deadline = min(
                loop.time() + INSERT_TIMEOUT_SECONDS, received_at + REPLY_WITHIN_SECONDS
            )
            outcome = await self._insert(key, row, deadline, may_be_stored)
            self._owner_caller.notify_later(message, outcome)
        log_event(
            JOB_EVENTS[outcome],
            job=spec.job,
            queue=spec.queue,
            team=spec.team,
            outcome=outcome.value,
            path=path,
            epoch=self._find_owner()[2],
            seconds=round(loop.time() - received_at, 3),
        )
        return outcome

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
