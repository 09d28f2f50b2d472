"""Callers' requests, which any member of a cell serves.

A member forwards them to the owner. If the owner does not answer, the member stores
new jobs and cancellations itself.
"""

import asyncio
from typing import NamedTuple

from cactustiller.model import ErrorCode, JobState, Outcome
from cactustiller.model.messages import (
    CountPending,
    FindJobState,
    HandInJob,
    JobStateFound,
    PendingCounted,
    WithdrawJob,
)

from .events import Event, log_event
from .insertion import Acceptance, Inserter
from .owner_calls import OwnerCaller
from .ports import (
    CANCEL_SUFFIX,
    CELL_PART,
    JOB_TABLE,
    PROGRESS_TABLE,
    make_cancel_key,
    make_job_key,
    split_job_key,
)
from .progress import decode_state
from .specs import encode_job

# A longer call to the store would leave no time for a second try.
STORE_CALL_TIMEOUT_SECONDS = 0.9
# Time in which this member tries to store a job itself.
INSERT_TIMEOUT_SECONDS = 1.5
# If reads take longer, only the owner writes to the store, since it writes in batches.
SLOW_STORE_READ_SECONDS = 0.05
# Callers time out after 3 s, so the answer has to be sent earlier.
REPLY_WITHIN_SECONDS = 2.8
OWNER_CALL_TIMEOUT_SECONDS = 0.4
# Time for the store to recover or another member to take over. The callers' timeout of
# 3 s starts with their first request, so a longer delay would cost them a retry.
RETRY_AFTER_SECONDS = 1


JOB_EVENTS = {
    Acceptance.ACCEPTED: Event.JOB_ACCEPTED,
    Acceptance.REFUSED: Event.JOB_REFUSED,
    Acceptance.UNKNOWN: Event.JOB_REFUSED,
}


class Lookup(NamedTuple):
    """Result of a query.

    `is_known` is False if the query failed, `value` is None if nothing was found.
    """

    is_known: bool
    value: object = None


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
        self._store = store
        self._peers = peers
        self._find_owner = find_owner
        self._inserter = Inserter(store, generator)
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
        rows = await self._read_job_rows(
            job, min(STORE_CALL_TIMEOUT_SECONDS, remaining)
        )
        if rows is None:
            return Acceptance.UNKNOWN if may_be_stored else Acceptance.REFUSED
        if not rows:
            return Acceptance.NOT_FOUND
        if any(row.key.key.endswith(CANCEL_SUFFIX) for row in rows):
            return Acceptance.ACCEPTED
        return await self._insert(make_cancel_key(job), b"1", deadline, may_be_stored)

    async def find_state(self, queue, job):
        """Return a `Lookup` of the job's `JobState`."""
        owner, address, _ = self._find_owner()
        if owner is not None:
            state = owner.engine.published_states.get(job)
            if state is not None:
                return Lookup(True, state)
        elif address:
            answer = await self._peers.call(
                address, FindJobState(queue=queue, job=job), OWNER_CALL_TIMEOUT_SECONDS
            )
            if answer.is_ok() and answer.unwrap().state:
                return Lookup(True, JobState(answer.unwrap().state))
        return await self._read_state(job)

    async def count_pending(self, queue):
        """Return a `Lookup` of the number of a queue's jobs that have not started."""
        owner, address, _ = self._find_owner()
        if owner is not None:
            return Lookup(True, owner.engine.count_pending(queue))
        if address:
            answer = await self._peers.call(
                address, CountPending(queue=queue), OWNER_CALL_TIMEOUT_SECONDS
            )
            if answer.is_ok():
                return Lookup(True, answer.unwrap().count)
        return Lookup(False)

    def answer_state(self, message):
        """Answer another member's `FindJobState`."""
        owner, _, _ = self._find_owner()
        state = owner.engine.published_states.get(message.job) if owner else None
        return JobStateFound(state=state.value if state else "")

    def answer_pending(self, message):
        """Answer another member's `CountPending`; None if not the owner."""
        owner, _, _ = self._find_owner()
        if owner is None:
            return None
        return PendingCounted(count=owner.engine.count_pending(message.queue))

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

    async def _read_job_rows(self, job, seconds=STORE_CALL_TIMEOUT_SECONDS):
        # The range covers the job's row and the row that marks its cancellation.
        answer = await self._store.read(
            JOB_TABLE, CELL_PART, job, job + CANCEL_SUFFIX + "\0", seconds
        )
        if answer.is_err():
            return None
        return [
            row for row in answer.unwrap().rows if split_job_key(row.key.key)[0] == job
        ]

    async def _read_state(self, job):
        answer = await self._store.read(
            PROGRESS_TABLE, CELL_PART, job, job + "\0", STORE_CALL_TIMEOUT_SECONDS
        )
        if answer.is_err():
            return Lookup(False)
        if answer.unwrap().rows:
            return Lookup(True, decode_state(answer.unwrap().rows[0].value))
        rows = await self._read_job_rows(job)
        if rows is None:
            return Lookup(False)
        if not rows:
            return Lookup(True)
        is_cancelled = any(row.key.key.endswith(CANCEL_SUFFIX) for row in rows)
        return Lookup(True, JobState.CANCELLED if is_cancelled else JobState.WAITING)


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
