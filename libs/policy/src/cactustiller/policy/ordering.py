"""Order in which waiting jobs are considered."""

from cactustiller.model import Urgency

URGENCY_RANK = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.IDLE: 2}


def order_jobs(snapshot):
    """Return the waiting jobs, most deserving first.

    Urgent work goes first; then the team that uses least for its share, the
    earliest deadline and the longest wait.
    """

    def rank(job):
        team = snapshot.teams[job.spec.team]
        waited = snapshot.now - job.submitted_at
        aged = waited >= job.ageing_seconds
        deadline = job.deadline_at or float("inf")
        return (
            0 if aged else URGENCY_RANK[job.spec.urgency],
            team.used.cpu_millis / team.share_weight,
            deadline,
            job.submitted_at,
            job.job,
        )

    return sorted(snapshot.jobs, key=rank)
