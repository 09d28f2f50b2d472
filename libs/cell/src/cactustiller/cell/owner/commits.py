"""Stores an owner's batches in sequential transactions that also renew its lease."""

import asyncio

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome

from ..ports import OWNER_ROW, Committed, Conflict, Transaction
from ..records.claims import OwnerRecord, decode_owner, encode_owner
from ..records.leases import LeaseEstimate
from ..reporting.events import Event, log_event
from .capacity import MAX_OWNER_SECONDS_WITHOUT_STORE
from .election import RENEW_SECONDS
from .row_groups import split_groups

# About three times the latency of a store that is sixty times slower than its usual
# 10 ms.
CALL_TIMEOUT_SECONDS = 2.0
# After about ten usual latencies without an answer, the owner's row is read to find
# out whether the answer was lost or the store is slow.
MIN_PROBE_DELAY_SECONDS = 0.1
# The same delay for a slow store, in durations of its latest transaction.
PROBE_DELAY_TRANSACTIONS = 4.0
# About twice the read latency of a store that is sixty times slower than usual.
PROBE_TIMEOUT_SECONDS = 0.5
RETRY_SECONDS = 0.12
# Failures, each guaranteeing that nothing was stored, after which the new jobs of a
# transaction are refused.
MAX_NOT_RUN_FAILURES = 2
# Refused and reset connections fail faster than this, lost answers do not. After this
# many quick failures in succession, another member is asked to take over.
QUICK_FAILURE_SECONDS = 0.15
MAX_QUICK_FAILURES = 2
# A store that answers reads but no transaction for this long counts as unavailable.
UNAVAILABLE_AFTER_SECONDS = 1.2
# Value of the counter of such failures once an attempt may have taken effect; further
# failures then never reach the limit, so that its jobs are not refused.
POSSIBLY_STORED = float("-inf")


class OwnershipLostError(Exception):
    """Raised when another member owns the cell or may own it."""


