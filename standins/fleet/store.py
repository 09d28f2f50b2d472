"""Versioned rows with conditional transactions, and the faults of the real store."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from cactustiller.cell import Committed, Conflict, Page, Row
from cactustiller.cell.records.tables import AFTER_LAST_KEY
from cactustiller.model import ErrorCode, Failure, Outcome

READ_SECONDS = 0.004
# Transactions of one part are carried out one after another.
TRANSACT_SECONDS = 0.005
PAGE_ROWS = 500
MOST_ENTRIES = 100
MOST_BYTES = 1_000_000
# Of a value in base64.
ENCODED_SIZE = 4 / 3
JOB_TABLE = "jobs"


class Trouble(Enum):
    """How the store treats a client."""

    NONE = "none"
    REFUSING = "refusing"
    SILENT = "silent"
    CARRYING_OUT_LATE = "carryingOutLate"


@dataclass
class Store:
    """Rows, their changes and one counter of versions.

    Attributes
    ----------
    late_seconds : float
        Delay of a transaction that is carried out late.
    slowness : float
        Factor on the time of each call.
    row_bytes : int
        Largest value that a row may have.
    refused_keys : set of RowKey
        Rows that the store refuses, whatever their value.
    largest_row, largest_call, written_bytes : int
        Largest value, largest sum of values of a transaction, and sum of all values.
    """

    rows: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    version: int = 0
    oldest: int = 0
    late_seconds: float = 2.0
    slowness: float = 1.0
    row_bytes: int = 65_536
    refused_keys: set = field(default_factory=set)
    largest_row: int = 0
    largest_call: int = 0
    written_bytes: int = 0
    calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    def refuses(self, transaction):
        """Return whether a transaction is not one that the store takes."""
        parts = (transaction.expected, transaction.puts, transaction.removes)
        sizes = [len(value) for value in transaction.puts.values()]
        return (
            sum(map(len, parts)) > MOST_ENTRIES
            or ENCODED_SIZE * sum(sizes) > MOST_BYTES
            or max(sizes, default=0) > self.row_bytes
            or not self.refused_keys.isdisjoint(transaction.puts)
        )

    def apply(self, transaction):
        """Apply a transaction; return `Committed` or `Conflict`."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        for key, version in transaction.expected.items():
            row = self.rows.get(key)
            if (row.version if row else 0) != version:
                found = [self.rows[k] for k in transaction.expected if k in self.rows]
                return Conflict(tuple(found))
        self.version += 1
        self._measure([len(value) for value in transaction.puts.values()])
        for key, value in transaction.puts.items():
            self._change(Row(key, value, self.version))
        for key in transaction.removes:
            if self.rows.pop(key, None) is not None:
                self.changes.append(Row(key, None, self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return Committed(self.version, now_ms)

    def put(self, key, value):
        """Write a row as the operator or another system would."""
        self.version += 1
        self._change(Row(key, value, self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, key):
        """Remove a row as another system would."""
        self.version += 1
        if self.rows.pop(key, None) is not None:
            self.changes.append(Row(key, None, self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        """Drop the changes that feeds go by."""
        self.changes.clear()
        self.oldest = self.version

    def _measure(self, sizes):
        self.largest_row = max([self.largest_row, *sizes])
        self.largest_call = max(self.largest_call, sum(sizes))
        self.written_bytes += sum(sizes)

    def _change(self, row):
        self.rows[row.key] = row
        self.changes.append(row)


class StoreClient:
    """One member's way to the store, with troubles of its own."""

    def __init__(self, store):
        self.trouble = Trouble.NONE
        self.is_deaf = False
        self.answers_to_lose = 0
        # Time of a read of all jobs.
        self.read_seconds = READ_SECONDS
        # Delay of other answers during such a read, as behind many rows on a narrow
        # link or for the member's processor.
        self.answer_seconds = 0.0
        self._reads = 0
        self._store = store
        self._late = set()

    async def transact(self, transaction, seconds):
        """Perform one transaction."""
        self._store.calls += 1
        failure = await self._refuse(seconds)
        if failure is not None:
            return failure
        if self._store.refuses(transaction):
            return _fail(ErrorCode.INVALID, "status 400", Outcome.NOT_RUN)
        if self.trouble is Trouble.CARRYING_OUT_LATE:
            self._run_aside(self._carry_out(transaction, self._store.late_seconds))
            return await self._lose(seconds)
        is_lost = self.answers_to_lose > 0
        self.answers_to_lose -= is_lost
        # A caller that gives up waiting does not take its transaction back.
        task = self._run_aside(self._carry_out(transaction, 0.0))
        if is_lost:
            return await self._lose(seconds)
        try:
            async with asyncio.timeout(seconds):
                reply = await asyncio.shield(task)
                await asyncio.sleep(self._find_delay())
                return Ok(reply)
        except TimeoutError:
            return _fail(ErrorCode.TIMEOUT, "no answer", Outcome.UNKNOWN)

    async def read(self, table, part, first, last, seconds):
        """Return rows with keys from `first` to before `last`."""
        self._store.calls += 1
        is_whole = last == AFTER_LAST_KEY and table == JOB_TABLE
        usual = self.read_seconds if is_whole else READ_SECONDS + self._find_delay()
        self._reads += is_whole
        try:
            failure = await self._wait(usual, seconds)
        finally:
            self._reads -= is_whole
        if failure is not None:
            return failure
        found = sorted(
            row
            for key, row in self._store.rows.items()
            if key.table == table and key.part == part and first <= key.key < last
        )
        return Ok(self._make_page(found[:PAGE_ROWS], len(found) > PAGE_ROWS))

    async def follow(self, table, after, wait_seconds):
        """Return the rows changed after a version."""
        self._store.calls += 1
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        failure = await self._wait(READ_SECONDS, wait_seconds + 1.0)
        if failure is not None:
            return failure
        while True:
            if after < self._store.oldest:
                return _fail(ErrorCode.HISTORY_LOST, "history lost", Outcome.NOT_RUN)
            latest = {
                row.key: row
                for row in self._store.changes
                if row.key.table == table and row.version > after
            }
            if (latest and not self.is_deaf) or loop.time() >= until:
                return Ok(self._make_page([] if self.is_deaf else latest.values()))
            try:
                async with asyncio.timeout(until - loop.time()):
                    await self._store.changed.wait()
            except TimeoutError:
                return Ok(self._make_page([]))

    async def _wait(self, usual, seconds):
        """Pass the time of a call; return its failure where there is one."""
        failure = await self._refuse(seconds)
        if failure is not None:
            return failure
        needed = usual * self._store.slowness
        if needed > seconds:
            return await self._lose(seconds)
        await asyncio.sleep(needed)
        return None

    def _find_delay(self):
        return self.answer_seconds if self._reads else 0.0

    async def _refuse(self, seconds):
        """Return the failure of a call that the store does not serve, or None."""
        if self.trouble is Trouble.REFUSING:
            await asyncio.sleep(READ_SECONDS)
            return _fail(ErrorCode.OVERLOADED, "status 503", Outcome.NOT_RUN)
        if self.trouble is Trouble.SILENT:
            return await self._lose(seconds)
        return None

    async def _lose(self, seconds):
        await asyncio.sleep(seconds)
        return _fail(ErrorCode.TIMEOUT, "no answer", Outcome.UNKNOWN)

    async def _carry_out(self, transaction, delay):
        await asyncio.sleep(delay)
        async with self._store.turn:
            await asyncio.sleep(TRANSACT_SECONDS * self._store.slowness)
            reply = self._store.apply(transaction)
        await asyncio.sleep(READ_SECONDS * self._store.slowness)
        return reply

    def _run_aside(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        return task

    def _make_page(self, rows, has_more=False):
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return Page(tuple(rows), self._store.version, now_ms, has_more)


def _fail(code, reason, outcome):
    return Err(
        Failure(
            code=code, step="call store", peer="store", reason=reason, outcome=outcome
        )
    )
