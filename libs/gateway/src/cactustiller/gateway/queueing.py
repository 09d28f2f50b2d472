"""Queue of requests for a slot, the most urgent first."""

import asyncio
from collections import deque
from typing import NamedTuple

from cactustiller.model import Urgency

RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


class Waiter(NamedTuple):
    """Queued request; it must not be sent to the `excluded` executors."""

    future: asyncio.Future
    rank: int
    excluded: tuple


class RequestQueue:
    """Queued requests by urgency, first in, first out within one urgency."""

    def __init__(self):
        self._queues = tuple(deque() for _ in RANKS)

    def __len__(self):
        return sum(map(len, self._queues))

    def count_ahead(self, urgency):
        """Return the number of requests ahead of a new one of this urgency."""
        return sum(map(len, self._queues[: RANKS[urgency] + 1]))

    def add(self, urgency, excluded):
        """Append a request and return its `Waiter`."""
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(future, RANKS[urgency], excluded)
        self._queues[waiter.rank].append(waiter)
        return waiter

    def remove(self, waiter):
        """Remove a waiter unless it has been assigned a slot."""
        queue = self._queues[waiter.rank]
        if waiter in queue:
            queue.remove(waiter)

    def assign(self, slot):
        """Give a slot to the first request that does not exclude its executor.

        Returns
        -------
        bool
            Whether there was such a request.
        """
        for queue in self._queues:
            for waiter in queue:
                if not waiter.future.done() and slot.executor not in waiter.excluded:
                    queue.remove(waiter)
                    waiter.future.set_result(slot)
                    return True
        return False
