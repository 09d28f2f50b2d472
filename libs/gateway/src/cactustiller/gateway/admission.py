"""Early refusal of requests that cannot be served in time."""

import asyncio

from cactustiller.model import ErrorCode

from .errors import make_refusal

MAX_WAIT_SECONDS = 2.0
MAX_WAIT_FRACTION = 0.5
SMOOTHING_FACTOR = 0.1
MIN_RETRY_AFTER_MS = 1000
MAX_RETRY_AFTER_MS = 30_000


class AdmissionControl:
    """Expected waits of one service, from what its requests have taken lately.

    Parameters
    ----------
    service : ServiceName
    """

    def __init__(self, service):
        self._service = service
        self._mean_seconds = 0.0
        self._recorded_at = float("-inf")

    def record(self, seconds):
        """Take in how long one request has used its slot."""
        self._recorded_at = asyncio.get_running_loop().time()
        if not self._mean_seconds:
            self._mean_seconds = seconds
            return
        self._mean_seconds += SMOOTHING_FACTOR * (seconds - self._mean_seconds)

    def check(self, ahead, queued, slots, seconds, max_queued):
        """Refuse at once a request that would wait too long.

        Parameters
        ----------
        ahead, queued : int
            Requests that go before it, and all that wait.
        slots : int
            Slots that the gateway holds.
        seconds : float
            Time left until the request's deadline.
        max_queued : int

        Raises
        ------
        FailureError
            Not run, with the time after which to try again.
        """
        if queued >= max_queued:
            raise self.make_refusal(f"{queued} requests wait already")
        wait = self.estimate_wait(ahead, slots)
        if wait + self._mean_seconds > seconds or wait > self.get_max_wait(seconds):
            reason = f"the wait for a slot would be about {wait:.2f} s"
            raise self.make_refusal(reason, wait)

    def estimate_wait(self, ahead, slots):
        """Return the expected wait behind `ahead` requests in seconds."""
        return (ahead + 1) * self._mean_seconds / max(1, slots) if slots else 0.0

    def get_max_wait(self, seconds):
        """Return how long a request may wait, so that its answer is not held back."""
        return min(MAX_WAIT_SECONDS, MAX_WAIT_FRACTION * seconds)

    def make_refusal(self, reason, expected_seconds=0.0):
        """Return the error of a request that gets no slot."""
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(expected_seconds * 1000))
        return make_refusal(
            ErrorCode.OVERLOADED,
            f"wait for a slot of {self._service}",
            reason,
            retry_after_ms=min(retry_after_ms, MAX_RETRY_AFTER_MS),
        )
