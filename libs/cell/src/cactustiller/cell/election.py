"""Who owns a cell: one row of the store, conditional on its version."""

import asyncio
import random
from typing import NamedTuple

import orjson

from cactustiller.model import Epoch, MemberId, Outcome

from .events import Event, log_event
from .ports import OWNER_ROW, Committed, Conflict, Transaction

# An owner renews its row at least this often.
RENEW_SECONDS = 0.3
POLL_SECONDS = 0.35
# The same while the owner announces itself, which it does every 0.7 s.
ANNOUNCED_POLL_SECONDS = 1.0
ANNOUNCEMENT_TIMEOUT_SECONDS = 0.8
# Two announcements in a row have not come.
OWNER_SILENT_SECONDS = 1.5
MIN_PAUSE_SECONDS = 0.01
# Age of the row at which a member takes over: three renewals and a slow answer.
TAKEOVER_AFTER_SECONDS = 1.1
# The same for an owner whose process does not accept connections: two renewals.
SUSPECT_TAKEOVER_AFTER_SECONDS = 0.65
# The row must have stood still before a member's own eyes this long, so that an
# owner can renew it after an outage of the store.
MIN_UNCHANGED_SECONDS = 0.4
# A renewal takes about two calls' time, and the owner waits for one before the next.
READS_PER_RENEWAL = 4.0
# The same for an owner that announces itself no more.
READS_PER_RENEWAL_IF_SILENT = 2.0
CALL_TIMEOUT_SECONDS = 1.5
# Bound of a read of a store of usual speed, which answers in 4 ms.
MIN_READ_TIMEOUT_SECONDS = 0.35
MAX_CLAIM_JITTER_SECONDS = 0.15
# Head start of the strongest members before the weakest.
MAX_CLAIM_DELAY_SECONDS = 0.8


class OwnerRecord(NamedTuple):
    """Value of the owner's row.

    Attributes
    ----------
    sequence : int
        Rises with each transaction of an epoch, so that a lost answer is resolved.
    renewed_ms : int
        The store's clock, as the owner knew it when it wrote.
    is_released : bool
        The owner has given up the cell.
    """

    epoch: Epoch
    member: MemberId
    address: str
    sequence: int
    renewed_ms: int
    is_released: bool = False


NO_OWNER = OwnerRecord(Epoch(0), MemberId(""), "", 0, 0, True)


def encode_owner(record):
    """Return the text of an owner's row."""
    return orjson.dumps(list(record))


def decode_owner(row):
    """Return the `OwnerRecord` of a row, or `NO_OWNER` where there is none."""
    if row is None or row.value is None:
        return NO_OWNER
    return OwnerRecord(*orjson.loads(row.value))


def should_claim(
    record,
    version,
    first_seen,
    store_now_ms,
    now,
    read_seconds=0.0,
    is_suspect=False,
    is_silent=False,
):
    """Return whether a member should take the cell over.

    Parameters
    ----------
    record : OwnerRecord
    version : int
        Version of the row as just read.
    seen : tuple of (int, float)
        Version of the row in earlier reads and when it was first read, with no
        failed read since.
    page_now_ms : int
        The store's clock.
    now : float
    read_seconds : float
        How long the read took; an owner of a slow store renews its row less often.
    is_suspect : bool
        The owner's process refused a connection, so it needs no such patience.
    is_silent : bool
        The owner announced itself before, and does no more.
    """
    if record.is_released:
        return True
    age = (store_now_ms - record.renewed_ms) / 1000
    is_unchanged = (
        first_seen[0] == version and now - first_seen[1] >= MIN_UNCHANGED_SECONDS
    )
    takeover_age = (
        SUSPECT_TAKEOVER_AFTER_SECONDS if is_suspect else TAKEOVER_AFTER_SECONDS
    )
    reads = READS_PER_RENEWAL_IF_SILENT if is_silent else READS_PER_RENEWAL
    return is_unchanged and age >= takeover_age + reads * read_seconds


