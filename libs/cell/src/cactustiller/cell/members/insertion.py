"""Rows that a member stores without the owner, batched into transactions."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from cactustiller.model import ErrorCode, Outcome
from cactustiller.ports.breaker import CircuitBreaker

from ..ports import Committed, RowKey, Transaction
from ..reporting.events import Event, log_event

# A longer call to the store would leave no time for a second try.
CALL_TIMEOUT_SECONDS = 0.9
RETRY_SECONDS = 0.06
# Attempts per row while each failure guarantees that nothing was stored.
MAX_NOT_RUN_ATTEMPTS = 2
# An insertion that failed longer ago says nothing about the store now.
FAILURE_VALID_SECONDS = 2.0
# The store limits a transaction to 100 entries and 1 MB. Each row uses two entries, and
# base64 makes its value a third larger.
MAX_ROWS = 45
MAX_BYTES = 600_000


class Acceptance(Enum):
    """Outcome of a submission or a cancellation.

    `INVALID` means that no store could hold the job.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_FOUND = "notFound"
    INVALID = "invalid"


@dataclass(slots=True)
class _Pending:
    """Row to insert, with the future that its callers await.

    One that is apart shares no transaction with others, of which the store refused one.
    """

    value: bytes
    deadline: float
    future: asyncio.Future
    may_be_stored: bool = False
    attempts: int = 0
    is_apart: bool = False


class Inserter:
    """Inserts new rows, one transaction at a time; existing rows stay unchanged.

    Parameters
    ----------
    store : RowStore
    generator : random.Random
        Source of the jitter in delays after failures.
    """

    def __init__(self, store, generator):
        self._store = store
        self._breaker = CircuitBreaker(generator)
        self._pending: dict[RowKey, _Pending] = {}
        self._in_flight = frozenset()
        self._task = None
        self._failing_since = self._failed_at = float("-inf")

    @property
    def failing_since(self):
        """Time of the first of several recent failures; None after a success."""
        now = asyncio.get_running_loop().time()
        is_recent = now < self._failed_at + FAILURE_VALID_SECONDS
        return self._failing_since if is_recent else None

    async def insert(self, key, value, deadline, may_be_stored=False):
        """Store a row; `REFUSED` guarantees that it is not stored, now or later.

        Parameters
        ----------
        key : RowKey
        value : bytes
        deadline : float
            Loop time at which the caller stops waiting and no further attempt starts.
        may_be_stored : bool
            Whether an earlier attempt elsewhere may still take effect.
        """
        if not self._breaker.allows() and not may_be_stored:
            return Acceptance.REFUSED
        pending = self._pending.get(key)
        if pending is None:
            future = asyncio.get_running_loop().create_future()
            pending = _Pending(value, deadline, future, may_be_stored)
            self._pending[key] = pending
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        try:
            async with asyncio.timeout_at(max(deadline, pending.deadline)):
                return await asyncio.shield(pending.future)
        except TimeoutError:
            return self._abandon(key, pending)

    def _abandon(self, key, pending):
        """Return the outcome of a row whose caller has stopped waiting."""
        if pending.may_be_stored or key in self._in_flight:
            return Acceptance.UNKNOWN
        self._pending.pop(key, None)
        return Acceptance.REFUSED

    async def _run(self):
        """Insert pending rows in batches until each has an outcome."""
        while self._pending:
            batch = self._choose_batch()
            self._in_flight = batch.keys()
            answer = await self._store.transact(
                Transaction(
                    dict.fromkeys(batch, 0), {k: p.value for k, p in batch.items()}
                ),
                CALL_TIMEOUT_SECONDS,
            )
            if answer.is_err() and answer.unwrap_err().code is ErrorCode.INVALID:
                self._apply_refusal(batch)
                continue
            self._record(answer.is_ok())
            if answer.is_ok():
                self._apply_reply(answer.unwrap(), batch)
                continue
            is_not_run = answer.unwrap_err().outcome is Outcome.NOT_RUN
            self._apply_failure(batch, is_not_run)
            await asyncio.sleep(RETRY_SECONDS)

    def _choose_batch(self):
        """Return the rows that the next transaction stores, at least one."""
        batch, size = {}, 0
        for key, pending in self._pending.items():
            size += len(pending.value)
            is_full = size > MAX_BYTES or len(batch) >= MAX_ROWS
            if batch and (is_full or pending.is_apart):
                break
            batch[key] = pending
            if pending.is_apart:
                break
        return batch

    def _record(self, is_ok):
        self._breaker.record(is_ok)
        if is_ok:
            self._failed_at = float("-inf")
            return
        if self.failing_since is None:
            self._failing_since = asyncio.get_running_loop().time()
        self._failed_at = asyncio.get_running_loop().time()

    def _apply_reply(self, reply, batch):
        if isinstance(reply, Committed):
            stored = set(batch)
        else:
            # Existing rows belong to the same job, submitted before.
            stored = {row.key for row in reply.rows if row.value is not None}
        for key in batch:
            if key in stored:
                self._resolve(key, Acceptance.ACCEPTED)

    def _apply_refusal(self, batch):
        """Store rows apart of which the store refuses one, or refuse the only one."""
        self._in_flight = frozenset()
        if len(batch) > 1:
            for pending in batch.values():
                pending.is_apart = True
            return
        ((key, pending),) = batch.items()
        log_event(Event.ROWS_REFUSED, job=key.key, rows=1, bytes=len(pending.value))
        is_unknown = pending.may_be_stored
        self._resolve(key, Acceptance.UNKNOWN if is_unknown else Acceptance.REFUSED)

    def _apply_failure(self, batch, is_not_run):
        now = asyncio.get_running_loop().time()
        self._in_flight = frozenset()
        for key, pending in batch.items():
            pending.may_be_stored |= not is_not_run
            pending.attempts += 1
            if pending.may_be_stored and now >= pending.deadline:
                self._resolve(key, Acceptance.UNKNOWN)
            elif not pending.may_be_stored and pending.attempts >= MAX_NOT_RUN_ATTEMPTS:
                self._resolve(key, Acceptance.REFUSED)

    def _resolve(self, key, outcome):
        pending = self._pending.pop(key)
        if not pending.future.done():
            pending.future.set_result(outcome)
