"""Confirmation of a gateway's permits by the other gateways.

It extends the permits while the pool's owner does not answer.
"""

import asyncio

from cactustiller.model import Role
from cactustiller.model.messages import HeldPermits, ReportPermits

CALL_TIMEOUT_SECONDS = 0.8
CONFIRMATION_SECONDS = 4.0
MAX_SECONDS_WITHOUT_LEASE = 600.0


async def confirm_ballot(member, service, ballot):
    """Return the loop time until which no slot of the ballot is granted again.

    A new owner, and an owner that frees the slots of a gateway that does not answer,
    first has a majority of the gateways follow a higher ballot, then waits for
    longer than `CONFIRMATION_SECONDS`. A majority that still follows this ballot
    therefore proves that no slot has been freed yet.

    Returns
    -------
    float or None
        ``None`` if no majority confirms the ballot, or if this gateway's own lease
        expired more than `MAX_SECONDS_WITHOUT_LEASE` ago.
    """
    loop = asyncio.get_running_loop()
    asked_at = loop.time()
    if asked_at > member.lease_until + MAX_SECONDS_WITHOUT_LEASE:
        return None
    others = [
        record
        for record in member.list_members(Role.GATEWAY)
        if record.member != member.member
    ]
    message = ReportPermits(service=service, epoch=0)
    answers = await asyncio.gather(
        *(
            member.peers.call(record.peer_address, message, CALL_TIMEOUT_SECONDS)
            for record in others
        )
    )
    replies = [answer.ok() for answer in answers if answer.is_ok()]
    ballots = [reply.epoch for reply in replies if isinstance(reply, HeldPermits)]
    if any(other_ballot > ballot for other_ballot in ballots):
        return None
    # A restarted gateway has lost its ballot, so it does not count.
    confirmed = 1 + ballots.count(ballot)
    if 2 * confirmed <= len(others) + 1:
        return None
    return asked_at + CONFIRMATION_SECONDS
