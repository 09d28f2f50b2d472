"""Text that explains why a job waits."""


def explain_waiting(planner, job, now):
    """Return lines that say what a job waits for and in which order.

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
    reason = team.describe_limit() if is_limited else shape_queue.find_reason()
    lines = [f"waits: {reason}"]
    lines.append(_describe_order(state, team, waiting, key))
    lines.append(_describe_share(state, team))
    lines.append(_describe_start(waiting, key, now, job in state.predicted_late))
    claim = planner.claims.own.get(job)
    if claim is not None:
        lines.append(
            f"capacity is kept on {len(claim.tasks)} workers; predicted start in "
            f"{max(0.0, claim.start_at - now):.0f} s"
        )
    return lines


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
        f"it is owed {team.deficit:+.1%}; {before} of "
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
