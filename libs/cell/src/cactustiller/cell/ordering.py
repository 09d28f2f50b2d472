"""Order in which waiting steps are considered; pure functions."""

from typing import NamedTuple

# A job that ends after this many times its objective earns nothing.
WORTHLESS_AFTER = 3.0


class OrderKey(NamedTuple):
    """Place of a step in the queue, lowest first; times are seconds."""

    band: int
    priority: int
    latest_start: float
    accepted: float


URGENT, IN_TIME, LATE, WORTHLESS = range(4)
OVER_SHARE = 4


def find_chain_ms(spec, first=0):
    """Return the longest chain of estimated work from step `first` on."""
    ends = [0.0] * len(spec.steps)
    for position in range(len(spec.steps) - 1, first - 1, -1):
        followers = [
            ends[later]
            for later in range(position + 1, len(spec.steps))
            if position in spec.steps[later].after
        ]
        ends[position] = spec.steps[position].estimate_ms + max(followers, default=0.0)
    return ends[first] if first else max(ends, default=0.0)


def find_due_ms(spec, rules, occurrence):
    """Return when an occurrence has to run: acceptance or its own time."""
    if spec.repeat_count:
        return spec.first_run_ms + occurrence * spec.interval_ms
    return spec.accepted_ms


def make_order_key(step, rules, now_ms):
    """Return the `OrderKey` of a step with waiting tasks.

    Work that can still be in time goes before work that cannot, and that before work
    which no longer earns anything; among equals the least slack goes first.

    Parameters
    ----------
    step : StepRun
    rules : QueueRules
        The rules in force for its queue.
    now_ms : float
        Unix milliseconds.
    """
    spec = step.job.spec
    due = find_due_ms(spec, rules, step.occurrence)
    objective = rules.slack_factor * find_chain_ms(spec) + rules.objective_ms
    remaining = find_chain_ms(spec, step.number) or step.spec.estimate_ms
    latest_ms = due + objective - remaining
    if step.spec.is_service or now_ms <= latest_ms:
        band = URGENT if rules.priority == 0 else IN_TIME
    elif now_ms + remaining <= due + WORTHLESS_AFTER * objective:
        band = LATE
    else:
        band = WORTHLESS
    if step.job.is_over_share:
        band += OVER_SHARE
    # In time, urgency is the slack; late work goes by its queue's priority.
    priority = 0 if band in (IN_TIME, IN_TIME + OVER_SHARE) else rules.priority
    return OrderKey(band, priority, latest_ms / 1000, spec.accepted_ms / 1000)
