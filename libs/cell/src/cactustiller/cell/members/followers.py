"""Local copies of tables, updated through the store's change feeds."""

import asyncio

from cactustiller.model import ErrorCode

from ..ports import MEMBER_TABLE
from ..records.tables import read_table
from ..reporting.events import Event, log_event
from ..supervision import keep_running

READ_TIMEOUT_SECONDS = 1.5
# Maximum wait of a feed call for a change, which bounds the time until a lost
# connection is detected.
FEED_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.15
# Lets rows that change at about the same time share one answer of the feed.
FEED_PAUSE_SECONDS = 0.02
# A feed may fail to report changes, so the whole table is reread at this interval.
REREAD_INTERVAL_SECONDS = 2.0


class Follower:
    """Keeps a copy of the rows in one part of a table.

    `refreshed_at` is the time of the latest successful call, in loop time, and
    `is_unavailable` tells whether calls fail since then.

    Parameters
    ----------
    store : RowStore
    table, part : str
    on_rows : callable
        Called with a dict of key to value after each change.
    wait_seconds : float
        Maximum wait of a feed call for a change.
    """

    def __init__(self, store, table, part, on_rows, wait_seconds=FEED_WAIT_SECONDS):
        self.refreshed_at = float("-inf")
        self._store = store
        self._table = table
        self._part = part
        self._on_rows = on_rows
        self._wait_seconds = wait_seconds
        self._rows = {}
        self._version = None
        self.is_unavailable = False
        self._read_at = 0.0
        self._first_read = asyncio.Event()
        self._task = None

    def start(self):
        """Start following the table."""
        name = f"follow table {self._table}"
        self._task = asyncio.create_task(keep_running(name, self._run))

    async def stop(self):
        """Stop following the table."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def wait_until_read(self):
        """Wait until the whole table has been read once."""
        await self._first_read.wait()

    async def _run(self):
        loop = asyncio.get_running_loop()
        # After a failure the cached rows may lack a change.
        self._version = None
        while True:
            is_reread_due = loop.time() - self._read_at > REREAD_INTERVAL_SECONDS
            if self._version is None or is_reread_due:
                answer = await self._read()
            else:
                answer = await self._follow()
            if answer.is_err():
                self._record_failure(answer.unwrap_err())
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.refreshed_at = loop.time()
            if self.is_unavailable:
                self.is_unavailable = False
                log_event(Event.DEPENDENCY_RECOVERED, dependency=f"table {self._table}")
            await asyncio.sleep(FEED_PAUSE_SECONDS)

    async def _read(self):
        answer = await read_table(
            self._store, self._table, self._part, READ_TIMEOUT_SECONDS
        )
        if answer.is_ok():
            found, self._version = answer.unwrap()
            rows = {row.key.key: row.value for row in found}
            self._read_at = asyncio.get_running_loop().time()
            if rows != self._rows or not self._first_read.is_set():
                self._rows = rows
                self._on_rows(rows)
                self._first_read.set()
        return answer

    async def _follow(self):
        answer = await self._store.follow(
            self._table, self._version, self._wait_seconds
        )
        if answer.is_err():
            if answer.unwrap_err().code is ErrorCode.HISTORY_LOST:
                self._version = None
            return answer
        page = answer.unwrap()
        self._version = max(self._version, page.version)
        changed = [row for row in page.rows if row.key.part == self._part]
        for row in changed:
            if row.value is None:
                self._rows.pop(row.key.key, None)
            else:
                self._rows[row.key.key] = row.value
        if changed:
            self._on_rows(self._rows)
        return answer

    def _record_failure(self, failure):
        if self.is_unavailable:
            return
        self.is_unavailable = True
        log_event(
            Event.DEPENDENCY_LOST,
            dependency=f"table {self._table}",
            step=failure.step,
            peer=failure.peer,
            reason=failure.reason,
        )


class WorkerRegistry:
    """Follows the platform's list of workers.

    `workers` is a dict of `WorkerId` to `WorkerInfo`.

    Parameters
    ----------
    store : RowStore
    table, part : str
    decode : callable
        Converts key and value to a `WorkerInfo`, or to None for an invalid entry.
    on_change : callable
        Called without arguments after each change.
    """

    def __init__(self, store, table, part, decode, on_change):
        self.workers = {}
        self._decode = decode
        self._on_change = on_change
        self._follower = Follower(store, table, part, self._on_rows)
        self.start = self._follower.start
        self.stop = self._follower.stop
        self.wait_until_read = self._follower.wait_until_read

    def _on_rows(self, rows):
        workers = {}
        for key, value in rows.items():
            try:
                info = self._decode(key, value)
            except Exception as error:
                # An entry that the decoder does not expect must not hide the others.
                log_event(
                    Event.ENTRY_UNREADABLE,
                    what="worker",
                    worker=key,
                    reason=type(error).__name__,
                )
                continue
            if info is not None:
                workers[info.worker] = info
        if workers != self.workers:
            self.workers = workers
            self._on_change()


class MemberRegistry:
    """Follows the addresses of the other members.

    They are ordered by descending strength, the suitability to own the cell; among
    equals, the one started last is first.

    Parameters
    ----------
    store : RowStore
    own_address : str
    """

    def __init__(self, store, own_address):
        self._addresses = []
        self._strengths = []
        self._names = {}
        self._own_address = own_address
        # Membership changes rarely, so the periodic reread alone would be enough.
        self._follower = Follower(store, MEMBER_TABLE, MEMBER_TABLE, self._on_rows)
        self.start = self._follower.start
        self.stop = self._follower.stop

    def find_addresses(self):
        """Return the peer addresses of the other members."""
        return self._addresses

    def list_strengths(self):
        """Return ``(address, strength)`` of the other members, in the same order."""
        return self._strengths

    def find_name(self, address):
        """Return the key of the row of the member at an address, or None."""
        return self._names.get(address)

    def _on_rows(self, rows):
        self._names = {}
        members = []
        for key, value in rows.items():
            try:
                member = decode_member_row(value)
            except ValueError as error:
                log_event(
                    Event.ENTRY_UNREADABLE, what="member", key=key, reason=str(error)
                )
                continue
            self._names[member[0]] = key
            members.append(member)
        members.sort(key=lambda member: (-member[2], -member[1]))
        self._strengths = [
            (address, strength)
            for address, _, strength in members
            if address != self._own_address
        ]
        self._addresses = [address for address, _ in self._strengths]


def encode_member_row(address, started_ms, strength=1.0):
    """Return the value of a member's row."""
    return f"{address} {started_ms} {strength:.2f}".encode()


def decode_member_row(value):
    """Return a member's address, start in Unix milliseconds and strength.

    Raises
    ------
    ValueError
        If the value was not written by `encode_member_row`.
    """
    address, started_ms, strength = value.decode().split(" ")
    return address, int(started_ms), float(strength)
