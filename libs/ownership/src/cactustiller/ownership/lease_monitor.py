"""Detection of expired member leases.

A lease has expired when successful reads have returned the same version of the
member's row for the lease's length. That time is measured from the end of the first
read to the start of the last, so that neither a slow read nor a paused reader makes
a lease expire early. A failed read discards all observations, so that an outage of
the table service is not mistaken for the failure of every member.
"""

from dataclasses import dataclass

# Covers a rate difference of 2 % between the clocks of two members.
CLOCK_RATE_MARGIN = 1.02


@dataclass
class _Observation:
    version: int
    first_read_ended: float
    last_read_started: float


class LeaseMonitor:
    """Observes the versions of members' rows; times are loop time in seconds."""

    def __init__(self, lease_seconds):
        self._needed_seconds = lease_seconds * CLOCK_RATE_MARGIN
        self._observations = {}

    def record(self, member, version, read_started, read_ended):
        """Record the version of a member's row that a read returned."""
        observation = self._observations.get(member)
        if observation is None or observation.version != version:
            self._observations[member] = _Observation(version, read_ended, read_started)
            return
        observation.last_read_started = read_started

    def reset(self):
        """Discard all observations, after a failed read."""
        self._observations.clear()

    def drop(self, member):
        """Discard the observations of one member."""
        self._observations.pop(member, None)

    def find_expiry_wait_seconds(self, members, now):
        """Return the seconds until the next of the members' leases may expire.

        Infinite if no lease of these members is observed; expired ones are ignored.
        """
        waits = [
            observation.first_read_ended + self._needed_seconds - now
            for name, observation in self._observations.items()
            if name in members and not self.has_expired(name)
        ]
        return max(0.0, min(waits, default=float("inf")))

    def has_expired(self, member):
        """Return whether the member's row was unchanged for a whole lease."""
        observation = self._observations.get(member)
        if observation is None:
            return False
        unchanged_seconds = observation.last_read_started - observation.first_read_ended
        return unchanged_seconds >= self._needed_seconds
