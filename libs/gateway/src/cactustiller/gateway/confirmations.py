"""Confirmation of held permits by the gateways while the pool has no owner."""

import asyncio

from cactustiller.model import Role
from cactustiller.model.messages import HeldPermits, ReportPermits

CALL_TIMEOUT_SECONDS = 0.8
CONFIRMATION_SECONDS = 4.0
MAX_SECONDS_WITHOUT_LEASE = 600.0


async def confirm_ballot(member, service, ballot):
    """Return the loop time until which no slot of the ballot is granted anew.

    A new owner, and one that frees the slots of a silent gateway, first has a
    majority of the gateways follow a higher ballot, then waits for longer than
    `CONFIRMATION_SECONDS`. So a majority that still follows this one proves
    that nothing was freed yet.

    Returns
    -------
    float or None
        ``None`` where a majority does not confirm the ballot.
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
    # A gateway that restarted has forgotten its ballot, so it does not count.
    confirmed = 1 + ballots.count(ballot)
    if 2 * confirmed <= len(others) + 1:
        return None
    return asked_at + CONFIRMATION_SECONDS
