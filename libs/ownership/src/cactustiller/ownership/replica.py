"""Replica of the settings tree on one daemon.

The replica polls the head row of the settings in the table service and, while the
table service is unavailable, the peers. Committed versions are also announced to it
by the daemon that committed them. The version in force only increases.
"""

import asyncio
import random

import structlog
from reactivex.subject import Subject

from cactustiller.model import Record
from cactustiller.model.messages import AnnounceSettings, GetSettings, SettingsBody
from cactustiller.model.supervision import keep_running
from cactustiller.ports import decode_row
from cactustiller.settings import apply_patch, dump_tree, parse_tree

from .freshness import PeerAnswer, find_confirmation_time
from .settings_rows import (
    HEAD_KEY,
    SettingsBodyRow,
    SettingsHead,
    body_key,
    digest_text,
)

PEER_TIMEOUT_SECONDS = 1.0
POLL_JITTER = 0.2
MAX_AGE_SECONDS = 1e9

log = structlog.get_logger(__name__)


class SettingsChange(Record):
    """Event: a settings version came into force on this daemon."""

    version: int


class SettingsReplica:
    """Settings in force on one daemon.

    Parameters
    ----------
    member : Member
        Provides the table reader, the peer client and the member list.
    timing : TimingSettings
        ``settings_poll_seconds`` and ``freshness_seconds`` are used.
    seed_peers : sequence of str
        Peer addresses to poll while the member list is empty.
    seed : int
        Seed of the poll jitter.

    Attributes
    ----------
    tree : SettingsTree or None
        Tree in force; None until a version has been loaded.
    text : str
        Serialized tree.
    version : int
        Version in force, 0 if none; never decreases.
    head_row_version : int
        Table version of the row ``settings/head`` when it was last read.
    is_missing : bool
        Whether the table service holds no settings yet.
    changes : reactivex.Subject of SettingsChange
        Emits each version that comes into force.
    """

    def __init__(self, member, timing, seed_peers=(), seed=0):
        self.tree = None
        self.text = ""
        self.version = 0
        self.head_row_version = 0
        self.is_missing = False
        self.changes = Subject()
        self._member = member
        self._timing = timing
        self._seed_peers = tuple(seed_peers)
        self._random = random.Random(seed)
        self._confirmed_at = float("-inf")
        self._table_down = False
        self._unreadable = set()
        self._task = None
        self._polled_at = float("-inf")
        self._lock = asyncio.Lock()

    @property
    def age_seconds(self):
        """Seconds since the version in force was last confirmed."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    @property
    def is_fresh(self):
        """Whether API keys may be accepted under the version in force."""
        return (
            self.tree is not None and self.age_seconds < self._timing.freshness_seconds
        )

    async def start(self):
        """Poll once, then continue in a background task."""
        await self.poll()
        self._task = asyncio.create_task(
            keep_running("poll settings", self._poll_periodically)
        )

    async def stop(self):
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def poll(self):
        """Load or confirm the newest version, from peers if the table is unavailable.

        Confirming means establishing that the version in force is the newest.
        """
        started = asyncio.get_running_loop().time()
        await self._poll(started)
        self._polled_at = max(self._polled_at, started)

    async def _poll(self, started):
        answer = await self._member.table.read_row(HEAD_KEY, self.head_row_version)
        self._table_down = answer.is_err()
        if answer.is_err():
            await self._poll_peers()
            return
        row = answer.unwrap()
        self.is_missing = row.version == 0 and self.version == 0
        if row.version == 0:
            if self.version:
                log.error("settings_head_missing", version=self.version)
            return
        if row.unchanged:
            self.confirm(started)
            return
        head = decode_row(row, SettingsHead, "poll settings", reported=self._unreadable)
        if head is None:
            # As in an outage, only the peers can confirm the version in force.
            self._table_down = True
            await self._poll_peers()
            return
        if await self._load(head):
            self.head_row_version = max(self.head_row_version, row.version)
            self.confirm(started)

    async def poll_since(self, moment):
        """Poll unless one that began since a loop time is done; callers share a poll.

        Nothing is retried: whether the poll succeeded shows in `is_fresh` later.
        """
        async with self._lock:
            if self._polled_at < moment:
                await self.poll()

    async def answer(self, message, hello):
        """Return the `SettingsBody` that answers a peer's message.

        An `AnnounceSettings` with a newer version is applied first; a `GetSettings`
        gets the text only if its known version is older.
        """
        if isinstance(message, AnnounceSettings) and message.version > self.version:
            await self._apply_announcement(message, hello)
        known = getattr(message, "known_version", self.version)
        age_ms = int(min(self.age_seconds, MAX_AGE_SECONDS) * 1000)
        return SettingsBody(
            version=self.version,
            text=self.text if self.version > known else "",
            age_ms=max(0, age_ms),
            table_down=self._table_down,
            member_count=len(self._member.list_members()),
        )

    def confirm(self, confirmed_at):
        """Record that the version in force was the newest at a loop time."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def adopt(self, version, text):
        """Bring a version into force unless the current one is as new or newer.

        Returns
        -------
        bool
            False if the text is not a valid settings tree.
        """
        if version <= self.version:
            return True
        parsed = parse_tree(text, f"settings version {version}")
        if parsed.is_err():
            reason = "; ".join(str(error) for error in parsed.unwrap_err())
            log.error("settings_refused", version=version, reason=reason)
            return False
        self.tree = parsed.unwrap()
        self.text = text
        self.version = version
        self._member.publish_settings_version(version)
        log.info("settings_in_force", version=version)
        self.changes.on_next(SettingsChange(version=version))
        return True

    async def _apply_announcement(self, message, hello):
        if not self._adopt_patch(message):
            await self._fetch_from_member(message.origin or hello.member)

    def _adopt_patch(self, message):
        """Bring an announced version into force by its patch, if one applies.

        Returns whether the announced version is in force. Without a matching patch
        the caller has to fetch the full text.
        """
        if not message.patch or message.base_version != self.version:
            return False
        patched = parse_tree(apply_patch(self.text, message.patch), "settings patch")
        if patched.is_err():
            return False
        text = dump_tree(patched.unwrap())
        # The digest is of the committed text, so a patch that yields another text is
        # rejected.
        return digest_text(text) == message.digest and self.adopt(message.version, text)

    async def _poll_periodically(self):
        while True:
            jitter = self._random.uniform(1 - POLL_JITTER, 1)
            await asyncio.sleep(self._timing.settings_poll_seconds * jitter)
            await self.poll()

    async def _load(self, head):
        if head.version <= self.version:
            return True
        answer = await self._member.table.read_row(body_key(head.version))
        if answer.is_err() or answer.unwrap().value is None:
            return False
        row = decode_row(
            answer.unwrap(),
            SettingsBodyRow,
            "load settings",
            lambda row: body_key(row.version),
            self._unreadable,
        )
        if row is None:
            return False
        if digest_text(row.text) != head.digest:
            log.error("settings_body_damaged", version=head.version)
            return False
        return self.adopt(head.version, row.text)

    async def _poll_peers(self):
        """Adopt the newest version among the peers; confirm it by their answers."""
        asked_at = asyncio.get_running_loop().time()
        bodies = await asyncio.gather(
            *(self._fetch(address) for address in self._list_addresses())
        )
        answers = [
            PeerAnswer(body.age_ms / 1000, body.table_down, body.member_count)
            for body in bodies
            if body is not None and body.version <= self.version
        ]
        if self.version:
            members = len(self._member.list_members())
            self.confirm(find_confirmation_time(answers, asked_at, members))

    def _list_addresses(self):
        addresses = [
            record.peer_address
            for record in self._member.list_members()
            if record.member != self._member.record.member
        ]
        return addresses or list(self._seed_peers)

    async def _fetch_from_member(self, name):
        record = self._member.members.get(name)
        if record is not None:
            await self._fetch(record.peer_address)

    async def _fetch(self, address):
        """Fetch a peer's version, adopt it if newer and return the `SettingsBody`.

        Returns None if the request failed.
        """
        message = GetSettings(known_version=self.version)
        answer = await self._member.peers.call(address, message, PEER_TIMEOUT_SECONDS)
        if answer.is_err() or not isinstance(answer.unwrap(), SettingsBody):
            return None
        body = answer.unwrap()
        if body.text:
            self.adopt(body.version, body.text)
        return body
