"""Early refusal of requests that cannot be served in time."""

import asyncio

from cactustiller.model import ErrorCode

from .errors import refuse

LONGEST_WAIT_SECONDS = 2.0
WAIT_SHARE = 0.5
SMOOTHING = 0.1
RETRY_AFTER_MS = 1000
LONGEST_RETRY_AFTER_MS = 30_000


class Admission:
    """Expected waits of one service, from what its requests have taken lately.

    Parameters
    ----------
    service : ServiceName
    """

    def __init__(self, service):
        self._service = service
        self._seconds = 0.0
        self._recorded_at = float("-inf")

    def record(self, seconds):
        """Take in how long one request has used its slot."""
        self._recorded_at = asyncio.get_running_loop().time()
        if not self._seconds:
            self._seconds = seconds
            return
        self._seconds += SMOOTHING * (seconds - self._seconds)

    def check(self, ahead, waiting, slots, seconds, max_waiting):
        """Refuse at once a request that would wait too long.

        Parameters
        ----------
        ahead, waiting : int
            Requests that go before it, and all that wait.
        slots : int
            Slots that the gateway holds.
        seconds : float
            Time left until the request's deadline.
        max_waiting : int

        Raises
        ------
        FailureError
            Not run, with the time after which to try again.
        """
        if waiting >= max_waiting:
            raise self.refuse(f"{waiting} requests wait already")
        expected = self.estimate_wait(ahead, slots)
        if expected + self._seconds > seconds or expected > self.limit_wait(seconds):
            reason = f"the wait for a slot would be about {expected:.2f} s"
            raise self.refuse(reason, expected)

    def estimate_wait(self, ahead, slots):
        """Return the expected wait behind `ahead` requests in seconds."""
        return (ahead + 1) * self._seconds / max(1, slots) if slots else 0.0

    def limit_wait(self, seconds):
        """Return how long a request may wait, so that its answer is not held back."""
        return min(LONGEST_WAIT_SECONDS, WAIT_SHARE * seconds)

    def refuse(self, reason, expected_seconds=0.0):
        """Return the error of a request that gets no slot."""
        retry_after_ms = max(RETRY_AFTER_MS, int(expected_seconds * 1000))
        return refuse(
            ErrorCode.OVERLOADED,
            f"wait for a slot of {self._service}",
            reason,
            retry_after_ms=min(retry_after_ms, LONGEST_RETRY_AFTER_MS),
        )
