"""Stores an owner's batches, one transaction after another."""

import asyncio

from cactustiller.model import Outcome

from .election import RENEW_SECONDS, OwnerRecord, decode_owner, encode_owner
from .engine import OWNER_WITHOUT_STORE_SECONDS
from .events import Event, log_event
from .ports import (
    OWNER_ROW,
    Committed,
    Conflict,
    Transaction,
    make_progress_key,
)

# Bound of one call; a slow store answers within it.
COMMIT_CALL_SECONDS = 1.2
RETRY_SECONDS = 0.12
# The store takes 100 entries a transaction; the owner's row is one of them.
MOST_ROWS = 90


class OwnershipLostError(Exception):
    """Raised once another member owns the cell, or may own it."""


class BatchWriter:
    """Writes rows under the owner's row, which each transaction also renews.

    Parameters
    ----------
    store : RowStore
    claim : tuple of (OwnerRecord, int, int)
        Record, version and clock of the store at the claim.
    """

    def __init__(self, store, claim):
        self._store = store
        self.record, self._version, self._now_ms = claim
        self._now_at = self.succeeded_at = asyncio.get_running_loop().time()
        self.is_store_lost = False

    @property
    def needs_renewal(self):
        """Whether the owner's row is due."""
        now = asyncio.get_running_loop().time()
        return now - self.succeeded_at >= RENEW_SECONDS

    async def write(self, rows):
        """Store rows, all of them before it returns.

        Parameters
        ----------
        rows : list of (JobId, bytes)

        Raises
        ------
        OwnershipLostError
            If another member has taken over, or the store stays away too long.
        """
        for first in range(0, max(1, len(rows)), MOST_ROWS):
            chunk = rows[first : first + MOST_ROWS]
            puts = {make_progress_key(job): value for job, value in chunk}
            await self._write_chunk(puts)

    async def release(self):
        """Give the cell up, so that another member takes over at once."""
        await self._write_chunk({}, is_released=True)

    async def _write_chunk(self, puts, is_released=False):
        loop = asyncio.get_running_loop()
        sequence = self.record.sequence + 1
        while True:
            since = (loop.time() - self._now_at) * 1000
            record = OwnerRecord(
                self.record.epoch,
                self.record.member,
                self.record.address,
                sequence,
                int(self._now_ms + since),
                is_released,
            )
            transaction = Transaction(
                {OWNER_ROW: self._version}, {**puts, OWNER_ROW: encode_owner(record)}
            )
            answer = await self._store.transact(transaction, COMMIT_CALL_SECONDS)
            if answer.is_ok() and self._accept(answer.unwrap(), record):
                return
            if answer.is_err():
                self._note_failure(answer.unwrap_err())
            await asyncio.sleep(RETRY_SECONDS)

    def _accept(self, reply, record):
        loop = asyncio.get_running_loop()
        match reply:
            case Committed(version=version, now_ms=now_ms):
                self._version, self._now_ms, self._now_at = version, now_ms, loop.time()
            case Conflict(rows=rows):
                row = next((row for row in rows if row.key == OWNER_ROW), None)
                stored = decode_owner(row)
                if stored[:2] != record[:2] or stored.sequence != record.sequence:
                    raise OwnershipLostError(f"owned by {stored.member}")
                # An earlier try took effect although its answer was lost.
                self._version = row.version
        self.record = record
        self.succeeded_at = loop.time()
        if self.is_store_lost:
            self.is_store_lost = False
            log_event(Event.DEPENDENCY_BACK, dependency="store")
        return True

    def _note_failure(self, failure):
        away = asyncio.get_running_loop().time() - self.succeeded_at
        if not self.is_store_lost:
            self.is_store_lost = True
            log_event(
                Event.DEPENDENCY_LOST,
                dependency="store",
                step=failure.step,
                peer=failure.peer,
                reason=failure.reason,
                certain=failure.outcome is Outcome.NOT_RUN,
            )
        if away > OWNER_WITHOUT_STORE_SECONDS:
            raise OwnershipLostError(f"no answer of the store for {away:.1f} s")