class BatchWriter:
    """Writes rows on condition that the owner's row is unchanged.

    Each transaction also rewrites the owner's row, which renews the lease.

    Parameters
    ----------
    store : RowStore
    claim : tuple of (OwnerRecord, int, int)
        Owner's record, version of its row and time of the store in milliseconds.
    on_unavailable : callable
        Called when the store becomes unavailable; its argument is whether reads fail
        as well.
    on_not_stored : callable
        Called with the jobs that are guaranteed not to be stored, now or later.
    on_rejected : callable
        Called when calls to the store repeatedly fail without delay; the fault may
        affect only this member.
    transaction_seconds : float
        Expected duration of a transaction; 0 if unknown.

    Attributes
    ----------
    is_store_unavailable : bool
        Whether calls fail; a store that is merely slow is not unavailable.
    transaction_seconds : float
        Duration of the latest transaction.
    is_serving : bool
        Whether the owner's row says that the owner answers calls.
    """

    def __init__(
        self,
        store,
        claim,
        on_unavailable,
        on_not_stored,
        on_rejected,
        transaction_seconds=0.0,
    ):
        self._store = store
        self._on_unavailable = on_unavailable
        self._on_not_stored = on_not_stored
        self._on_rejected = on_rejected
        self.record, self._version, self._store_ms = claim
        self._store_ms_at = self.succeeded_at = asyncio.get_running_loop().time()
        self.transaction_seconds = transaction_seconds
        self.is_store_unavailable = False
        self.is_serving = False
        self._lease = LeaseEstimate(self.record.lease_ms)

    @property
    def needs_renewal(self):
        """Whether the owner's lease is due for renewal."""
        now = asyncio.get_running_loop().time()
        return now - self.succeeded_at >= RENEW_SECONDS

    async def write(self, groups):
        """Store all rows, retrying until the store confirms them.

        Parameters
        ----------
        groups : list of RowGroup
            The most urgent first.

        Returns
        -------
        list of JobId
            Jobs whose rows the store refuses for good, so that nothing was stored.

        Raises
        ------
        OwnershipLostError
            If another member has taken over, or the store is unavailable for too long.
        """
        refused = []
        for chunk in split_groups(groups):
            refused += await self._write_groups(chunk)
        return refused

    async def release(self):
        """Release the cell, so that another member takes over immediately."""
        await self._write_chunk([], is_released=True)

    async def _write_groups(self, groups):
        """Store groups in one transaction, or in several to find refused ones.

        One row that the store refuses fails the whole transaction, so a refused one is
        halved until the refused groups are alone. Returns their jobs.
        """
        failure = await self._write_chunk(groups)
        if failure is None:
            return []
        if len(groups) > 1:
            middle = len(groups) // 2
            return [
                *await self._write_groups(groups[:middle]),
                *await self._write_groups(groups[middle:]),
            ]
        (group,) = groups
        log_event(
            Event.ROWS_REFUSED,
            job=group.job,
            rows=len(group.puts),
            bytes=group.size,
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )
        if group.is_new_job:
            self._drop_new_jobs(groups)
        return [group.job]

    async def _write_chunk(self, groups, is_released=False):
        """Retry one transaction until it is committed or ownership is lost.

        Every attempt has the same sequence number, so that the owner's row shows
        whether an earlier one was committed.

        Returns None, or the `Failure` with which the store refuses the groups for what
        they contain.
        """
        loop = asyncio.get_running_loop()
        sequence = self.record.sequence + 1
        not_run_failures = quick_failures = 0
        while True:
            record = self._make_record(sequence, is_released)
            # Another member may have stored a job's row already. Overwriting it is
            # safe, because no task starts before the owner has loaded the job.
            transaction = self._make_transaction(groups, record)
            sent_at = loop.time()
            answer = await self._transact(transaction, record)
            if answer.is_ok():
                if isinstance(answer.unwrap(), Committed):
                    self.transaction_seconds = loop.time() - sent_at
                self._accept(answer.unwrap(), record)
                return None
            failure = answer.unwrap_err()
            if failure.code is ErrorCode.INVALID and groups:
                return failure
            is_not_run = failure.outcome is Outcome.NOT_RUN
            not_run_failures = not_run_failures + 1 if is_not_run else POSSIBLY_STORED
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
                self._drop_new_jobs(groups)
            await asyncio.sleep(RETRY_SECONDS)

    def _make_transaction(self, groups, record):
        puts, removes = {}, []
        for group in groups:
            for key, value in group.puts.items():
                if value is None:
                    removes.append(key)
                else:
                    puts[key] = value
        puts[OWNER_ROW] = encode_owner(record)
        return Transaction({OWNER_ROW: self._version}, puts, tuple(removes))

    def _make_record(self, sequence, is_released):
        since = asyncio.get_running_loop().time() - self._store_ms_at
        return OwnerRecord(
            self.record.epoch,
            self.record.member,
            self.record.address,
            sequence,
            int(self._store_ms + since * 1000),
            is_released,
            self.is_serving,
            self._lease.choose_ms(self.is_serving),
        )

    async def _transact(self, transaction, record):
        """Return the result of a transaction, or the result that a probe establishes.

        If an answer is late, either it was lost or the store is slow. A retry would add
        load to a slow store, so the owner's row is read first to tell the two apart.
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
        """Read the owner's row to infer the result of a transaction.

        Returns a `Conflict` if the row has changed, a timeout if it has not, and None
        if the read failed or was slow, in which case the transaction may still succeed.
        """
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
                reason="the owner's row is unchanged",
                outcome=Outcome.UNKNOWN,
            )
        )

    def _accept(self, reply, record):
        """Apply a reply that decides the transaction.

        Raises
        ------
        OwnershipLostError
            If the owner's row names another owner or another transaction.
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
                # An earlier attempt was committed, but its answer was lost.
                self._version = row.version
        self.record = record
        interval = loop.time() - self.succeeded_at
        self._lease.record_renewal(interval, not self.is_store_unavailable)
        self.succeeded_at = loop.time()
        if self.is_store_unavailable:
            self.is_store_unavailable = False
            log_event(Event.DEPENDENCY_RECOVERED, dependency="store")

    def _drop_new_jobs(self, groups):
        """Remove the rows of new jobs if no attempt can have taken effect."""
        dropped = [group for group in groups if group.is_new_job and group.puts]
        for group in dropped:
            group.puts.clear()
        if dropped:
            self._on_not_stored([group.job for group in dropped])

    def _on_timeout(self, failure):
        """Record a timeout as a failure unless a slow store may explain it."""
        unanswered_seconds = asyncio.get_running_loop().time() - self.succeeded_at
        if unanswered_seconds > UNAVAILABLE_AFTER_SECONDS:
            self._record_failure(failure)

    def _record_failure(self, failure, is_read_failure=False):
        unanswered_seconds = asyncio.get_running_loop().time() - self.succeeded_at
        if not self.is_store_unavailable:
            self.is_store_unavailable = True
            self._on_unavailable(is_read_failure)
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
                f"the store has not answered for {unanswered_seconds:.1f} s"
            )
