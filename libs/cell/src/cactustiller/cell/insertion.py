"""Rows that a member stores by itself, many in one transaction."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from cactustiller.model import Outcome
from cactustiller.ports.breaker import Breaker

from .ports import Committed, RowKey, Transaction

# A call to the store that takes longer leaves no time for another try.
CALL_TIMEOUT_SECONDS = 0.9
RETRY_SECONDS = 0.06
# Tries after answers that promise that nothing was done.
MAX_NOT_RUN_ATTEMPTS = 2
# Each row is two entries of a transaction, which takes 100.
MAX_ROWS = 45


class Acceptance(Enum):
    """What became of a submission or a cancelling."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_FOUND = "notFound"


@dataclass(slots=True)
class _Pending:
    value: bytes
    deadline: float
    future: asyncio.Future
    may_be_stored: bool = False
    attempts: int = 0


class Inserter:
    """Inserts rows that must not exist yet, one transaction at a time.

    Parameters
    ----------
    store : RowStore
    generator : random.Random
        Source of the jitter of pauses after failures.
    """

    def __init__(self, store, generator):
        self._store = store
        self._breaker = Breaker(generator)
        self._pending: dict[RowKey, _Pending] = {}
        self._in_flight = frozenset()
        self._task = None

    async def insert(self, key, value, deadline, may_be_stored=False):
        """Store a row; `REFUSED` promises that it never will be there.

        Parameters
        ----------
        key : RowKey
        value : bytes
        deadline : float
            Time of the loop after which no new try is made.
        may_have_run : bool
            An earlier try elsewhere may still take effect.
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
        """Return what is sure of a row whose caller waits no longer."""
        if pending.may_be_stored or key in self._in_flight:
            return Acceptance.UNKNOWN
        self._pending.pop(key, None)
        return Acceptance.REFUSED

    async def _run(self):
        while self._pending:
            batch = dict(list(self._pending.items())[:MAX_ROWS])
            self._in_flight = batch.keys()
            answer = await self._store.transact(
                Transaction(
                    dict.fromkeys(batch, 0), {k: p.value for k, p in batch.items()}
                ),
                CALL_TIMEOUT_SECONDS,
            )
            self._breaker.record(answer.is_ok())
            if answer.is_ok():
                self._apply_reply(answer.unwrap(), batch)
                continue
            is_not_run = answer.unwrap_err().outcome is Outcome.NOT_RUN
            self._apply_failure(batch, is_not_run)
            await asyncio.sleep(RETRY_SECONDS)

    def _apply_reply(self, reply, batch):
        if isinstance(reply, Committed):
            stored = set(batch)
        else:
            # Rows that are there already: the same job, handed in before.
            stored = {row.key for row in reply.rows if row.value is not None}
        for key in batch:
            if key in stored:
                self._resolve(key, Acceptance.ACCEPTED)

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
