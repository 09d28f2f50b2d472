"""Explanation of why a job is pending."""

import numpy as np

from .snapshots import Amounts


def explain_waiting(planner, job, now):
    """Return lines that explain why a job is pending and what precedes it.

    Parameters
    ----------
    planner : Planner
    job : JobId
    now : float
        Wall-clock seconds.
    """
    state = planner.state
    waiting = state.jobs.get(job)
    if waiting is None:
        return []
    if job in planner.parked:
        return [f"parked: {planner.parked[job]}"]
    team = state.teams[waiting.spec.team]
    shape_queue = state.get_shape_queue(job)
    key = state.get_key(job)
    allowed = team.count_allowed(shape_queue.shape.amounts)
    is_limited = allowed is not None and allowed < (
        shape_queue.shape.key.gang_size or 1
    )
    if is_limited:
        reason = team.describe_limit()
    else:
        evacuation = _describe_evacuation(state.fleet, shape_queue.shape)
        reason = evacuation or shape_queue.find_reason()
    lines = [f"waits: {reason}"]
    lines.append(_describe_order(state, team, waiting, key))
    lines.append(_describe_share(state, team))
    lines.append(_describe_start(waiting, key, now, job in state.predicted_late))
    claim = planner.claims.own.get(job)
    if claim is not None:
        lines.append(
            f"capacity is reserved on {len(claim.tasks)} workers; predicted start in "
            f"{max(0.0, claim.start_at - now):.0f} s"
        )
    return lines


def _describe_evacuation(fleet, shape):
    """Return the evacuation that keeps a shape from fitting, or an empty string.

    It is the reason if the tasks that have to start together fit with the capacity
    withheld in evacuated zones and do not fit without, or if every worker is in such a
    zone.
    """
    fleet.refresh()
    closed = [fleet.get_snapshot(row) for row in np.flatnonzero(~fleet.is_open)]
    if not closed:
        return ""
    size = shape.key.gang_size or 1
    counts = fleet.count_fitting(shape.amounts, fleet.free)
    fitting = int(counts[shape.get_eligible(fleet)].sum())
    if fitting >= size:
        return ""
    required = dict(shape.key.required)
    eligible = fleet.find_eligible(required)[~fleet.is_open]
    withheld = np.array([Amounts.of(worker.withheld) for worker in closed]).T
    counts = np.where(eligible, fleet.count_fitting(shape.amounts, withheld), 0)
    if fitting + counts.sum() < size and fleet.is_open.any():
        return ""
    zones = ", ".join(sorted({worker.zone for worker in closed}))
    return (
        f"zones being evacuated: {zones}; {int((counts > 0).sum())} of their workers "
        "have free capacity for a task"
    )


def _describe_order(state, team, waiting, key):
    same = [
        shape_queue
        for shape_queue in team.shape_queues.values()
        if shape_queue.shape.urgency == waiting.spec.urgency
    ]
    ahead = sum(shape_queue.count_before(key) for shape_queue in same)
    jobs = sum(len(shape_queue) for shape_queue in same)
    return (
        f"order: {ahead + 1} of {jobs} waiting {waiting.spec.urgency} jobs of team "
        f"{team.team}"
    )


def _describe_share(state, team):
    adjusted_share = team.adjusted_share
    teams = [other for other in state.teams.values() if any(other.sum_waiting())]
    before = sum(other.adjusted_share < adjusted_share for other in teams)
    return (
        f"share: team {team.team} uses {team.dominant_share:.1%} of the cell, its "
        f"fair share is {team.fair_share:.1%}, "
        f"its deficit is {team.deficit:+.1%}; {before} of "
        f"{len(teams)} waiting teams go first"
    )


def _describe_start(waiting, key, now, is_late):
    seconds = key.latest_start - now
    if is_late:
        left = waiting.deadline_at - now
        return f"deadline: in {left:.0f} s, predicted not to be met"
    if waiting.deadline_at:
        return f"deadline: it has to start within {seconds:.0f} s"
    return f"ageing: it moves ahead of newer work, and is due in {seconds:.0f} s"
