"""Membership of a daemon in a cell.

Each daemon (scheduler or gateway) is a member of a cell and stores its record under
its own row in the table service. Renewing that row renews the member's lease; the row
also carries the fencing token on which each of the member's commits is conditional.
The module also caches the other members' records and the ownership of partitions.
"""

import asyncio
import secrets
from functools import partial

import structlog
from reactivex.subject import Subject
from result import Err, Ok

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, FailureError, Role
from cactustiller.model.messages import AnnounceOwnership, Done, Hello
from cactustiller.model.supervision import keep_running
from cactustiller.peers import PeerClient, PeerServer, Traffic
from cactustiller.ports import (
    Check,
    Committer,
    Get,
    Put,
    Read,
    Scan,
    TableReader,
    Write,
)

from .lease_monitor import LeaseMonitor
from .planning import list_watched
from .records import (
    MEMBER_PREFIX,
    OWNERSHIP_KEY,
    Ownership,
    decode_member,
    decode_ownership,
    differs_ignoring_token,
    member_key,
)

JOIN_RETRY_SECONDS = 0.5
SCAN_INTERVAL_SECONDS = 2.0
ANNOUNCE_TIMEOUT_SECONDS = 1.0
MIN_SLEEP_SECONDS = 0.001

log = structlog.get_logger(__name__)


