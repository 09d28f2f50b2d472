"""Samples log lines by job once an event exceeds a rate."""

import time
import zlib
from collections import Counter

# Limit for each event. A cell of the design size starts 56 tasks a second and three
# times as many in bursts; a line takes about 250 bytes.
MAX_LINES_PER_SECOND = 250
# Above that limit, all lines of one job in this many are still written.
SAMPLE_ONE_JOB_IN = 16


class LogSampler:
    """Decides which lines are written and counts the suppressed ones.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._second = 0
        self._written = Counter()
        self._suppressed = Counter()

    def allows(self, event, job):
        """Return whether a line may be written.

        Parameters
        ----------
        event : str
        job : str
            Job that the line refers to; empty if none.
        """
        self._start_second()
        if self._written[event] < MAX_LINES_PER_SECOND or _is_sampled(job):
            self._written[event] += 1
            return True
        self._suppressed[event] += 1
        return False

    def take_suppressed(self):
        """Return and reset the suppressed lines by event, once their second is over."""
        if not self._suppressed or int(self._clock()) == self._second:
            return {}
        counts, self._suppressed = dict(self._suppressed), Counter()
        return counts

    def _start_second(self):
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()


def _is_sampled(job):
    return bool(job) and zlib.crc32(job.encode()) % SAMPLE_ONE_JOB_IN == 0
