"""Conditional, logged changes of the settings.

Each change commits the next version with a compare-and-set on the row
``settings/head`` and appends an entry to the change log. Versions never go back: a
rollback commits an earlier tree as a new version.
"""

import asyncio
import secrets
import time
from typing import NamedTuple

import structlog
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome
from cactustiller.model.messages import AnnounceSettings, SettingsBody
from cactustiller.ports import Check, Put, Write, decode_row, decode_rows
from cactustiller.settings import (
    default_tree,
    diff_trees,
    dump_tree,
    make_patch,
    parse_tree,
)

from .freshness import is_majority
from .settings_rows import (
    HEAD_KEY,
    LOG_PREFIX,
    RETAINED_BODIES,
    RETAINED_LOG_ENTRIES,
    SettingsBodyRow,
    SettingsHead,
    SettingsLogEntry,
    body_key,
    describe_changes,
    digest_text,
    log_key,
)

ANNOUNCE_TIMEOUT_SECONDS = 1.5
COMMIT_TIMEOUT_SECONDS = 5.0
MAX_EDIT_ATTEMPTS = 5
REPLICATION_ROUNDS = 3

log = structlog.get_logger(__name__)


class _PendingVersion(NamedTuple):
    """Settings version that is being committed; `text` is the serialized `tree`."""

    head: SettingsHead
    text: str
    tree: object


