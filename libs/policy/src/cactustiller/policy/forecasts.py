"""Predicted ends of waiting work, so that late work is said to be late early."""

from .snapshots import Amounts, LateJob

TEAMS_PER_ROUND = 8


class Forecaster:
    """Reviews the deadlines of a few teams in each decision, in turn."""

    def __init__(self):
        self._pending = []

    def review(self, state, now):
        """Return the `LateJob` of each job newly found to end too late.

        A team's work is taken to run in its order, at the team's fair share.
        """
        if not self._pending:
            self._pending = sorted(
                (name for name, team in state.teams.items() if team.deadline_jobs),
                reverse=True,
            )
        found = []
        for _ in range(min(TEAMS_PER_ROUND, len(self._pending))):
            team = state.teams.get(self._pending.pop())
            if team is not None and team.deadline_jobs:
                found += _review_team(state, team, now)
        return found


def _review_team(state, team, now):
    share = max(team.fair_share, team.dominant_share, 1e-6)
    ahead = 0.0
    found = []
    for key in sorted(
        key for shape_queue in team.shape_queues.values() for key in shape_queue
    ):
        job = state.jobs[key.job]
        need = Amounts.of(job.spec.template.resources)
        part = max(
            n / t for n, t in zip(need, state.fleet.cell_capacity_list, strict=True)
        )
        ahead += len(job.indices) * part * job.median_seconds / share
        finish = now + max(ahead, job.median_seconds)
        if job.deadline_at and finish > job.deadline_at:
            if key.job not in state.predicted_late:
                state.predicted_late.add(key.job)
                found.append(LateJob(key.job, job.deadline_at, finish))
        else:
            state.predicted_late.discard(key.job)
    return found
