"""Stores an owner's batches, one transaction after another."""

import asyncio

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, JobId, Outcome

from .capacity import MAX_OWNER_SECONDS_WITHOUT_STORE
from .election import RENEW_SECONDS, OwnerRecord, decode_owner, encode_owner
from .events import Event, log_event
from .ports import (
    JOB_TABLE,
    OWNER_ROW,
    Committed,
    Conflict,
    Transaction,
    make_job_key,
    make_progress_key,
)

# Bound of one call: three answers of a store that takes sixty times its usual 10 ms.
CALL_TIMEOUT_SECONDS = 2.0
# Without an answer for so long, some ten usual ones, the owner's row is read: the
# answer may be lost, or the store slow.
MIN_PROBE_DELAY_SECONDS = 0.1
PROBE_DELAY_TRANSACTIONS = 4.0
# Bound of that read: twice what a store takes that is sixty times slower than usual.
PROBE_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.12
# Failures after which jobs are given up, where each promises that nothing was done.
MAX_NOT_RUN_FAILURES = 2
# Refusals and resets come at once, unlike lost answers.
QUICK_FAILURE_SECONDS = 0.15
MAX_QUICK_FAILURES = 2
# A store that answers reads, but no transaction for so long, counts as lost.
LOST_AFTER_SECONDS = 1.2
# Counts no failure as sure any more after one that may have taken effect.
NO_LONGER_NOT_RUN = float("-inf")
# The store takes 100 entries and 1 MB a transaction; the owner's row is two of them.
# Values grow by a third on the way.
MAX_ENTRIES = 96
MAX_BYTES = 600_000


def split_puts(groups):
    """Return the puts as dicts that each fit one transaction, at least one.

    Parameters
    ----------
    groups : list of list of (RowKey, bytes)
        Puts that share a transaction, in order of their urgency.
    """
    chunks = [{}]
    entries = size = 0
    for group in groups:
        length = sum(len(value) for _, value in group)
        if entries + len(group) > MAX_ENTRIES or size + length > MAX_BYTES:
            chunks.append({})
            entries = size = 0
        chunks[-1].update(group)
        entries += len(group)
        size += length
    return chunks


def group_puts(rows, new_jobs):
    """Return the puts of each job: its progress with its own row, if that is new.

    Parameters
    ----------
    rows : list of (JobId, bytes)
        Progress, the most urgent first.
    new_jobs : list of (JobId, bytes)
        Rows of jobs that are handed in.
    """
    groups = {job: [] for job, _ in rows}
    for job, value in new_jobs:
        groups.setdefault(job, []).append((make_job_key(job), value))
    for job, value in rows:
        groups[job].append((make_progress_key(job), value))
    return list(groups.values())


class OwnershipLostError(Exception):
    """Raised once another member owns the cell, or may own it."""


