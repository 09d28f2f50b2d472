"""Announcements of an owner to the other members, and the handover to one of them."""

import asyncio

from cactustiller.model.messages import AnnounceOwner, AnnounceOwnership, HandOver

from ..records.claims import choose_standbys
from ..reporting.events import Event, log_event

# Members that can't reach the store learn of the owner and of a new desired state from
# announcements only; configuration changes must arrive within 2 s.
ANNOUNCE_INTERVAL_SECONDS = 0.7
# Interval while no other members are known.
NO_MEMBERS_RETRY_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 0.25
# Members called in turn, until one answers, when the cell is released.
MAX_SUCCESSORS_NOTIFIED = 3


class Announcer:
    """Announces the owner to all members and hands the cell over to one of them.

    Parameters
    ----------
    peers : PeerClient
    member_registry : MemberRegistry
        Lists the members in the order in which they are asked to take over. Of equally
        strong members, the one started last is first: members are restarted in turn, so
        its own next restart is the furthest away.
    record : OwnerRecord
    """

    def __init__(self, peers, member_registry, record):
        self._peers = peers
        self._member_registry = member_registry
        self._record = record
        self._answered_at = {}

    def find_unreachable(self, seconds):
        """Return the addresses that have not answered for that many seconds."""
        now = asyncio.get_running_loop().time()
        return [
            address
            for address in self._member_registry.find_addresses()
            if now - self._answered_at.get(address, now) > seconds
        ]

    async def announce(self, get_desired_version):
        """Announce the owner to all members periodically.

        Announcements include the version of the desired state for members that can't
        reach the store.
        """
        while True:
            desired_version = get_desired_version()
            addresses = self._member_registry.find_addresses()
            standbys = choose_standbys(self._member_registry.list_strengths())
            answers = await asyncio.gather(
                *(
                    self._peers.call(
                        address,
                        self._make_announcement(desired_version, address in standbys),
                        ANNOUNCE_INTERVAL_SECONDS,
                    )
                    for address in addresses
                )
            )
            now = asyncio.get_running_loop().time()
            for address, answer in zip(addresses, answers, strict=True):
                if answer.is_ok():
                    self._answered_at[address] = now
                self._answered_at.setdefault(address, now)
            await asyncio.sleep(
                ANNOUNCE_INTERVAL_SECONDS if addresses else NO_MEMBERS_RETRY_SECONDS
            )

    def _make_announcement(self, desired_version, is_standby):
        return AnnounceOwner(
            epoch=self._record.epoch,
            member=self._record.member,
            address=self._record.address,
            desired_version=desired_version,
            is_standby=is_standby,
        )

    async def notify_successor(self):
        """Notify the first member that answers that the cell is released."""
        message = AnnounceOwnership(version=self._record.epoch)
        await self._call_first(message, MAX_SUCCESSORS_NOTIFIED)

    async def request_handover(self):
        """Ask members in turn to take over until the store answers one of them."""
        message = HandOver(epoch=self._record.epoch)
        successor = await self._call_first(message, None)
        if successor:
            log_event(
                Event.HANDOVER_ASKED, epoch=self._record.epoch, successor=successor
            )

    async def _call_first(self, message, limit):
        """Call members in turn until one accepts; return its address or ``""``."""
        for address in self._member_registry.find_addresses()[:limit]:
            answer = await self._peers.call(address, message, CALL_TIMEOUT_SECONDS)
            if answer.is_ok():
                return address
        return ""
