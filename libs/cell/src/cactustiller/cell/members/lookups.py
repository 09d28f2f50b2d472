"""Queries for the states of jobs, which any member of a cell answers."""

import asyncio
from typing import NamedTuple

from cactustiller.model import JobState
from cactustiller.model.messages import (
    CountPending,
    FindJobState,
    JobStateFound,
    PendingCounted,
)

from ..ports import CANCEL_SUFFIX, CELL_PART, JOB_TABLE, PROGRESS_TABLE, split_job_key
from ..records.progress import decode_state

# States that are read from the store at once. Callers can ask for any number of unknown
# jobs, and the connections to the store are those by which the owner renews its lease.
MAX_STATE_READS = 8
# A longer call to the store would leave no time for a second try.
STORE_CALL_TIMEOUT_SECONDS = 0.9
OWNER_CALL_TIMEOUT_SECONDS = 0.4


class Lookup(NamedTuple):
    """Result of a query.

    `is_known` is False if the query failed, `value` is None if nothing was found.
    """

    is_known: bool
    value: object = None


class JobLookups:
    """Looks up the states of jobs, at the owner or else in the store.

    Parameters
    ----------
    store : RowStore
    peers : PeerClient
    find_owner : callable
        Returns the `Owner` if this member owns the cell or else None, the address of
        the owning member, empty if unknown, and its epoch.
    """

    def __init__(self, store, peers, find_owner):
        self._store = store
        self._reads = asyncio.Semaphore(MAX_STATE_READS)
        self._peers = peers
        self._find_owner = find_owner

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

    async def read_job_rows(self, job, seconds=STORE_CALL_TIMEOUT_SECONDS):
        """Return the row of a job and of its cancellation; None if the read failed."""
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
        """Read a state from the store once few enough others are being read."""
        try:
            async with asyncio.timeout(STORE_CALL_TIMEOUT_SECONDS):
                await self._reads.acquire()
        except TimeoutError:
            return Lookup(False)
        try:
            return await self._read_state_from_store(job)
        finally:
            self._reads.release()

    async def _read_state_from_store(self, job):
        answer = await self._store.read(
            PROGRESS_TABLE, CELL_PART, job, job + "\0", STORE_CALL_TIMEOUT_SECONDS
        )
        if answer.is_err():
            return Lookup(False)
        if answer.unwrap().rows:
            return Lookup(True, decode_state(answer.unwrap().rows[0].value))
        rows = await self.read_job_rows(job)
        if rows is None:
            return Lookup(False)
        if not rows:
            return Lookup(True)
        is_cancelled = any(row.key.key.endswith(CANCEL_SUFFIX) for row in rows)
        return Lookup(True, JobState.CANCELLED if is_cancelled else JobState.WAITING)
