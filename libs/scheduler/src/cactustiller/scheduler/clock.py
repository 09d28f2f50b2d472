"""Clocks other than the loop's."""

import asyncio
import time
from dataclasses import dataclass

CLOCK_RATE_MARGIN = 1.02


class WallClock:
    """Seconds since the Unix epoch, advanced by the loop's clock.

    Parameters
    ----------
    epoch_seconds : float, optional
        Unix time at construction; the system's by default.
    """

    def __init__(self, epoch_seconds=None):
        loop_seconds = asyncio.get_running_loop().time()
        start = time.time() if epoch_seconds is None else epoch_seconds
        self._offset = start - loop_seconds

    def now(self):
        """Return seconds since the Unix epoch."""
        return self._offset + asyncio.get_running_loop().time()


@dataclass
class WorkerClock:
    """Bounds of a worker's clock, from its last answer.

    Parameters
    ----------
    reported : float
        The worker's clock in seconds, taken before `received_at`.
    received_at : float
        Loop time at which the answer was read.
    """

    reported: float = 0.0
    received_at: float = float("-inf")

    def estimate(self, now):
        """Return the worker's clock at loop time `now`, or a little less."""
        return self.reported + (now - self.received_at)

    def has_surely_passed(self, moment, now):
        """Return whether the worker's clock is past `moment` at any allowed rate."""
        elapsed = (now - self.received_at) / CLOCK_RATE_MARGIN
        return self.reported + elapsed > moment
