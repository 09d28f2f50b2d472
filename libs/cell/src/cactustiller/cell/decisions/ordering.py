"""Scheduling order of pending steps; pure functions.

The objective of a job is the maximum time from when it is due to its end. The slack of
a step is the time left until its latest start that meets the objective. Work of queues
with priority 0 is urgent; all other work is batch work.
"""

from typing import NamedTuple

# Time from a decision to the start of a run: one transaction of the store and one call
# to the worker.
START_DELAY_MS = 100.0
# Tasks of a step differ, and the last one ends it. A step counts as late once this
# fraction of its remaining run time is missing.
RUN_TIME_MARGIN = 0.1
# A job that takes longer than this many times its objective has no value left.
WORTHLESS_AFTER_OBJECTIVES = 3.0


class OrderKey(NamedTuple):
    """Sort key of a step, lowest first; times are Unix seconds.

    Attributes
    ----------
    band : int
        One of the bands below, plus `OVER_SHARE_OFFSET` if the job exceeded its team's
        share.
    priority : int
        Priority of the queue, lowest first; 0 for on-time batch work (`IN_TIME`).
    latest_start : float
        Latest start that meets the objective; less slack sorts first.
    accepted : float
        When the job was accepted.
    """

    band: int
    priority: int
    latest_start: float
    accepted: float


# Work without value is deferred for at most this long after its latest start, so that
# it ends also in a cell that is always busy.
MAX_DEFERRAL_SECONDS = 60.0

# Late urgent work still precedes batch work: it is small, and callers block on it.
URGENT, LATE_URGENT, IN_TIME, LATE, WORTHLESS = range(5)
# Added to the band of a job that exceeded its team's share; moves it behind all jobs
# that did not.
OVER_SHARE_OFFSET = 5


class StartLimits(NamedTuple):
    """Latest useful starts of a step, in Unix milliseconds; they decide its band.

    Attributes
    ----------
    latest_on_time : float
        Latest start with which the job can meet its objective.
    latest_safe : float
        Latest decision with which it meets the objective although the start takes its
        time and some of its tasks take longer than others.
    latest_useful : float
        Latest start with which the job still has value.
    """

    latest_on_time: float
    latest_safe: float
    latest_useful: float


def find_due_ms(spec, occurrence):
    """Return the time at which an occurrence is due, in Unix milliseconds.

    A job that does not recur is due at its acceptance.
    """
    if spec.repeat_count:
        return spec.first_run_ms + occurrence * spec.interval_ms
    return spec.accepted_ms


def find_start_limits(step, rules):
    """Return the `StartLimits` of a step under the current rules of its queue."""
    graph = step.job.graph
    due = find_due_ms(step.job.spec, step.occurrence)
    objective = rules.slack_factor * graph.longest_ms + rules.objective_ms
    remaining = graph.path_ms[step.number]
    latest_on_time = due + objective - remaining
    return StartLimits(
        latest_on_time,
        latest_on_time - START_DELAY_MS - RUN_TIME_MARGIN * remaining,
        due + WORTHLESS_AFTER_OBJECTIVES * objective - remaining,
    )


def may_be_deferred(key, wall_now):
    """Return whether a step may wait until its service is less busy.

    Work without value may, for a limited time, since each of its runs would take the
    capacity of jobs whose callers still wait.

    Parameters
    ----------
    key : OrderKey
    wall_now : float
        Unix time in seconds.
    """
    has_no_value = key.band % OVER_SHARE_OFFSET == WORTHLESS
    return has_no_value and wall_now - key.latest_start < MAX_DEFERRAL_SECONDS


def make_order_key(step, rules, limits, now_ms):
    """Return the `OrderKey` of a step with pending tasks.

    Urgent work precedes batch work, even if it is late. Otherwise work that can still
    meet its objective precedes late work. Work without value comes last, urgent or not.
    Service steps are never late. A step that would only just miss its objective counts
    as late: with least slack first, each of a lasting backlog would start at the last
    moment, and all of them would miss. Least slack goes first within a band or, for
    late batch work and work without value, within a priority. Jobs that exceeded their
    team's share come after all others.

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
    if step.spec.is_service or now_ms <= limits.latest_safe:
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
