"""Evidence that a member has stopped renewing its row.

A member has lapsed when its row kept one version over a lease's length of
successful reads. The length is taken from the end of the first read to the start
of the last, so that neither a slow read nor a pause of the reader shortens it; a
failed read starts the evidence anew, so that an outage of the table service is
not taken for the death of everybody.
"""

from dataclasses import dataclass

CLOCK_RATE_MARGIN = 1.02


@dataclass
class _Observation:
    version: int
    first_read_ended: float
    last_read_started: float


class LeaseMonitor:
    """Sightings of members' rows, on the loop's clock in seconds."""

    def __init__(self, lease_seconds):
        self._needed_seconds = lease_seconds * CLOCK_RATE_MARGIN
        self._observations = {}

    def record(self, member, version, read_started, read_ended):
        """Record the version of a member's row."""
        observation = self._observations.get(member)
        if observation is None or observation.version != version:
            self._observations[member] = _Observation(version, read_ended, read_started)
            return
        observation.last_read_started = read_started

    def reset(self):
        """Forget all sightings, after a read failed."""
        self._observations.clear()

    def drop(self, member):
        """Forget the sightings of one member."""
        self._observations.pop(member, None)

    def find_expiry_wait_seconds(self, members, now):
        """Return the seconds after which a read may show that a member lapsed.

        Infinite where no member is close to that; members that have lapsed do not
        count.
        """
        waits = [
            observation.first_read_ended + self._needed_seconds - now
            for name, observation in self._observations.items()
            if name in members and not self.has_expired(name)
        ]
        return max(0.0, min(waits, default=float("inf")))

    def has_expired(self, member):
        """Return whether the member's row stood still for a whole lease."""
        observation = self._observations.get(member)
        if observation is None:
            return False
        unchanged_seconds = observation.last_read_started - observation.first_read_ended
        return unchanged_seconds >= self._needed_seconds
