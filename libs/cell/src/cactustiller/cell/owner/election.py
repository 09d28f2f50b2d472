"""Leader election of a cell by a lease in one row, the owner's row.

The owner renews the row with each of its transactions. Another member that finds the
lease expired replaces the row, provided that its version is unchanged, and increments
the epoch, which serves as fencing token.
"""

import asyncio
import random

from cactustiller.model import Epoch, Outcome

from ..ports import OWNER_ROW, Committed, Conflict, Transaction
from ..records.claims import (
    MIN_UNCHANGED_SECONDS,
    NO_OWNER,
    READS_PER_RENEWAL,
    OwnerRecord,
    choose_claim_delay,
    decode_owner,
    encode_owner,
    should_claim,
)
from ..records.leases import choose_loading_lease
from ..reporting.events import Event, log_event

# Maximum interval between renewals of the owner's row.
RENEW_SECONDS = 0.3
POLL_SECONDS = 0.35
# Poll interval while the owner announces itself, of standbys and of the others.
STANDBY_POLL_SECONDS = 0.35
ANNOUNCED_POLL_SECONDS = 1.5
# Age at which the latest announcement expires; the owner sends one every 0.7 s.
ANNOUNCEMENT_TIMEOUT_SECONDS = 0.8
# Age of the latest announcement at which two consecutive ones are missing.
MISSED_ANNOUNCEMENTS_SECONDS = 1.5
MIN_PAUSE_SECONDS = 0.01
CALL_TIMEOUT_SECONDS = 1.5
# For a store of usual speed, which answers in 4 ms.
MIN_READ_TIMEOUT_SECONDS = 0.35
MAX_CLAIM_JITTER_SECONDS = 0.15
# Reads that find out whether the store answers again while callers wait for it. A call
# to a silent store blocks the next one, so these are shorter than the regular reads.
PROBE_TIMEOUT_SECONDS = 0.25
PROBE_SECONDS = 0.15


