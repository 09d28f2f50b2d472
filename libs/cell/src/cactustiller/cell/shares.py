"""Rate limit of each team's share, as a leaky bucket."""

# Size of a burst that stays within a team's share, in seconds of its rate.
BURST_SECONDS = 3.0


class ShareMeter:
    """Meters each team's accepted jobs against its weight in jobs per second."""

    def __init__(self):
        self._levels = {}

    def is_over(self, team, spec):
        """Count a job and return whether it exceeds the team's share.

        A job that exceeds the share does not fill the bucket.

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
