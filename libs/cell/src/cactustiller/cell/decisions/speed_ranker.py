"""Preference for workers that are not slow; no I/O.

Answers gangs and urgent tasks on slow workers while faster ones are free.
"""


class SpeedRanker:
    """Ranks slow workers behind the others for urgent steps and gangs.

    Other batch steps are not affected: moved to slow workers, they would miss their
    objectives, since these are computed from durations at nominal speed.

    Parameters
    ----------
    speeds : SpeedEstimates
    find_rules : callable
        Returns the `QueueRules` of a job.
    """

    # A gang runs at the speed of its slowest member; see `PlacementRound.rank_pace`.
    sets_gang_pace = True

    def __init__(self, speeds, find_rules):
        self._speeds = speeds
        self._find_rules = find_rules

    def rank(self, step, worker):
        """Return by how many fifths a worker is slow; 0 for batch steps."""
        rank = self._speeds.find_rank(worker)
        if rank and (step.spec.is_gang or self._find_rules(step.job).priority == 0):
            return rank
        return 0
