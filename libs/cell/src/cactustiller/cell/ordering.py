"""Order in which waiting steps are considered; pure functions."""

from typing import NamedTuple

# A job that ends after this many times its objective earns nothing.
WORTHLESS_OBJECTIVES = 3.0


class OrderKey(NamedTuple):
    """Place of a step in the queue, lowest first; times are seconds."""

    band: int
    priority: int
    latest_start: float
    accepted: float


# Urgent work that is late still goes before batch work: it is small, and its callers
# wait for it.
URGENT, LATE_URGENT, IN_TIME, LATE, WORTHLESS = range(5)
OVER_SHARE_OFFSET = 5


class StartLimits(NamedTuple):
    """Moments that decide a step's band, in Unix milliseconds.

    Attributes
    ----------
    latest : float
        Last start at which the job can be in time.
    last : float
        Last start at which it earns anything.
    """

    latest_on_time: float
    latest_useful: float


def find_critical_path_ms(spec, first=0):
    """Return the longest chain of estimated work from step `first` on."""
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
    """Return when an occurrence has to run: acceptance or its own time."""
    if spec.repeat_count:
        return spec.first_run_ms + occurrence * spec.interval_ms
    return spec.accepted_ms


def find_start_limits(step, rules):
    """Return the `Times` of a step under the rules in force for its queue."""
    spec = step.job.spec
    due = find_due_ms(spec, step.occurrence)
    objective = rules.slack_factor * find_critical_path_ms(spec) + rules.objective_ms
    remaining = find_critical_path_ms(spec, step.number) or step.spec.estimate_ms
    return StartLimits(
        due + objective - remaining, due + WORTHLESS_OBJECTIVES * objective - remaining
    )


def make_order_key(step, rules, times, now_ms):
    """Return the `OrderKey` of a step with waiting tasks.

    Work that can still be in time goes before work that cannot, and that before work
    which no longer earns anything; among equals the least slack goes first.

    Parameters
    ----------
    step : StepRun
    rules : QueueRules
        The rules in force for its queue.
    times : Times
    now_ms : float
        Unix milliseconds.
    """
    is_urgent = rules.priority == 0
    if step.spec.is_service or now_ms <= times.latest_on_time:
        band = URGENT if is_urgent else IN_TIME
    elif now_ms <= times.latest_useful:
        band = LATE_URGENT if is_urgent else LATE
    else:
        band = WORTHLESS
    # In time, urgency is the slack; late work goes by its queue's priority.
    priority = 0 if band == IN_TIME else rules.priority
    if step.job.is_over_share:
        band += OVER_SHARE_OFFSET
    accepted = step.job.spec.accepted_ms / 1000
    return OrderKey(band, priority, times.latest_on_time / 1000, accepted)
