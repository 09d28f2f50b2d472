"""What callers ask of a cell, at whichever member they reach."""

import asyncio
from enum import Enum
from typing import NamedTuple

from cactustiller.model import JobState, Outcome
from cactustiller.model.messages import (
    CountPending,
    FindJobState,
    JobStateFound,
    OfferJob,
    PendingCounted,
)
from cactustiller.ports.breaker import Breaker

from .events import Event, log_event
from .ports import (
    CANCEL_SUFFIX,
    CELL_PART,
    JOB_PART,
    JOB_TABLE,
    PROGRESS_TABLE,
    Committed,
    Transaction,
    make_cancel_key,
    make_job_key,
    split_job_key,
)
from .runs import decode_state
from .specs import encode_job

# A call to the store that takes longer leaves no time for another try.
STORE_CALL_SECONDS = 0.9
# Bound of all tries: half of what callers wait.
STORE_SECONDS = 1.5
STORE_RETRY_SECONDS = 0.06
NOT_RUN_TRIES = 2
OWNER_CALL_SECONDS = 0.4
# Offers are tried through a takeover, which takes about 3 s.
OFFER_TRIES = 12
OFFER_RETRY_SECONDS = 0.25
# Back when the store has had time to return, or another owner to take over.
RETRY_AFTER_SECONDS = 1


class Acceptance(Enum):
    """What became of a submission or a cancelling."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_FOUND = "notFound"


class Lookup(NamedTuple):
    """Answer to a question: `value` is None where nothing is there."""

    is_known: bool
    value: object = None


class Intake:
    """Accepts, cancels and shows jobs.

    Parameters
    ----------
    store : RowStore
    peers : PeerClient
    find_owner : callable
        Returns the `Owner` of this member or None, and the address of the owning
        member, empty if unknown.
    """

    def __init__(self, store, peers, find_owner, generator):
        self._store = store
        self._peers = peers
        self._find_owner = find_owner
        self._breaker = Breaker(generator)
        self._tasks = set()

    async def accept(self, spec):
        """Store a job; `REFUSED` promises that it never runs."""
        row = encode_job(spec)
        key = make_job_key(spec.job)
        outcome = await self._insert(Transaction({key: 0}, {key: row}))
        if outcome is Acceptance.ACCEPTED:
            self._offer(spec.job, row)
            log_event(
                Event.JOB_ACCEPTED, job=spec.job, queue=spec.queue, team=spec.team
            )
        else:
            log_event(
                Event.JOB_REFUSED, job=spec.job, queue=spec.queue, outcome=outcome.value
            )
        return outcome

    async def cancel(self, job):
        """Store that a job is cancelled."""
        rows = await self._read_job_rows(job)
        if rows is None:
            return Acceptance.REFUSED
        if not rows:
            return Acceptance.NOT_FOUND
        outcome = Acceptance.ACCEPTED
        if not any(row.key.key.endswith(CANCEL_SUFFIX) for row in rows):
            key = make_cancel_key(job)
            outcome = await self._insert(Transaction({key: 0}, {key: b"1"}))
        if outcome is Acceptance.ACCEPTED:
            self._offer(job, b"")
        log_event(Event.JOB_CANCELLED, job=job, outcome=outcome.value)
        return outcome

    async def find_state(self, queue, job):
        """Return a `Lookup` of the job's `JobState`."""
        owner, address = self._find_owner()
        if owner is not None:
            state = owner.engine.shown.get(job)
            if state is not None:
                return Lookup(True, state)
        elif address:
            answer = await self._peers.call(
                address, FindJobState(queue=queue, job=job), OWNER_CALL_SECONDS
            )
            if answer.is_ok() and answer.unwrap().state:
                return Lookup(True, JobState(answer.unwrap().state))
        return await self._read_state(job)

    async def count_pending(self, queue):
        """Return a `Lookup` of the number of jobs that have not started."""
        owner, address = self._find_owner()
        if owner is not None:
            return Lookup(True, owner.engine.count_pending(queue))
        if address:
            answer = await self._peers.call(
                address, CountPending(queue=queue), OWNER_CALL_SECONDS
            )
            if answer.is_ok():
                return Lookup(True, answer.unwrap().count)
        return Lookup(False)

    def answer_state(self, message):
        """Answer another member's `FindJobState`."""
        owner, _ = self._find_owner()
        state = owner.engine.shown.get(message.job) if owner else None
        return JobStateFound(state=state.value if state else "")

    def answer_pending(self, message):
        """Answer another member's `CountPending`; None where this is no owner."""
        owner, _ = self._find_owner()
        if owner is None:
            return None
        return PendingCounted(count=owner.engine.count_pending(message.queue))

    async def _insert(self, transaction):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STORE_SECONDS
        may_have_run = False
        tries = 0
        while loop.time() < deadline:
            if not self._breaker.allows() and not may_have_run:
                return Acceptance.REFUSED
            tries += 1
            seconds = min(STORE_CALL_SECONDS, deadline - loop.time())
            answer = await self._store.transact(transaction, seconds)
            self._breaker.record(answer.is_ok())
            if answer.is_ok():
                return self._read_reply(answer.unwrap(), transaction)
            may_have_run |= answer.unwrap_err().outcome is not Outcome.NOT_RUN
            if not may_have_run and tries >= NOT_RUN_TRIES:
                return Acceptance.REFUSED
            await asyncio.sleep(STORE_RETRY_SECONDS)
        return Acceptance.UNKNOWN if may_have_run else Acceptance.REFUSED

    def _read_reply(self, reply, transaction):
        if isinstance(reply, Committed):
            return Acceptance.ACCEPTED
        # The row is there already: the same job, handed in before.
        (key,) = transaction.expected
        is_there = any(row.key == key and row.value is not None for row in reply.rows)
        return Acceptance.ACCEPTED if is_there else Acceptance.UNKNOWN

    async def _read_job_rows(self, job):
        answer = await self._store.read(
            JOB_TABLE, JOB_PART, job, job + CANCEL_SUFFIX + "\0", STORE_CALL_SECONDS
        )
        if answer.is_err():
            return None
        return [
            row for row in answer.unwrap().rows if split_job_key(row.key.key)[0] == job
        ]

    async def _read_state(self, job):
        answer = await self._store.read(
            PROGRESS_TABLE, CELL_PART, job, job + "\0", STORE_CALL_SECONDS
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

    def _offer(self, job, row):
        """Tell the owner; where that fails for long, its feed brings the row."""
        owner, _ = self._find_owner()
        if owner is not None:
            owner.offer_job(job, row)
            return
        task = asyncio.create_task(self._offer_to_owner(job, row))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _offer_to_owner(self, job, row):
        for _ in range(OFFER_TRIES):
            owner, address = self._find_owner()
            if owner is not None:
                owner.offer_job(job, row)
                return
            if address:
                message = OfferJob(job=job, row=row.decode())
                answer = await self._peers.call(address, message, OWNER_CALL_SECONDS)
                if answer.is_ok():
                    return
            await asyncio.sleep(OFFER_RETRY_SECONDS)
