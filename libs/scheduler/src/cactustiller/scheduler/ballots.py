"""Ballots by which a pool's owner confirms its right to grant slots.

A ballot consists of the epoch of the pool's partition and a round number of its
owner. Each gateway follows the highest ballot that it has seen, like an acceptor of
Paxos. If a majority of the gateways confirms an owner's ballot, no newer owner has
granted slots, since any two majorities have a gateway in common.
"""

import asyncio
from typing import NamedTuple

from cactustiller.model.messages import HeldPermits, ReportPermits

# A ballot holds, from its highest bits, the epoch, the generation and the round.
ROUND_BITS = 40
GENERATION_BITS = 20
CONFIRMED_SECONDS = 1.5
# Epochs grow by one with each owner, and gateways read them with each heartbeat.
MAX_EPOCH_LEAD = 1000


def make_ballot(epoch, round_number=0):
    """Return the ballot for an epoch and a round.

    Round 0 is lower than every ballot that an owner uses. It stands for an epoch that
    a gateway has read from the table service without seeing a ballot of it.
    """
    return (epoch << ROUND_BITS) + round_number


def is_plausible(ballot, epoch):
    """Return whether a ballot can be one of a pool whose last known epoch is `epoch`.

    A gateway follows no lower ballot afterwards, so a malformed one would block it.
    """
    return 0 <= ballot < make_ballot(epoch + MAX_EPOCH_LEAD)


class BallotOutcome(NamedTuple):
    """Replies of the gateways that confirm a ballot, and names of the others."""

    replies: list[HeldPermits]
    unconfirmed: list[str]
    has_majority: bool


class Ballots:
    """Current ballot of an owner, and the time until which it is confirmed.

    Parameters
    ----------
    service : ServiceName
    epoch : int
    generation : int
        Number of pools that this process created before; orders pools of one epoch.
    """

    def __init__(self, service, epoch, generation=0):
        self.current = make_ballot(epoch, (generation << GENERATION_BITS) + 1)
        self.confirmed_until = float("-inf")
        self.is_superseded = False
        self._service = service

    def start_round(self):
        """Start a new round, so that earlier ballots are no longer confirmed."""
        self.current += 1

    def supersede(self):
        """Give up the right to grant permanently."""
        self.is_superseded = True

    async def confirm(self, call_gateways):
        """Ask all gateways to confirm the ballot; return a `BallotOutcome`."""
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
