"""Circuit breaker that measures time with the event loop's clock."""

import asyncio

OPEN_AFTER_FAILURES = 4
INITIAL_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 2.0


class CircuitBreaker:
    """Refuses calls after repeated failures, for an exponential, jittered pause.

    The breaker opens at the `OPEN_AFTER_FAILURES`-th consecutive failure. After the
    pause it allows calls again; a failure opens it for twice as long, up to
    `MAX_PAUSE_SECONDS`, and a success resets it.

    Parameters
    ----------
    generator : random.Random
        Random numbers for the jitter.
    """

    def __init__(self, generator):
        self._random = generator
        self._failures = 0
        self._open_until = 0.0

    def allows(self):
        """Return whether a call may be made now."""
        return self.retry_after_seconds() == 0.0

    def retry_after_seconds(self):
        """Return the seconds until the next call may be made."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._open_until - now)

    def record(self, succeeded):
        """Record whether a call succeeded."""
        if succeeded:
            self._failures = 0
            self._open_until = 0.0
            return
        self._failures += 1
        excess = self._failures - OPEN_AFTER_FAILURES
        if excess < 0:
            return
        pause = min(MAX_PAUSE_SECONDS, INITIAL_PAUSE_SECONDS * 2 ** min(excess, 10))
        now = asyncio.get_running_loop().time()
        self._open_until = now + self._random.uniform(pause / 2, pause)
