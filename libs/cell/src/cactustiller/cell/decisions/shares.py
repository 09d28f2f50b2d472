"""Metering of each team's accepted jobs against its share, by a leaky bucket.

Jobs over the share are scheduled after all others, but not refused.
"""

# Size of the bucket in seconds: a burst of as many jobs as the team's rate allows in
# this time stays within its share.
BURST_SECONDS = 3.0


class ShareMeter:
    """Meters each team's accepted jobs against its weight in jobs per second."""

    def __init__(self):
        self._levels = {}

    def is_over(self, team, spec):
        """Return whether a job exceeds the team's share; count it if it does not.

        Always false for an unknown team and for a weight of 0.

        Parameters
        ----------
        team : Team or None
        spec : JobSpec
        """
        if team is None or team.weight <= 0:
            return False
        now = spec.accepted_ms / 1000
        level, at = self._levels.get(team.name, (0.0, now))
        level = max(0.0, level - max(0.0, now - at) * team.weight)
        is_over = level + 1 > team.weight * BURST_SECONDS
        self._levels[team.name] = (level if is_over else level + 1, max(at, now))
        return is_over