class Election:
    """Polls the owner's row and claims it once it is released or its lease expired.

    `read_seconds` is the duration of the latest read of the row. `unavailable_since` is
    the time at which reads began to fail, None while they succeed.

    Parameters
    ----------
    store : RowStore
    member : MemberId
    address : str
        Peer address of this member.
    strength : float
        Suitability of the machine from 0 to 1; members with less delay their claims.
    """

    def __init__(self, store, member, address, strength):
        self.record = NO_OWNER
        self.read_seconds = 0.0
        self.unavailable_since = None
        self._store = store
        self._member = member
        self._address = address
        self._strength = strength
        self._is_standby = None
        self._random = random.Random(member)
        self._first_seen = (-1, 0.0)
        self._wake = asyncio.Event()
        self._pause = POLL_SECONDS
        self._announced_at = self._read_at = float("-inf")
        self._is_invited = False
        self._handover_epoch = None
        self._suspected_epoch = None
        self._withdrawn_epoch = None
        self._pending_read = None
        self._has_owned = False
        self._is_polling = False
        self._recovery = None
        self._probe = None
        self._probed_at = float("-inf")

    def read_soon(self):
        """Read the owner's row and claim it without delay, since it may be released."""
        self._is_invited = True
        self._wake.set()

    async def accept_handover(self, epoch):
        """Take over from an owner whose calls the store rejects.

        Returns whether the store answers this member, which then claims the cell.
        """
        if not await self.check_store(max_age=0.0):
            return False
        self._handover_epoch = epoch
        self.read_soon()
        return True

    async def check_store(self, max_age=POLL_SECONDS):
        """Return whether the store answered a read at most `max_age` seconds ago.

        Reads the row if the latest read is older. While reads fail, they are retried
        continuously, so none is made here.
        """
        if self.unavailable_since is not None:
            return False
        if asyncio.get_running_loop().time() - self._read_at > max_age:
            if self._pending_read is None or self._pending_read.done():
                self._pending_read = asyncio.create_task(self._read_row())
            await asyncio.shield(self._pending_read)
        return self.unavailable_since is None

    def probe_store(self):
        """Find out soon whether a store that was unavailable answers again.

        Called repeatedly while callers wait for the store.
        """
        now = asyncio.get_running_loop().time()
        is_running = self._probe is not None and not self._probe.done()
        if is_running or now < self._probed_at + PROBE_SECONDS:
            return
        self._probed_at = now
        self._probe = asyncio.create_task(self._read_row(PROBE_TIMEOUT_SECONDS))

    def suspect_owner(self, address):
        """Record that the owner's process refuses connections."""
        if address == self.record.address:
            self._suspected_epoch = self.record.epoch
            self._wake.set()

    def record_announcement(self, epoch, member, address, is_standby):
        """Record an announcement of an owner that has loaded the cell.

        It names the owner while the store is unavailable.
        """
        if epoch < self.record.epoch:
            return
        self._announced_at = asyncio.get_running_loop().time()
        self._is_standby = is_standby
        self._update_record(OwnerRecord(epoch, member, address, 0, 0, is_serving=True))

    async def wait_for_claim(self):
        """Return ``(OwnerRecord, version, now_ms)`` once this member owns the cell."""
        self._is_polling = True
        try:
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
        finally:
            self._is_polling = False

    def _is_read_due(self):
        """Return whether to read the row now; else set the pause until it is due."""
        now = asyncio.get_running_loop().time()
        announcement_expires_at = self._announced_at + ANNOUNCEMENT_TIMEOUT_SECONDS
        poll = STANDBY_POLL_SECONDS if self._is_standby else ANNOUNCED_POLL_SECONDS
        due_at = min(announcement_expires_at, self._read_at + poll)
        if self._wake.is_set() or self.unavailable_since is not None or now >= due_at:
            return True
        self._pause = max(MIN_PAUSE_SECONDS, due_at - now)
        return False

    async def _read_row(self, timeout=None):
        """Return a `Page` with the owner's row, or None if the read failed."""
        loop = asyncio.get_running_loop()
        key = OWNER_ROW
        sent_at = loop.time()
        seconds = timeout or min(
            CALL_TIMEOUT_SECONDS,
            MIN_READ_TIMEOUT_SECONDS + READS_PER_RENEWAL * self.read_seconds,
        )
        answer = await self._store.read(
            key.table, key.part, key.key, key.key + "\0", seconds
        )
        self._read_at = loop.time()
        if answer.is_err():
            if timeout is None:
                # Raises the timeout of the next read, in case the store became slow.
                self.read_seconds = max(self.read_seconds, seconds / 2)
            self.unavailable_since = self.unavailable_since or loop.time()
            if self._recovery is None or self._recovery.done():
                self._recovery = asyncio.create_task(self._read_until_available())
            return None
        self.unavailable_since = None
        self.read_seconds = loop.time() - sent_at
        return answer.unwrap()

    async def _read_until_available(self):
        """Retry failed reads while `wait_for_claim` does not, as in an owner."""
        while self.unavailable_since is not None:
            await asyncio.sleep(POLL_SECONDS)
            if not self._is_polling and self.unavailable_since is not None:
                await self._read_row()

    def close(self):
        """Stop reading the row."""
        for task in (self._recovery, self._probe):
            if task is not None:
                task.cancel()

    async def _check_row(self):
        """Read the row and claim it if allowed; return the claim or None."""
        is_invited, self._is_invited = self._is_invited, False
        self._wake.clear()
        page = await self._read_row()
        if page is None:
            self._first_seen = (-1, 0.0)
            return None
        record = decode_owner(page.rows[0] if page.rows else None)
        version = _find_version(page)
        now = asyncio.get_running_loop().time()
        self._update_record(record)
        if version != self._first_seen[0]:
            self._first_seen = (version, now)
        # Reads again as soon as the row has been unchanged for long enough.
        remaining = self._first_seen[1] + MIN_UNCHANGED_SECONDS - now
        self._pause = remaining if 0 < remaining < POLL_SECONDS else POLL_SECONDS
        is_handed_over = record.epoch == self._handover_epoch
        # The row names this member, but this process has never owned the cell: the
        # owner was its previous incarnation, which no longer runs.
        is_previous_incarnation = record.member == self._member and not self._has_owned
        is_vacant = is_handed_over or is_previous_incarnation
        if not is_vacant and not should_claim(
            record,
            version,
            self._first_seen,
            page.now_ms,
            now,
            self.read_seconds,
            record.epoch == self._suspected_epoch and self._is_standby is not False,
            MISSED_ANNOUNCEMENTS_SECONDS < now - self._announced_at < float("inf"),
        ):
            return None
        if not is_invited and not is_vacant:
            delay = choose_claim_delay(self._strength, self._is_standby)
            jitter = self._random.uniform(0, MAX_CLAIM_JITTER_SECONDS)
            await asyncio.sleep(delay + jitter)
            if delay and not await self._is_unchanged(version):
                return None
        log_event(
            Event.CLAIM,
            epoch=record.epoch + 1,
            former_owner=record.member,
            has_served=record.is_serving,
            is_released=record.is_released,
            is_suspect=record.epoch == self._suspected_epoch,
            row_seconds=(page.now_ms - record.renewed_ms) / 1000,
            read_seconds=round(self.read_seconds, 3),
        )
        return await self._claim(record, version, page.now_ms)

    async def _is_unchanged(self, version):
        """Return whether the row still has a version; the claim would fail if not."""
        page = await self._read_row()
        current = None if page is None else _find_version(page)
        if current == version:
            return True
        self._wake.set()
        if self.record.epoch != self._withdrawn_epoch:
            self._withdrawn_epoch = self.record.epoch
            is_silent = page is None
            log_event(
                Event.CLAIM_WITHDRAWN,
                reason="the store did not answer" if is_silent else "the row changed",
                version=version,
                current_version=current,
            )
        return False

    async def _claim(self, previous, version, now_ms):
        """Replace the row on condition of its version; return the claim or None."""
        record = OwnerRecord(
            Epoch(previous.epoch + 1),
            self._member,
            self._address,
            0,
            now_ms,
            lease_ms=choose_loading_lease(previous),
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
        """Return a claim whose answer was lost if a read shows that it took effect."""
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
        """Keep the record with the highest epoch and log a change of owner."""
        if record.epoch < self.record.epoch:
            return
        if record.epoch == self.record.epoch and self.record.is_serving:
            # A read that was sent earlier than an announcement may be older.
            record = record._replace(is_serving=True)
        if record[:3] != self.record[:3]:
            log_event(
                Event.OWNER_CHANGED,
                owner=record.member,
                epoch=record.epoch,
                before=self.record.member,
            )
        self.record = record


def _find_version(page):
    """Return the version of the owner's row; 0 if the row does not exist yet."""
    return page.rows[0].version if page.rows else 0
