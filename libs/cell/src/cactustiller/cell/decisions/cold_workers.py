"""Preference for workers that are not slow after their start; no I/O.

Answers the end of an evacuation, when all workers of a zone come back at once, empty
and slow: tasks use the workers of other zones as long as these have capacity, and cold
workers take the rest.
"""


class ColdWorkerRanker:
    """Ranks workers that are slow after their start behind the others.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    """

    def __init__(self, clock):
        self._clock = clock

    def rank(self, step, worker):
        """Return 1 for a worker that is still slow, else 0."""
        if not worker.cold_until:
            return 0
        return int(self._clock() < worker.cold_until)
