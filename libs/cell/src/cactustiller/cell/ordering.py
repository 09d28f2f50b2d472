"""Scheduling order of pending steps; pure functions."""

from typing import NamedTuple

# A job that takes longer than this many times its objective has no value left.
WORTHLESS_AFTER_OBJECTIVES = 3.0


class OrderKey(NamedTuple):
    """Sort key of a step, lowest first; times are Unix seconds.

    Attributes
    ----------
    band : int
        One of the bands below, plus `OVER_SHARE_OFFSET` for teams over their share.
    priority : int
        Priority of the queue; 0 for steps in the band `IN_TIME`.
    latest_start : float
        Latest start that meets the objective; less slack sorts first.
    accepted : float
        When the job was accepted.
    """

    band: int
    priority: int
    latest_start: float
    accepted: float


# Late urgent work still precedes batch work: it is small, and callers block on it.
URGENT, LATE_URGENT, IN_TIME, LATE, WORTHLESS = range(5)
# Moves the jobs of teams over their share behind all other jobs.
OVER_SHARE_OFFSET = 5


class StartLimits(NamedTuple):
    """Latest useful starts of a step, in Unix milliseconds; they decide its band.

    Attributes
    ----------
    latest_on_time : float
        Latest start with which the job can meet its objective.
    latest_useful : float
        Latest start with which the job still has value.
    """

    latest_on_time: float
    latest_useful: float


def find_critical_path_ms(spec, first=0):
    """Return the critical path from step `first` on, by estimated durations in ms.

    With `first` 0 it is the critical path of the whole job.
    """
    ends = [0.0] * len(spec.steps)
    for position in range(len(spec.steps) - 1, first - 1, -1):
        successors = [
            ends[later]
            for later in range(position + 1, len(spec.steps))
            if position in spec.steps[later].after
        ]
        ends[position] = spec.steps[position].estimate_ms + max(successors, default=0.0)
    return ends[first] if first else max(ends, default=0.0)


def find_due_ms(spec, occurrence):
    """Return the Unix ms at which an occurrence is due.

    A job that does not recur is due at its acceptance.
    """
    if spec.repeat_count:
        return spec.first_run_ms + occurrence * spec.interval_ms
    return spec.accepted_ms


def find_start_limits(step, rules):
    """Return the `StartLimits` of a step under the current rules of its queue."""
    spec = step.job.spec
    due = find_due_ms(spec, step.occurrence)
    objective = rules.slack_factor * find_critical_path_ms(spec) + rules.objective_ms
    remaining = find_critical_path_ms(spec, step.number) or step.spec.estimate_ms
    return StartLimits(
        due + objective - remaining,
        due + WORTHLESS_AFTER_OBJECTIVES * objective - remaining,
    )


def make_order_key(step, rules, limits, now_ms):
    """Return the `OrderKey` of a step with pending tasks.

    Work that can still meet its objective precedes late work, which precedes work
    without value. Within a band, and for late work within a priority, least slack goes
    first.

    Parameters
    ----------
    step : StepRun
    rules : QueueRules
        Current rules of its queue.
    limits : StartLimits
    now_ms : float
        Unix milliseconds.
    """
    is_urgent = rules.priority == 0
    if step.spec.is_service or now_ms <= limits.latest_on_time:
        band = URGENT if is_urgent else IN_TIME
    elif now_ms <= limits.latest_useful:
        band = LATE_URGENT if is_urgent else LATE
    else:
        band = WORTHLESS
    # On-time work is ordered by slack alone, late work by its queue's priority first.
    priority = 0 if band == IN_TIME else rules.priority
    if step.job.is_over_share:
        band += OVER_SHARE_OFFSET
    accepted = step.job.spec.accepted_ms / 1000
    return OrderKey(band, priority, limits.latest_on_time / 1000, accepted)
