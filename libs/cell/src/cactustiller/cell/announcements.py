"""What an owner tells the other members."""

import asyncio

from cactustiller.model.messages import AnnounceOwner, AnnounceOwnership, HandOver

from .events import Event, log_event

# Members that hear of an owner and of a desired state only from peers get it in time
# for the bound of 2 s on configuration changes.
ANNOUNCE_INTERVAL_SECONDS = 0.7
# Until the first members are known.
NO_MEMBERS_RETRY_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 0.25
MAX_SUCCESSORS_NOTIFIED = 3


class Announcer:
    """Tells members of the owner, and one of them that it may take over.

    Parameters
    ----------
    peers : PeerClient
    roster : Roster
        The youngest member is asked first: members are restarted in turn, so it
        stays the longest.
    record : OwnerRecord
    """

    def __init__(self, peers, member_registry, record):
        self._peers = peers
        self._member_registry = member_registry
        self._record = record
        self._answered_at = {}

    def find_unreachable(self, seconds):
        """Return the addresses that have not answered for so long."""
        now = asyncio.get_running_loop().time()
        return [
            address
            for address in self._member_registry.find_addresses()
            if now - self._answered_at.get(address, now) > seconds
        ]

    async def announce(self, get_desired_version):
        """Tell all members who owns the cell, again and again.

        Some may not reach the store, so the version of the desired state goes along.
        """
        while True:
            message = AnnounceOwner(
                epoch=self._record.epoch,
                member=self._record.member,
                address=self._record.address,
                desired_version=get_desired_version(),
            )
            addresses = self._member_registry.find_addresses()
            answers = await asyncio.gather(
                *(
                    self._peers.call(address, message, ANNOUNCE_INTERVAL_SECONDS)
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

    async def notify_successor(self):
        """Tell a member that the cell is released."""
        message = AnnounceOwnership(version=self._record.epoch)
        await self._call_first(message, MAX_SUCCESSORS_NOTIFIED)

    async def request_handover(self):
        """Ask a member to take over, if the store serves it."""
        message = HandOver(epoch=self._record.epoch)
        successor = await self._call_first(message, None)
        if successor:
            log_event(
                Event.HANDOVER_ASKED, epoch=self._record.epoch, successor=successor
            )

    async def _call_first(self, message, most):
        """Call members in turn until one agrees; return its address."""
        for address in self._member_registry.find_addresses()[:most]:
            answer = await self._peers.call(address, message, CALL_TIMEOUT_SECONDS)
            if answer.is_ok():
                return address
        return ""
