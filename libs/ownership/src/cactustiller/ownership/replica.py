"""Replica of the settings tree in one daemon.

The row ``settings/head`` names the version in force and ``settings/body/<version>``
holds its text. A change is conditional on the head row, so racing changes conflict.
"""

import asyncio
import hashlib
import random
import secrets
import time

import structlog
from reactivex.subject import Subject
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome, Record
from cactustiller.model.messages import AnnounceSettings, GetSettings, SettingsBody
from cactustiller.platform import Check, Put, Write
from cactustiller.settings import default_tree, dump_tree, parse_tree

HEAD_KEY = "settings/head"
BODY_PREFIX = "settings/body/"
PEER_SECONDS = 1.0
COMMIT_SECONDS = 5.0
MAX_EDIT_ATTEMPTS = 5
POLL_JITTER = 0.2
LONGEST_AGE_SECONDS = 1e9

log = structlog.get_logger(__name__)


class SettingsHead(Record):
    """Row ``settings/head``; `at` is seconds since the Unix epoch."""

    version: int
    author: str
    note: str = ""
    at: float
    digest: str
    token: str


class SettingsChange(Record):
    """Version that came into force on this daemon."""

    version: int


class SettingsReplica:
    """Settings in force on one daemon.

    Parameters
    ----------
    member : Member
        Gives table, committer, peers and the list of members.
    site, cell : str
        Cell of the default tree, which the first daemon writes.
    timing : TimingSettings
        ``settings_poll_seconds`` and ``freshness_seconds`` are used.
    seed : int
        Seed of the jitter.

    Attributes
    ----------
    tree : SettingsTree or None
        None until a version is known.
    version : int
        Never decreases.
    changes : reactivex.Subject of SettingsChange
    """

    def __init__(self, member, site, cell, timing, seed=0):
        self.tree = None
        self.version = 0
        self.changes = Subject()
        self._member = member
        self._site = site
        self._cell = cell
        self._timing = timing
        self._random = random.Random(seed)
        self._text = ""
        self._head_row = 0
        self._confirmed_at = float("-inf")
        self._task = None
        self._aside = set()

    @property
    def age_seconds(self):
        """Seconds since the version in force was last confirmed."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    @property
    def is_fresh(self):
        """Whether keys may be accepted under the version in force."""
        return (
            self.tree is not None and self.age_seconds < self._timing.freshness_seconds
        )

    async def start(self):
        """Load the settings once, then poll in the background."""
        await self.poll()
        self._task = asyncio.create_task(self._poll_regularly())

    async def stop(self):
        """Stop polling."""
        tasks = [task for task in (self._task, *self._aside) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def poll(self):
        """Confirm the version with the table service, else ask the peers."""
        started = asyncio.get_running_loop().time()
        answer = await self._member.table.read_row(HEAD_KEY, self._head_row)
        if answer.is_err():
            await self._ask_peers(started)
            return
        row = answer.unwrap()
        if row.version == 0:
            await self._create_default()
            return
        if row.unchanged:
            self._confirmed_at = max(self._confirmed_at, started)
            return
        head = SettingsHead.model_validate(row.value)
        if await self._load(head.version, head.digest):
            self._head_row = row.version
            self._confirmed_at = max(self._confirmed_at, started)

    async def change(self, edit, author, note="", expected_version=None):
        """Commit an edited tree and return ``Ok(version)`` or ``Err(Failure)``.

        Parameters
        ----------
        edit : callable
            Returns a `Result` of the new tree or a list of `SettingsError`.
        author : str
            Key id of the operator.
        note : str
        expected_version : int, optional
            Version that the operator read. Without it the edit is applied to the
            newest version, again after a conflict.
        """
        for _ in range(MAX_EDIT_ATTEMPTS):
            await self.poll()
            if self.tree is None or self.age_seconds > self._timing.freshness_seconds:
                return Err(_refuse("the settings in force are not known"))
            if expected_version not in (None, self.version):
                return Err(await self._describe_conflict(expected_version))
            edited = edit(self.tree)
            if edited.is_err():
                reason = "; ".join(str(error) for error in edited.unwrap_err())
                return Err(_refuse(reason, ErrorCode.INVALID))
            result = await self._commit(edited.unwrap(), author, note)
            if result.is_ok() or result.unwrap_err().code is not ErrorCode.CONFLICT:
                return result
        return result

    async def answer(self, message, hello):
        """Answer `AnnounceSettings` or `GetSettings` of a peer."""
        if isinstance(message, AnnounceSettings) and message.version > self.version:
            self._run_aside(self._fetch_from(hello.member))
        known = getattr(message, "known_version", self.version)
        text = self._text if self.version > known else ""
        age_ms = int(min(self.age_seconds, LONGEST_AGE_SECONDS) * 1000)
        return SettingsBody(version=self.version, text=text, age_ms=age_ms)

    def _run_aside(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._aside.add(task)
        task.add_done_callback(self._aside.discard)

    async def _poll_regularly(self):
        while True:
            jitter = self._random.uniform(1 - POLL_JITTER, 1)
            await asyncio.sleep(self._timing.settings_poll_seconds * jitter)
            await self.poll()

    async def _create_default(self):
        if self.version:
            log.error("settings_head_missing", version=self.version)
            return
        tree = default_tree(self._site, self._cell)
        result = await self._commit(tree, self._member.record.member, "default")
        if result.is_err():
            # Usually another daemon was first; the next poll takes its version.
            log.info("default_settings_not_written", reason=str(result.err()))

    async def _commit(self, tree, author, note):
        version = self.version + 1
        text = dump_tree(tree)
        head = SettingsHead(
            version=version,
            author=author,
            note=note,
            at=time.time(),
            digest=_digest(text),
            token=secrets.token_hex(8),
        )
        write = Write(
            checks=[Check(key=HEAD_KEY, version=self._head_row)],
            puts=[
                Put(key=HEAD_KEY, value=head.model_dump()),
                Put(
                    key=f"{BODY_PREFIX}{version}",
                    value={"text": text, **head.model_dump()},
                ),
            ],
        )
        started = asyncio.get_running_loop().time()
        result = await self._member.committer.commit(write, "settings", COMMIT_SECONDS)
        if result.is_err():
            return await self._resolve_failure(result.unwrap_err(), head, text)
        self._head_row = max(self._head_row, result.unwrap())
        self._confirmed_at = max(self._confirmed_at, started)
        return self._announce(head.version, text)

    def _announce(self, version, text):
        self._adopt(version, text)
        origin = self._member.record.member
        message = AnnounceSettings(version=version, origin=origin)
        self._run_aside(self._member.announce(message))
        return Ok(version)

    async def _resolve_failure(self, failure, head, text):
        """Read back whether a change took effect whose answer was lost."""
        if failure.outcome is not Outcome.UNKNOWN:
            if failure.code is ErrorCode.CONFLICT:
                return Err(await self._describe_conflict(head.version - 1))
            return Err(failure)
        answer = await self._member.table.read_row(f"{BODY_PREFIX}{head.version}")
        if answer.is_ok() and answer.unwrap().value is not None:
            if answer.unwrap().value["token"] == head.token:
                return self._announce(head.version, text)
            return Err(await self._describe_conflict(head.version - 1))
        reason = f"not known whether version {head.version} was committed; read it"
        return Err(failure.with_changes(step="change settings", reason=reason))

    async def _describe_conflict(self, expected_version):
        """Return a failure that names the change that came first."""
        answer = await self._member.table.read_row(
            f"{BODY_PREFIX}{expected_version + 1}"
        )
        reason = f"version {expected_version} is not in force"
        if answer.is_ok() and answer.unwrap().value is not None:
            other = answer.unwrap().value
            at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(other["at"]))
            reason = (
                f"{other['author']} committed version {other['version']} at {at}"
                f" ({other['note'] or 'no note'}); read it and try again"
            )
        return _refuse(reason, ErrorCode.CONFLICT)

    async def _load(self, version, digest):
        if version <= self.version:
            return True
        answer = await self._member.table.read_row(f"{BODY_PREFIX}{version}")
        if answer.is_err() or answer.unwrap().value is None:
            return False
        text = answer.unwrap().value["text"]
        if _digest(text) != digest:
            log.error("settings_body_damaged", version=version)
            return False
        return self._adopt(version, text)

    async def _ask_peers(self, started):
        """Take the highest version among the members that can be reached."""
        records = [
            record
            for record in self._member.list_members()
            if record.member != self._member.record.member
        ]
        calls = [self._fetch_from(record.member) for record in records]
        await asyncio.gather(*calls)

    async def _fetch_from(self, name):
        record = self._member.members.get(name)
        if record is None:
            return
        answer = await self._member.peers.call(
            record.peer_address, GetSettings(known_version=self.version), PEER_SECONDS
        )
        if answer.is_ok() and isinstance(answer.unwrap(), SettingsBody):
            body = answer.unwrap()
            if body.text:
                self._adopt(body.version, body.text)

    def _adopt(self, version, text):
        """Bring a version into force unless a newer one is; return success."""
        if version <= self.version:
            return True
        parsed = parse_tree(text, f"settings version {version}")
        if parsed.is_err():
            reason = "; ".join(str(error) for error in parsed.unwrap_err())
            log.error("settings_refused", version=version, reason=reason)
            return False
        self.tree = parsed.unwrap()
        self.version = version
        self._text = text
        self._member.note_settings_version(version)
        log.info("settings_in_force", version=version)
        self.changes.on_next(SettingsChange(version=version))
        return True


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def _refuse(reason, code=ErrorCode.UNAVAILABLE):
    return Failure(code=code, step="change settings", reason=reason)