class BatchWriter:
    """Writes rows under the owner's row, which each transaction also renews.

    Parameters
    ----------
    store : RowStore
    claim : tuple of (OwnerRecord, int, int)
        Record, version and clock of the store at the claim.
    on_lost : callable
        Called when a call fails after one that succeeded; its argument tells whether
        the store answers not even reads.
    on_given_up : callable
        Called with the jobs that surely were not and will not be stored.
    on_turned_away : callable
        Called when the store refuses calls at once: it may serve other members.
    usual_seconds : float
        How long the store takes for a transaction, as far as known.

    Attributes
    ----------
    is_store_lost : bool
        Calls fail; a store that is only slow is not lost.
    usual_seconds : float
        How long the latest transaction took.
    """

    def __init__(
        self, store, claim, on_lost, on_not_stored, on_rejected, transaction_seconds=0.0
    ):
        self._store = store
        self._on_lost = on_lost
        self._on_not_stored = on_not_stored
        self._on_rejected = on_rejected
        self.record, self._version, self._store_ms = claim
        self._store_ms_at = self.succeeded_at = asyncio.get_running_loop().time()
        self.transaction_seconds = transaction_seconds
        self.is_store_lost = False

    @property
    def needs_renewal(self):
        """Whether the owner's row is due."""
        now = asyncio.get_running_loop().time()
        return now - self.succeeded_at >= RENEW_SECONDS

    async def write(self, rows, new_jobs=()):
        """Store rows, all of them before it returns.

        Parameters
        ----------
        rows : list of (JobId, bytes)
            Progress of jobs, the most urgent first.
        new_jobs : list of (JobId, bytes)
            Rows of jobs that are handed in.

        Raises
        ------
        OwnershipLostError
            If another member has taken over, or the store stays away too long.
        """
        for chunk in split_puts(group_puts(rows, new_jobs)):
            await self._write_chunk(chunk)

    async def release(self):
        """Give the cell up, so that another member takes over at once."""
        await self._write_chunk({}, is_released=True)

    async def _write_chunk(self, puts, is_released=False):
        loop = asyncio.get_running_loop()
        sequence = self.record.sequence + 1
        not_run_failures = quick_failures = 0
        while True:
            record = self._make_record(sequence, is_released)
            # A member may have stored a job's row by itself; nothing of the job has
            # started before its owner knows it, so the row is simply written again.
            transaction = Transaction(
                {OWNER_ROW: self._version}, {**puts, OWNER_ROW: encode_owner(record)}
            )
            sent_at = loop.time()
            answer = await self._transact(transaction, record)
            if answer.is_ok():
                if isinstance(answer.unwrap(), Committed):
                    self.transaction_seconds = loop.time() - sent_at
                self._accept(answer.unwrap(), record)
                return
            failure = answer.unwrap_err()
            is_not_run = failure.outcome is Outcome.NOT_RUN
            not_run_failures = not_run_failures + 1 if is_not_run else NO_LONGER_NOT_RUN
            if failure.code is ErrorCode.TIMEOUT and not is_not_run:
                quick_failures = 0
                self._on_timeout(failure)
                continue
            self._record_failure(failure)
            is_quick = loop.time() - sent_at < QUICK_FAILURE_SECONDS
            quick_failures = quick_failures + 1 if is_quick else 0
            if quick_failures == MAX_QUICK_FAILURES:
                self._on_rejected()
            if not_run_failures >= MAX_NOT_RUN_FAILURES:
                self._drop_jobs(puts)
            await asyncio.sleep(RETRY_SECONDS)

    def _make_record(self, sequence, is_released):
        since = asyncio.get_running_loop().time() - self._store_ms_at
        return OwnerRecord(
            self.record.epoch,
            self.record.member,
            self.record.address,
            sequence,
            int(self._store_ms + since * 1000),
            is_released,
        )

    async def _transact(self, transaction, record):
        """Return the reply to a transaction, or what the owner's row tells of it.

        A retry would take a slow store another turn, and a lost answer never comes:
        a read that overtakes the answer tells which of the two it is.
        """
        call = asyncio.create_task(
            self._store.transact(transaction, CALL_TIMEOUT_SECONDS)
        )
        probe = None
        try:
            probe_delay = max(
                MIN_PROBE_DELAY_SECONDS,
                PROBE_DELAY_TRANSACTIONS * self.transaction_seconds,
            )
            await asyncio.wait([call], timeout=probe_delay)
            if not call.done():
                probe = asyncio.create_task(self._probe(record, probe_delay))
                await asyncio.wait([call, probe], return_when=asyncio.FIRST_COMPLETED)
                if not call.done() and probe.result() is not None:
                    return probe.result()
            return await call
        finally:
            call.cancel()
            if probe is not None:
                probe.cancel()

    async def _probe(self, record, probe_delay):
        """Return what the owner's row tells of a transaction, None while unclear."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        key = OWNER_ROW
        answer = await self._store.read(
            key.table, key.part, key.key, key.key + "\0", PROBE_TIMEOUT_SECONDS
        )
        if answer.is_err():
            self._record_failure(answer.unwrap_err(), is_read_failure=True)
            return None
        rows = answer.unwrap().rows
        stored = decode_owner(rows[0] if rows else None)
        if stored[:2] != record[:2] or stored.sequence == record.sequence:
            return Ok(Conflict(rows))
        if loop.time() - sent_at > probe_delay:
            return None
        return Err(
            Failure(
                code=ErrorCode.TIMEOUT,
                step="transact",
                reason="the owner's row stands as before",
                outcome=Outcome.UNKNOWN,
            )
        )

    def _accept(self, reply, record):
        """Take a reply that settles the transaction.

        Raises
        ------
        OwnershipLostError
            If the owner's row is another's.
        """
        loop = asyncio.get_running_loop()
        match reply:
            case Committed(version=version, now_ms=now_ms):
                self._version, self._store_ms, self._store_ms_at = (
                    version,
                    now_ms,
                    loop.time(),
                )
            case Conflict(rows=rows):
                row = next((row for row in rows if row.key == OWNER_ROW), None)
                stored = decode_owner(row)
                if stored[:2] != record[:2]:
                    raise OwnershipLostError(f"owned by {stored.member}")
                if stored.sequence != record.sequence:
                    raise OwnershipLostError("the owner's row changed")
                # An earlier try took effect although its answer was lost.
                self._version = row.version
        self.record = record
        self.succeeded_at = loop.time()
        if self.is_store_lost:
            self.is_store_lost = False
            log_event(Event.DEPENDENCY_RECOVERED, dependency="store")

    def _drop_jobs(self, puts):
        """Take out the jobs that no try can have stored."""
        jobs = [key for key in puts if key.table == JOB_TABLE]
        for key in jobs:
            del puts[key]
            puts.pop(make_progress_key(key.key), None)
        if jobs:
            self._on_not_stored([JobId(key.key) for key in jobs])

    def _on_timeout(self, failure):
        """Take a call without an answer, which a store that is slow explains."""
        unanswered_seconds = asyncio.get_running_loop().time() - self.succeeded_at
        if unanswered_seconds > LOST_AFTER_SECONDS:
            self._record_failure(failure)

    def _record_failure(self, failure, is_read_failure=False):
        unanswered_seconds = asyncio.get_running_loop().time() - self.succeeded_at
        if not self.is_store_lost:
            self.is_store_lost = True
            self._on_lost(is_read_failure)
            log_event(
                Event.DEPENDENCY_LOST,
                dependency="store",
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
                certain=failure.outcome is Outcome.NOT_RUN,
            )
        if unanswered_seconds > MAX_OWNER_SECONDS_WITHOUT_STORE:
            raise OwnershipLostError(
                f"no answer of the store for {unanswered_seconds:.1f} s"
            )