class SettingsEditor:
    """Commits changes of the settings on behalf of operators.

    Parameters
    ----------
    replica : SettingsReplica
    member : Member
        Provides the committer, the peer client and the member list.
    site, cell : str
        Site and cell of the default tree, which the cell's first daemon commits.
    """

    def __init__(self, replica, member, site, cell):
        self._replica = replica
        self._member = member
        self._site = site
        self._cell = cell

    async def create_default(self):
        """Commit the default tree if the table service holds no settings."""
        await self._replica.poll()
        if not self._replica.is_missing:
            return
        tree = default_tree(self._site, self._cell)
        result = await self._commit(tree, self._member.record.member, "default")
        if result.is_err():
            log.info("default_settings_not_written", reason=str(result.err()))
            await self._replica.poll()

    async def change(
        self, edit, author, note="", expected_version=None, skip_unchanged=False
    ):
        """Commit an edited tree and return ``Ok(version)`` or ``Err(Failure)``.

        ``Ok`` means that more than half of the members have the version in force. A
        failure with an unknown outcome names the version that may have been committed.

        Parameters
        ----------
        edit : callable
            Takes the current tree; returns a `Result` of the new tree or a list of
            `SettingsError`.
        author : str
            Name and key id of the operator.
        note : str
            Reason for the change, for the log.
        expected_version : int, optional
            Version that the edit is based on; another one in force is a conflict.
            Without it the edit is applied to the newest version and retried after a
            conflict, up to `MAX_EDIT_ATTEMPTS` times in all.
        skip_unchanged : bool
            Whether an edit that returns the current tree commits no new version. The
            version in force is then confirmed by a majority, as a new one would be.
        """
        replica = self._replica
        for _ in range(MAX_EDIT_ATTEMPTS):
            await replica.poll()
            if not replica.is_fresh:
                return Err(
                    _make_failure("the newest settings version is not confirmed")
                )
            if expected_version not in (None, replica.version):
                return Err(await self._describe_conflict(expected_version))
            edited = edit(replica.tree)
            if edited.is_err():
                reason = "; ".join(str(error) for error in edited.unwrap_err())
                return Err(_make_failure(reason, ErrorCode.INVALID))
            if skip_unchanged and edited.unwrap() is replica.tree:
                return await self._replicate(self._make_repetition())
            result = await self._commit(edited.unwrap(), author, note)
            if result.is_ok() or result.unwrap_err().code is not ErrorCode.CONFLICT:
                return result
        return result

    async def read_history(self):
        """Return ``Ok`` of the list of `SettingsLogEntry`, newest first."""
        rows = await self._member.table.scan_rows(LOG_PREFIX)
        return rows.map(
            lambda found: decode_rows(
                found[::-1], SettingsLogEntry, "read settings history"
            )[0]
        )

    async def read_tree(self, version):
        """Return ``Ok(SettingsTree)`` of one of the retained versions."""
        answer = await self._member.table.read_row(body_key(version))
        if answer.is_err():
            return answer
        if answer.unwrap().value is None:
            reason = f"version {version} is not stored; the last {RETAINED_BODIES} are"
            return Err(_make_failure(reason, ErrorCode.NOT_FOUND))
        row = decode_row(answer.unwrap(), SettingsBodyRow, "read settings")
        if row is None:
            reason = f"the row {body_key(version)} cannot be read"
            return Err(_make_failure(reason, ErrorCode.CONFLICT))
        return parse_tree(row.text, f"settings version {version}").map_err(
            lambda errors: _make_failure("; ".join(map(str, errors)), ErrorCode.INVALID)
        )

    async def roll_back(self, to_version, author, note="", expected_version=None):
        """Commit the tree of an earlier version as a new version.

        API keys are not rolled back, so that a withdrawn key stays withdrawn.
        """
        found = await self.read_tree(to_version)
        if found.is_err():
            return found
        old = found.unwrap()

        def edit(tree):
            return parse_tree(dump_tree(old.with_changes(keys=tree.keys)), "rollback")

        text = f"roll back to version {to_version}"
        note = f"{text}: {note}" if note else text
        return await self.change(edit, author, note, expected_version)

    async def _commit(self, tree, author, note):
        version = self._make_version(tree, author, note)
        started = asyncio.get_running_loop().time()
        result = await self._member.committer.commit(
            self._build_write(version), "settings", COMMIT_TIMEOUT_SECONDS
        )
        if result.is_err():
            return await self._resolve_commit_failure(result.unwrap_err(), version)
        self._replica.head_row_version = max(
            self._replica.head_row_version, result.unwrap()
        )
        self._replica.confirm(started)
        return await self._adopt_and_replicate(version)

    def _make_version(self, tree, author, note):
        text = dump_tree(tree)
        head = SettingsHead(
            version=self._replica.version + 1,
            author=author,
            note=note,
            at=time.time(),
            digest=digest_text(text),
            token=secrets.token_hex(8),
        )
        return _PendingVersion(head, text, tree)

    def _build_write(self, version):
        head, text, tree = version
        before = self._replica.tree
        changes = describe_changes(diff_trees(before, tree)) if before else []
        entry = SettingsLogEntry(
            version=head.version,
            author=head.author,
            note=head.note,
            at=head.at,
            changes=changes,
        )
        body = SettingsBodyRow(version=head.version, token=head.token, text=text)
        return Write(
            checks=[Check(key=HEAD_KEY, version=self._replica.head_row_version)],
            puts=[
                Put(key=HEAD_KEY, value=head.model_dump()),
                Put(key=body_key(head.version), value=body.model_dump()),
                Put(key=log_key(head.version), value=entry.model_dump()),
            ],
            deletes=[
                body_key(max(0, head.version - RETAINED_BODIES)),
                log_key(max(0, head.version - RETAINED_LOG_ENTRIES)),
            ],
        )

    async def _adopt_and_replicate(self, version):
        """Adopt a committed version and replicate it to a majority of the members."""
        message = self._make_announcement(version)
        self._replica.adopt(version.head.version, version.text)
        return await self._replicate(message)

    async def _replicate(self, message):
        """Return ``Ok(version)`` once a majority has the announced version.

        Announces the version up to `REPLICATION_ROUNDS` times, with the member list
        refreshed in between.
        """
        number = message.version
        for _ in range(REPLICATION_ROUNDS):
            records = self._member.list_members()
            answers = await asyncio.gather(
                *(
                    self._member.peers.call(
                        record.peer_address, message, ANNOUNCE_TIMEOUT_SECONDS
                    )
                    for record in records
                    if record.member != self._member.record.member
                )
            )
            in_force = 1 + sum(_has_version(answer, number) for answer in answers)
            if in_force == len(records) or is_majority(in_force, len(records)):
                return Ok(number)
            await self._member.refresh()
        return Err(_make_replication_failure(number, in_force, len(records)))

    def _make_announcement(self, version):
        base = self._replica
        return AnnounceSettings(
            version=version.head.version,
            origin=self._member.record.member,
            base_version=base.version,
            patch=make_patch(base.text, version.text) if base.text else "",
            digest=version.head.digest,
        )

    def _make_repetition(self):
        """Return the announcement of the version in force, without a patch."""
        return AnnounceSettings(
            version=self._replica.version,
            origin=self._member.record.member,
            base_version=self._replica.version,
            patch="",
            digest=digest_text(self._replica.text),
        )

    async def _resolve_commit_failure(self, failure, version):
        """Resolve a failed commit.

        If the outcome is unknown, the token in the version's body row shows whether
        this commit or a concurrent one took effect.
        """
        number = version.head.version
        if failure.outcome is not Outcome.UNKNOWN:
            if failure.code is ErrorCode.CONFLICT:
                return Err(await self._describe_conflict(number - 1))
            return Err(failure)
        answer = await self._member.table.read_row(body_key(number))
        if answer.is_ok() and answer.unwrap().value is not None:
            if answer.unwrap().value.get("token") == version.head.token:
                return await self._adopt_and_replicate(version)
            return Err(await self._describe_conflict(number - 1))
        reason = f"version {number} may have been committed; read it to find out"
        return Err(failure.with_changes(step="change settings", reason=reason))

    async def _describe_conflict(self, expected_version):
        """Return a conflict failure that names the concurrent change."""
        answer = await self._member.table.read_row(log_key(expected_version + 1))
        reason = f"version {expected_version} is not in force"
        other = None
        if answer.is_ok() and answer.unwrap().value is not None:
            other = decode_row(answer.unwrap(), SettingsLogEntry, "describe conflict")
        if other is not None:
            at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(other.at))
            reason = (
                f"{other.author} committed version {other.version} at {at}"
                f" ({other.note or 'no note'}); read it and try again"
            )
        return _make_failure(reason, ErrorCode.CONFLICT)


def _has_version(answer, number):
    body = answer.unwrap_or(None)
    return isinstance(body, SettingsBody) and body.version >= number


def _make_replication_failure(number, in_force, members):
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="bring settings into force",
        reason=(
            f"version {number} is committed, but in force on {in_force} of {members} "
            "members only; see settings status"
        ),
        outcome=Outcome.UNKNOWN,
        retry_after_ms=1000,
    )


def _make_failure(reason, code=ErrorCode.UNAVAILABLE):
    return Failure(code=code, step="change settings", reason=reason)
