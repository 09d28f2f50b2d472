"""Bounds the number of log lines of one kind."""

import time
import zlib
from collections import Counter

# A cell of the design size starts 56 tasks a second, bursts three times as many; a
# line takes some 250 bytes.
MAX_LINES_PER_SECOND = 250
# Beyond that, one job of so many is still told in full.
SAMPLE_ONE_JOB_IN = 16


class LogSampler:
    """Decides which lines are left out and counts them.

    Parameters
    ----------
    clock : callable
        Seconds.
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
            Job that the line is about; empty for none.
        """
        self._start_second()
        if self._written[event] < MAX_LINES_PER_SECOND or _is_sampled(job):
            self._written[event] += 1
            return True
        self._suppressed[event] += 1
        return False

    def take_suppressed(self):
        """Return the counts of a second that is over, by event."""
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
