"""Reconciliation of partition ownership by one scheduler.

Partitions without a live owner are taken over; partitions that the current plan
assigns to another scheduler are handed over to it.
"""

import asyncio
import contextlib

import structlog

from cactustiller.model import Role
from cactustiller.model.messages import AnnounceOwnership
from cactustiller.ports import Check, Put, Write

from .planning import plan_owners
from .records import OWNERSHIP_KEY, member_key

MOVES_PER_ROUND = 6

log = structlog.get_logger(__name__)


class OwnershipReconciler:
    """Reconciles the ownership row with the set of live schedulers.

    Each change is a conditional commit on the version of the ownership row, so that
    concurrent reconcilers cannot overwrite each other's changes.

    Parameters
    ----------
    member : Member
    list_partitions : callable
        Returns the partitions that need an owner.
    release : callable
        Coroutine function that stops all work of a partition; called before it is
        handed over.
    resume : callable
        Function that resumes the work of a partition whose hand-over failed.
    interval_seconds : float
        Longest time between two rounds; each refresh of the member starts a round
        as well.
    """

    def __init__(self, member, list_partitions, release, resume, interval_seconds):
        self._member = member
        self._list_partitions = list_partitions
        self._release = release
        self._resume = resume
        self._interval_seconds = interval_seconds
        self._announcement_task = None

    async def run(self):
        """Reconcile ownership until cancelled."""
        refreshed = asyncio.Event()
        with self._member.refreshes.subscribe(lambda _: refreshed.set()):
            while True:
                refreshed.clear()
                await self.run_round()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._interval_seconds):
                        await refreshed.wait()

    async def run_round(self):
        """Take over partitions without a live owner, else hand over a few own ones.

        A round hands over at most `MOVES_PER_ROUND` partitions.
        """
        if self._member.is_fenced or self._member.ownership_version == 0:
            await self._member.refresh()
        expired = self._list_expired()
        moves = self._plan_takeover(expired)
        if moves:
            await self._take_over(moves, expired)
            return
        await self._hand_over(MOVES_PER_ROUND)

    async def hand_over_all(self):
        """Hand over all owned partitions; return whether none is left."""
        await self._hand_over(len(self._member.ownership.owners))
        return not self._member.ownership.list_owned(self._member.member)

    def _list_live(self):
        member = self._member
        return {
            record.member: record
            for record in member.list_members(Role.SCHEDULER)
            if not record.leaving
            and (
                record.member == member.member
                or not member.lease_monitor.has_expired(record.member)
            )
        }

    def _list_expired(self):
        member = self._member
        return [
            record
            for record in member.list_members(Role.SCHEDULER)
            if record.member != member.member
            and member.lease_monitor.has_expired(record.member)
        ]

    def _plan_takeover(self, expired):
        """Return the next owner's record by partition without a live owner."""
        member = self._member
        live = self._list_live()
        live.setdefault(member.member, member.record)
        partitions = set(self._list_partitions()) | set(member.ownership.owners)
        desired = plan_owners(partitions, live)
        expired_names = {record.member for record in expired}
        moves = {}
        for partition, target in desired.items():
            owner = member.ownership.owners.get(partition)
            if owner is None or self._is_orphaned(owner, expired_names):
                moves[partition] = live[target]
        return moves

    def _is_orphaned(self, owner, expired_names):
        if owner.member in expired_names:
            return True
        record = self._member.members.get(owner.member)
        if owner.member == self._member.member:
            record = self._member.record
        # A row that this version cannot read may belong to a live member.
        elif record is None and self._member.is_unreadable(owner.member):
            return self._member.lease_monitor.has_expired(owner.member)
        return (
            record is None or record.fenced or record.incarnation != owner.incarnation
        )

    async def _take_over(self, moves, expired):
        fenced_records = [
            record.with_changes(fenced=True, token="fenced") for record in expired
        ]
        checks = [
            Check(
                key=member_key(record.member),
                version=self._member.row_version_of(record.member),
            )
            for record in expired
        ]
        puts = [
            Put(key=member_key(record.member), value=record.model_dump())
            for record in fenced_records
        ]
        if await self._commit_moves(moves, checks, puts, "takeover"):
            for record in expired:
                self._member.lease_monitor.drop(record.member)

    async def _hand_over(self, limit):
        moves = self._plan_hand_over(limit)
        if not moves:
            return
        await asyncio.gather(*(self._release(partition) for partition in moves))
        if not await self._commit_moves(moves, [], [], "hand over"):
            for partition in moves:
                self._resume(partition)

    def _plan_hand_over(self, limit):
        """Return the next owner's record by partition to hand over, at most `limit`."""
        member = self._member
        live = self._list_live()
        if not live:
            return {}
        desired = plan_owners(member.ownership.owners, live)
        moves = {
            partition: live[desired[partition]]
            for partition in member.ownership.list_owned(member.member)
            if desired[partition] != member.member
        }
        return dict(sorted(moves.items())[:limit])

    async def _commit_moves(self, moves, checks, puts, purpose):
        member = self._member
        ownership = member.ownership.assign(moves)
        write = Write(
            checks=[member.ownership_check(), *checks],
            puts=[Put(key=OWNERSHIP_KEY, value=ownership.model_dump()), *puts],
        )
        answer = await member.committer.commit(write, purpose)
        if answer.is_err():
            log.info("ownership_not_changed", reason=str(answer.unwrap_err()))
        await member.refresh()
        if answer.is_err():
            return False
        log.info(
            "ownership_changed",
            purpose=purpose,
            partitions=sorted(moves),
            owners=sorted({record.member for record in moves.values()}),
            version=answer.unwrap(),
        )
        announcement = AnnounceOwnership(version=answer.unwrap())
        self._announcement_task = asyncio.create_task(member.announce(announcement))
        return True
