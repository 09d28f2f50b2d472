"""Ballots of a pool's owner, which a majority of the gateways confirms.

A ballot is the epoch of the pool's partition and a round of its owner. Gateways
follow the highest one they have heard of. Whoever needs to know that no newer owner
has granted slots asks all gateways: two majorities have a gateway in common.
"""

import asyncio
from typing import NamedTuple

from cactustiller.model.messages import HeldPermits, ReportPermits

ROUND_BITS = 40
GENERATION_BITS = 20
CONFIRMED_SECONDS = 1.5


def make_ballot(epoch, round_number=0):
    """Return the ballot of an epoch and a round.

    Round 0 is below every ballot of the epoch; who knows the epoch only from the
    table service follows none of it yet.
    """
    return (epoch << ROUND_BITS) + round_number


class BallotOutcome(NamedTuple):
    """Replies of the gateways that follow a ballot, and who did not answer."""

    replies: list[HeldPermits]
    unconfirmed: list[str]
    has_majority: bool


class Ballots:
    """Current ballot of an owner and how long it is known to be the highest.

    Parameters
    ----------
    service : ServiceName
    epoch : int
    generation : int
        How many pools this process has built before; orders those of one epoch.
    """

    def __init__(self, service, epoch, generation=0):
        self.current = make_ballot(epoch, (generation << GENERATION_BITS) + 1)
        self.confirmed_until = float("-inf")
        self.is_superseded = False
        self._service = service

    def start_round(self):
        """Begin a new round, after which older ballots are not confirmed."""
        self.current += 1

    def supersede(self):
        """Give up the right to grant for good."""
        self.is_superseded = True

    async def confirm(self, call_gateways):
        """Ask every gateway to follow the ballot; return a `BallotOutcome`."""
        loop = asyncio.get_running_loop()
        ballot = self.current
        asked_at = loop.time()
        message = ReportPermits(service=self._service, epoch=ballot)
        answers = await call_gateways(message)
        replies, unconfirmed = [], []
        for name, answer in answers.items():
            reply = answer.ok() if answer.is_ok() else None
            if not isinstance(reply, HeldPermits):
                unconfirmed.append(name)
            elif reply.epoch > ballot:
                self.supersede()
                unconfirmed.append(name)
            else:
                replies.append(reply)
        has_majority = 2 * len(replies) > len(answers) or not answers
        if has_majority:
            self.confirmed_until = asked_at + CONFIRMED_SECONDS
        return BallotOutcome(replies, unconfirmed, has_majority)
