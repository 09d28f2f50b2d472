"""Which jobs a team's share covers."""

# Seconds of a team's share that it may send at once.
BURST_SECONDS = 3.0


class ShareMeter:
    """Counts each team's jobs against its weight in jobs a second."""

    def __init__(self):
        self._levels = {}

    def is_over(self, team, spec):
        """Count a job and return whether it is beyond the team's share.

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
