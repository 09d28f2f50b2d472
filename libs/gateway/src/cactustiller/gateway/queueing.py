"""Requests that wait for a slot, the most urgent first."""

import asyncio
from collections import deque
from typing import NamedTuple

from cactustiller.model import Urgency

RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


class Waiter(NamedTuple):
    """Request that waits; `excluded` executors do not suit it."""

    future: asyncio.Future
    rank: int
    excluded: tuple


class RequestQueue:
    """Waiting requests by urgency, in order of arrival within one."""

    def __init__(self):
        self._queues = tuple(deque() for _ in RANKS)

    def __len__(self):
        return sum(map(len, self._queues))

    def count_ahead(self, urgency):
        """Return the number of requests that go before a new one."""
        return sum(map(len, self._queues[: RANKS[urgency] + 1]))

    def add(self, urgency, excluded):
        """Append and return a `Waiter`."""
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(future, RANKS[urgency], excluded)
        self._queues[waiter.rank].append(waiter)
        return waiter

    def remove(self, waiter):
        """Remove a waiter that has not been served."""
        queue = self._queues[waiter.rank]
        if waiter in queue:
            queue.remove(waiter)

    def assign(self, slot):
        """Give a slot to the first request that it suits; return whether one did."""
        for queue in self._queues:
            for waiter in queue:
                if not waiter.future.done() and slot.executor not in waiter.excluded:
                    queue.remove(waiter)
                    waiter.future.set_result(slot)
                    return True
        return False
