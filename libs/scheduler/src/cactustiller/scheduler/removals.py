"""Workers that the platform's list no longer names."""

import asyncio

REMOVAL_GRACE_SECONDS = 60.0


class RemovalTracker:
    """Tracks for how long workers are missing from the platform's list.

    The list lags behind, so it may not contain a new worker yet.
    """

    def __init__(self):
        self._missing_since = {}

    def list_removed(self, missing):
        """Return the workers that have been missing for `REMOVAL_GRACE_SECONDS`."""
        now = asyncio.get_running_loop().time()
        self._missing_since = {
            worker: self._missing_since.get(worker, now) for worker in sorted(missing)
        }
        return [
            worker
            for worker, since in self._missing_since.items()
            if now - since >= REMOVAL_GRACE_SECONDS
        ]
