"""Calls of a member to the owner of its cell, which may be the member itself."""

import asyncio

from result import Err

from cactustiller.model import ErrorCode, Failure, Outcome
from cactustiller.model.messages import HandInJob

from .insertion import Acceptance

# The owner answers after its current and its next transaction; this is enough for three
# transactions of a slow store.
SUBMIT_TIMEOUT_SECONDS = 2.3
# Minimum wait for the owner's answer; afterwards the call is abandoned once the owner's
# announcements are missing.
MIN_SUBMIT_TIMEOUT_SECONDS = 0.6
# Owners announce themselves every 0.7 s.
OWNER_ANNOUNCEMENT_TIMEOUT_SECONDS = 1.1
ANNOUNCEMENT_CHECK_SECONDS = 0.1
# After a failed call the owner is not called again until another member has had time
# to take over.
SUSPECT_SECONDS = 2.0
# Together these outlast a takeover, which takes about 3 s.
MAX_NOTIFY_ATTEMPTS = 12
NOTIFY_RETRY_SECONDS = 0.25
UNREACHABLE_CODES = (ErrorCode.TIMEOUT, ErrorCode.UNAVAILABLE)


class OwnerCaller:
    """Forwards submissions and cancellations to the owner of the cell.

    Parameters
    ----------
    peers : PeerClient
    find_owner : callable
        Returns the `Owner` if this member owns the cell or else None, the address of
        the owning member, empty if unknown, and its epoch.
    election : Election
        Is told of owners whose process refuses connections.
    """

    def __init__(self, peers, find_owner, election):
        self._peers = peers
        self._find_owner = find_owner
        self._election = election
        self._suspects = {}
        self._announced_at = {}
        self._tasks = set()

    def mark_announced(self, address):
        """Record that the owner at an address announced itself."""
        self._announced_at = {address: asyncio.get_running_loop().time()}

    async def forward(self, message):
        """Return the owner's answer, or a failure if the owner is unknown or suspect.

        An owner that does not answer becomes suspect.
        """
        owner, address, _ = self._find_owner()
        if owner is not None:
            answer = await self._call_local_owner(owner, message)
        elif not address or self._is_suspect(address):
            return _make_failure(
                ErrorCode.NOT_OWNER, "no owner is known", Outcome.NOT_RUN
            )
        else:
            answer = await self._call_owner(address, message)
            if answer.is_err() and answer.unwrap_err().code in UNREACHABLE_CODES:
                self._suspects = {address: asyncio.get_running_loop().time()}
                if answer.unwrap_err().code is ErrorCode.UNAVAILABLE:
                    self._election.suspect_owner(address)
        return answer

    async def _call_owner(self, address, message):
        """Call the owner; abandon the call once its announcements are missing."""
        loop = asyncio.get_running_loop()
        call = asyncio.create_task(
            self._peers.call(address, message, SUBMIT_TIMEOUT_SECONDS)
        )
        try:
            await asyncio.wait([call], timeout=MIN_SUBMIT_TIMEOUT_SECONDS)
            while not call.done():
                announcement_age = loop.time() - self._announced_at.get(
                    address, float("-inf")
                )
                if announcement_age > OWNER_ANNOUNCEMENT_TIMEOUT_SECONDS:
                    return _make_failure(
                        ErrorCode.TIMEOUT,
                        "the owner neither answers nor announces itself",
                    )
                await asyncio.wait([call], timeout=ANNOUNCEMENT_CHECK_SECONDS)
            return call.result()
        finally:
            call.cancel()

    def notify_later(self, message, outcome):
        """Notify the owner of a row stored by this member, ahead of the change feed."""
        if outcome is Acceptance.ACCEPTED:
            task = asyncio.create_task(self._notify(message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _notify(self, message):
        for _ in range(MAX_NOTIFY_ATTEMPTS):
            if (await self.forward(message)).is_ok():
                return
            await asyncio.sleep(NOTIFY_RETRY_SECONDS)

    async def _call_local_owner(self, owner, message):
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_SECONDS):
                return await serve_owner_call(owner, message)
        except TimeoutError:
            return _make_failure(ErrorCode.TIMEOUT, "the store does not answer")

    def is_owner_silent(self):
        """Return whether the announcements of every owner are missing."""
        heard_at = max(self._announced_at.values(), default=float("-inf"))
        age = asyncio.get_running_loop().time() - heard_at
        return age > OWNER_ANNOUNCEMENT_TIMEOUT_SECONDS

    def _is_suspect(self, address):
        """Return whether a recent call to an owner failed and no announcement came."""
        failed_at = self._suspects.get(address, float("-inf"))
        if self._announced_at.get(address, float("-inf")) > failed_at:
            return False
        return asyncio.get_running_loop().time() < failed_at + SUSPECT_SECONDS


def _make_failure(code, reason, outcome=Outcome.UNKNOWN):
    return Err(
        Failure(
            code=code, step="store job", peer="owner", reason=reason, outcome=outcome
        )
    )


async def serve_owner_call(owner, message):
    """Pass a job or a cancellation to the owner in this process."""
    if isinstance(message, HandInJob):
        return await owner.submit(message.job, message.row.encode())
    return await owner.withdraw(message.job)
