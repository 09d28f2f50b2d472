"""Wall clock and estimates of workers' clocks."""

import asyncio
import time
from dataclasses import dataclass

# Bound for the ratio of the rates of two machines' clocks.
CLOCK_RATE_MARGIN = 1.02


class WallClock:
    """Seconds since the Unix epoch, advanced by the loop's clock.

    Parameters
    ----------
    epoch_seconds : float, optional
        Unix time at construction; the system time by default.
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
    """Estimate of a worker's clock, based on its last answer.

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
        """Return the worker's clock at loop time `now`, or slightly less."""
        return self.reported + (now - self.received_at)

    def has_surely_passed(self, moment, now):
        """Return whether the worker's clock is past `moment` even if it runs slow."""
        elapsed = (now - self.received_at) / CLOCK_RATE_MARGIN
        return self.reported + elapsed > moment