class Election:
    """Watches the owner's row and claims it.

    `read_seconds` is how long the latest read of the row took, `lost_at` when reads
    began to fail, None while they don't.

    Parameters
    ----------
    store : RowStore
    member : MemberId
    address : str
        Where other members reach this one.
    strength : float
        From 0 to 1; weaker members leave a cell to stronger ones for a moment.
    """

    def __init__(self, store, member, address, strength):
        self.record = NO_OWNER
        self.read_seconds = 0.0
        self.lost_at = None
        self._store = store
        self._member = member
        self._address = address
        self._claim_delay = (1.0 - strength) * MAX_CLAIM_DELAY_SECONDS
        self._random = random.Random(member)
        self._first_seen = (-1, 0.0)
        self._wake = asyncio.Event()
        self._pause = POLL_SECONDS
        self._announced_at = self._read_at = float("-inf")
        self._handover_epoch = None
        self._suspected_epoch = None
        self._pending_read = None
        self._has_owned = False

    def read_soon(self):
        """Read the owner's row now, since it may be released."""
        self._wake.set()

    async def accept_handover(self, epoch):
        """Take the cell over from an owner that the store turns away.

        Returns whether the store answers this member.
        """
        if not await self.check_store(max_age=0.0):
            return False
        self._handover_epoch = epoch
        self._wake.set()
        return True

    async def check_store(self, max_age=POLL_SECONDS):
        """Return whether the store answers, as a read of at most some age tells.

        While an owner announces itself the row is read seldom; while the store does
        not answer it is read all the time.
        """
        if self.lost_at is not None:
            return False
        if asyncio.get_running_loop().time() - self._read_at > max_age:
            if self._pending_read is None or self._pending_read.done():
                self._pending_read = asyncio.create_task(self._read_row())
            await asyncio.shield(self._pending_read)
        return self.lost_at is None

    def suspect_owner(self, address):
        """Note that the process of the owner refuses connections."""
        if address == self.record.address:
            self._suspected_epoch = self.record.epoch
            self._wake.set()

    def record_announcement(self, epoch, member, address):
        """Take an owner's word for its epoch, for when the store does not answer."""
        if epoch >= self.record.epoch:
            self._announced_at = asyncio.get_running_loop().time()
        if epoch > self.record.epoch:
            self._update_record(OwnerRecord(epoch, member, address, 0, 0))

    async def wait_for_claim(self):
        """Return ``(OwnerRecord, version, now_ms)`` once this member owns the cell."""
        while True:
            if self._is_read_due():
                claim = await self._check_row()
                if claim is not None:
                    return claim
            try:
                async with asyncio.timeout(self._pause):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _is_read_due(self):
        """Return whether the row is to be read now; sets the next pause if not."""
        now = asyncio.get_running_loop().time()
        announcement_expires_at = self._announced_at + ANNOUNCEMENT_TIMEOUT_SECONDS
        due_at = min(announcement_expires_at, self._read_at + ANNOUNCED_POLL_SECONDS)
        if self._wake.is_set() or self.lost_at is not None or now >= due_at:
            return True
        self._pause = max(MIN_PAUSE_SECONDS, due_at - now)
        return False

    async def _read_row(self):
        """Return a `Page` with the owner's row, or None; note how the store answers."""
        loop = asyncio.get_running_loop()
        key = OWNER_ROW
        sent_at = loop.time()
        seconds = min(
            CALL_TIMEOUT_SECONDS,
            MIN_READ_TIMEOUT_SECONDS + READS_PER_RENEWAL * self.read_seconds,
        )
        answer = await self._store.read(
            key.table, key.part, key.key, key.key + "\0", seconds
        )
        self._read_at = loop.time()
        if answer.is_err():
            # The next read waits longer, in case the store has turned slow.
            self.read_seconds = max(self.read_seconds, seconds / 2)
            self.lost_at = self.lost_at or loop.time()
            return None
        self.lost_at = None
        self.read_seconds = loop.time() - sent_at
        return answer.unwrap()

    async def _check_row(self):
        is_notified = self._wake.is_set()
        self._wake.clear()
        page = await self._read_row()
        if page is None:
            self._first_seen = (-1, 0.0)
            return None
        row = page.rows[0] if page.rows else None
        record, version = decode_owner(row), row.version if row else 0
        now = asyncio.get_running_loop().time()
        self._update_record(record)
        if version != self._first_seen[0]:
            self._first_seen = (version, now)
        # A row that may be taken over soon is looked at as soon as it may.
        remaining = self._first_seen[1] + MIN_UNCHANGED_SECONDS - now
        self._pause = remaining if 0 < remaining < POLL_SECONDS else POLL_SECONDS
        is_handed_over = record.epoch == self._handover_epoch
        # This member's process is new, so the one that owned the cell is gone.
        is_previous_incarnation = record.member == self._member and not self._has_owned
        is_vacant = is_handed_over or is_previous_incarnation
        if not is_vacant and not should_claim(
            record,
            version,
            self._first_seen,
            page.now_ms,
            now,
            self.read_seconds,
            record.epoch == self._suspected_epoch,
            OWNER_SILENT_SECONDS < now - self._announced_at < float("inf"),
        ):
            return None
        if not is_notified and not is_vacant:
            await asyncio.sleep(
                self._claim_delay + self._random.uniform(0, MAX_CLAIM_JITTER_SECONDS)
            )
        return await self._claim(record, version, page.now_ms)

    async def _claim(self, before, version, now_ms):
        record = OwnerRecord(
            Epoch(before.epoch + 1), self._member, self._address, 0, now_ms
        )
        transaction = Transaction(
            {OWNER_ROW: version}, {OWNER_ROW: encode_owner(record)}
        )
        answer = await self._store.transact(transaction, CALL_TIMEOUT_SECONDS)
        if answer.is_err():
            failure = answer.unwrap_err()
            if failure.outcome is Outcome.UNKNOWN:
                return await self._resolve(record)
            return None
        match answer.unwrap():
            case Committed(version=new_version, now_ms=committed_ms):
                self._has_owned = True
                self._update_record(record)
                return record, new_version, committed_ms
            case Conflict():
                log_event(Event.TAKEOVER_LOST, epoch=record.epoch)
        return None

    async def _resolve(self, record):
        """Read the row to learn whether a claim without an answer took effect."""
        key = OWNER_ROW
        answer = await self._store.read(
            key.table, key.part, key.key, key.key + "\0", CALL_TIMEOUT_SECONDS
        )
        if answer.is_err() or not answer.unwrap().rows:
            return None
        page = answer.unwrap()
        if decode_owner(page.rows[0]) == record:
            self._has_owned = True
            self._update_record(record)
            return record, page.rows[0].version, page.now_ms
        return None

    def _update_record(self, record):
        if record.epoch < self.record.epoch:
            return
        if record[:3] != self.record[:3]:
            log_event(
                Event.OWNER_CHANGED,
                owner=record.member,
                epoch=record.epoch,
                before=self.record.member,
            )
        self.record = record