class Member:
    """Membership of one daemon in the cell.

    Joins the cell, renews the lease, polls ownership and the other members' records,
    and connects to peers.

    Parameters
    ----------
    record : MemberRecord
        Identity, addresses and availability zone of the daemon.
    table_port : TablePort
        Connection to the table service.
    timing : TimingSettings
        ``heartbeat_seconds``, ``lease_seconds`` and ``commit_delay_ms`` are used.
    handle : callable
        Coroutine function that takes a peer's message and its `Hello` and returns
        the reply. The `Hello` is None for a request of this member to itself.
    seed : int
        Seed of the retry jitter.
    peers : PeerClient, optional
        Client for requests to peers; tests pass their own.
    create_server : callable
        Factory of the `PeerServer`; takes a `Hello`, a handler and a `Traffic`.
    server_ssl, client_ssl : ssl.SSLContext, optional
        TLS contexts of the incoming and outgoing peer connections.

    Attributes
    ----------
    ownership_changes : reactivex.Subject of Ownership
        Emits the new `Ownership` when its row has changed.
    member_changes : reactivex.Subject of dict of MemberId to MemberRecord
        Emits all cached records when one of them has changed.
    refreshes : reactivex.Subject of int
        Emits the ownership version after each successful refresh.
    """

    def __init__(
        self,
        record,
        table_port,
        timing,
        handle,
        seed=0,
        peers=None,
        create_server=PeerServer,
        server_ssl=None,
        client_ssl=None,
    ):
        self.record = record.with_changes(incarnation=secrets.token_hex(6))
        self.traffic = Traffic()
        self.table = TableReader(table_port, seed)
        self.committer = Committer(
            table_port,
            member_key(record.member),
            self._make_member_row,
            timing.commit_delay_ms / 1000,
            seed,
        )
        # Whether a row of an earlier process of this member was found at the start.
        self.has_predecessor = False
        self.ownership = Ownership(owners={})
        self.ownership_version = 0
        self.members = {}
        self.ownership_changes = Subject()
        self.member_changes = Subject()
        self.refreshes = Subject()
        self.lease_monitor = LeaseMonitor(timing.lease_seconds)
        hello = Hello(
            member=record.member,
            role=record.role,
            zone=record.zone,
            incarnation=self.record.incarnation,
        )
        self.peers = peers or PeerClient(hello, self.traffic, client_ssl)
        self._server = create_server(hello, self._handle_message, self.traffic)
        self._server_ssl = server_ssl
        self._port = table_port
        self._timing = timing
        self._handle = handle
        self._versions = {}
        self._unreadable = set()
        self._scanned_at = float("-inf")
        self._tasks = []

    @property
    def member(self):
        """Id of this member."""
        return self.record.member

    @property
    def is_fenced(self):
        """Whether another member has fenced this incarnation and taken over."""
        return self.committer.is_fenced

    @property
    def lease_until(self):
        """Loop time in seconds until which no other member takes over."""
        return self.committer.confirmed_at + self._timing.lease_seconds

    def has_lease(self):
        """Return whether this member holds a confirmed, unexpired lease."""
        now = asyncio.get_running_loop().time()
        return not self.is_fenced and now < self.lease_until

    async def listen(self):
        """Start the peer server at the record's peer address."""
        host, _, port = self.record.peer_address.rpartition(":")
        await self._server.start(host, int(port), self._server_ssl)

    async def start(self):
        """Join the cell; return once the table service has stored the row."""
        version = await self._join()
        self.committer.start(version)
        await self.refresh()
        # A peer without this member's record refreshes on the announcement.
        announcement = AnnounceOwnership(version=self.ownership_version)
        runs = {
            "announce member": partial(self.announce, announcement),
            "renew lease": self._renew_lease,
            "refresh members": self._refresh_periodically,
        }
        self._tasks = [asyncio.create_task(keep_running(*run)) for run in runs.items()]

    async def stop(self):
        """Stop without notifying the other members, as in a crash."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.committer.stop()
        await self._server.stop()
        await self.peers.close()

    async def leave(self):
        """Leave the cell and stop; all partitions must have been handed over.

        The row is marked as fenced, so that this member no longer counts towards
        the cell's size in majority decisions.
        """
        self.record = self.record.with_changes(leaving=True, fenced=True)
        await self.committer.commit(Write(), "leave")
        await self.stop()

    async def mark_leaving(self):
        """Mark the member as leaving, so that it is assigned no partition."""
        self.record = self.record.with_changes(leaving=True)
        return await self.committer.commit(Write(), "leave")

    def publish_settings_version(self, version):
        """Set the settings version that the next heartbeat publishes."""
        self.record = self.record.with_changes(settings_version=version)

    def find_owner(self, partition):
        """Return the `MemberRecord` of a partition's owner, None if unknown."""
        owner = self.ownership.owners.get(partition)
        return self.members.get(owner.member) if owner else None

    def owns(self, partition):
        """Return whether this incarnation owns a partition."""
        owner = self.ownership.owners.get(partition)
        return (
            owner is not None
            and owner.member == self.member
            and owner.incarnation == self.record.incarnation
        )

    def epoch_of(self, partition):
        """Return a partition's ownership epoch, 0 if it has no owner."""
        owner = self.ownership.owners.get(partition)
        return owner.epoch if owner else 0

    def is_unreadable(self, member):
        """Return whether the newest row of a member is malformed."""
        return member_key(member) in self._unreadable

    def row_version_of(self, member):
        """Return the cached row version of a member, 0 if it has none."""
        return self._versions.get(member, 0)

    def list_members(self, role=None):
        """Return the cached records that are not fenced, sorted by member id."""
        return [
            record
            for _, record in sorted(self.members.items())
            if not record.fenced and (role is None or record.role == role)
        ]

    def ownership_check(self):
        """Return a `Check` that the ownership row has the cached version."""
        return Check(key=OWNERSHIP_KEY, version=self.ownership_version)

    async def call_owner(self, partition, message, timeout_seconds=2.0):
        """Send a request to a partition's owner.

        Returns
        -------
        Result
            ``Ok(reply)`` or ``Err(Failure)``. A partition of this member is handled
            locally, without the timeout.
        """
        record = self.find_owner(partition)
        if record is None:
            return Err(
                Failure(
                    code=ErrorCode.NOT_OWNER,
                    step=f"find owner of {partition}",
                    reason="no owner is known",
                    retry_after_ms=500,
                )
            )
        if record.member == self.member:
            try:
                reply = await self._handle(message, None)
            except FailureError as error:
                return Err(error.failure)
            return Err(reply) if isinstance(reply, Failure) else Ok(reply)
        return await self.peers.call(record.peer_address, message, timeout_seconds)

    async def refresh(self, scan_members=True):
        """Refresh the cached ownership and members; return whether that succeeded.

        Without `scan_members` only the records of the watched members are read.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        watched = self._list_watched()
        gets = [Get(key=OWNERSHIP_KEY, known_version=self.ownership_version)]
        gets += [
            Get(key=member_key(name), known_version=self._versions.get(name, 0))
            for name in watched
        ]
        scans = [Scan(prefix=MEMBER_PREFIX)] if scan_members else []
        answer = await self.table.read(Read(gets=gets, scans=scans))
        if answer.is_err():
            self.lease_monitor.reset()
            return False
        reply = answer.unwrap()
        rows = [row for row in reply.gets[1:] if row.version]
        rows += [row for page in reply.scans for row in page.rows]
        if scan_members:
            self._scanned_at = loop.time()
        self._update_members(rows, started, loop.time())
        self._update_ownership(reply.gets[0])
        self.refreshes.on_next(self.ownership_version)
        return True

    async def announce(self, message, records=None):
        """Send a message to the other members, or to `records`; ignore failures."""
        calls = [
            self.peers.call(record.peer_address, message, ANNOUNCE_TIMEOUT_SECONDS)
            for record in (records or self.list_members())
            if record.member != self.member
        ]
        await asyncio.gather(*calls)

    async def _handle_message(self, message, hello):
        if isinstance(message, AnnounceOwnership):
            is_known = hello.member in self.members
            if message.version > self.ownership_version or not is_known:
                await self.refresh()
            return Done()
        return await self._handle(message, hello)

    def _make_member_row(self, token):
        self.record = self.record.with_changes(token=token)
        return self.record.model_dump()

    async def _join(self):
        """Replace the member's row, retrying until stored; return its version.

        The token in the row shows whether a write whose reply was lost was stored.
        """
        key = member_key(self.member)
        token = secrets.token_hex(8)
        while True:
            answer = await self.table.read_row(key)
            if answer.is_ok():
                row = answer.unwrap()
                if row.value is not None and row.value.get("token") == token:
                    return row.version
                self.has_predecessor = row.value is not None
                write = Write(
                    checks=[Check(key=key, version=row.version)],
                    puts=[Put(key=key, value=self._make_member_row(token))],
                )
                sent_at = asyncio.get_running_loop().time()
                reply = await self._port.transact(write)
                if reply.is_ok() and reply.unwrap().committed:
                    self.committer.confirmed_at = sent_at
                    return reply.unwrap().version
            log.warning("join_retried", peer=TABLE_PEER)
            await asyncio.sleep(JOIN_RETRY_SECONDS)

    async def _renew_lease(self):
        interval = self._timing.heartbeat_seconds
        while not self.is_fenced:
            now = asyncio.get_running_loop().time()
            due = self.committer.confirmed_at + interval
            if now < due:
                await asyncio.sleep(max(due - now, MIN_SLEEP_SECONDS))
                continue
            answer = await self.committer.commit(Write(), "heartbeat")
            if answer.is_err():
                await asyncio.sleep(interval)

    async def _refresh_periodically(self):
        loop = asyncio.get_running_loop()
        while True:
            # Wakes up when a watched lease may expire, not a heartbeat later.
            until_expiry = self.lease_monitor.find_expiry_wait_seconds(
                self._list_watched(), loop.time()
            )
            pause = min(self._timing.heartbeat_seconds, until_expiry)
            await asyncio.sleep(max(pause, MIN_SLEEP_SECONDS))
            is_due = loop.time() - self._scanned_at >= SCAN_INTERVAL_SECONDS
            await self.refresh(scan_members=is_due)

    def _list_watched(self):
        if self.record.role != Role.SCHEDULER:
            return []
        names = [record.member for record in self.list_members(Role.SCHEDULER)]
        expired = [name for name in names if self.lease_monitor.has_expired(name)]
        return list_watched(self.member, names, expired)

    def _update_members(self, rows, started, ended):
        changed = False
        for row in rows:
            name = row.key.removeprefix(MEMBER_PREFIX)
            self.lease_monitor.record(name, row.version, started, ended)
            if row.value is None or self._versions.get(name) == row.version:
                continue
            self._versions[name] = row.version
            record = decode_member(row, self._unreadable)
            if record is None:
                continue
            previous = self.members.get(name)
            self.members[name] = record
            changed = changed or differs_ignoring_token(previous, record)
        if changed:
            self.member_changes.on_next(self.members)

    def _update_ownership(self, row):
        is_known = row.unchanged or row.version <= self.ownership_version
        found = None if is_known else decode_ownership(row, self._unreadable)
        if found is None:
            return
        self.ownership_version = row.version
        self.ownership = found
        self.ownership_changes.on_next(self.ownership)
