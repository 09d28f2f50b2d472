"""Speed limit of filling tasks that share a worker with serving tasks; no I/O.

Filling tasks use the spare CPU of a worker; serving tasks have a target for their tail
latency. The pace of filling tasks, in percent of full speed, is controlled by additive
increase and multiplicative decrease. It decreases fast and increases slowly, since
users notice a higher tail latency of a serving task at once, while a filling task only
takes longer.
"""

from dataclasses import dataclass

FULL_PERCENT = 100
# Used by a new owner, which has no record of the pace set by the previous one.
INITIAL_PERCENT = 50
# Below this pace a filling task is paused, as its progress does not justify its
# interference.
MIN_PERCENT = 5
DECREASE_FACTOR = 0.4
INCREASE_PERCENT = 10
# The pace decreases while a tail latency exceeds this fraction of its target. The
# margin allows for the imprecision of the reported latency.
DECREASE_ABOVE_RATIO = 0.95
# The pace increases while all tail latencies are below this fraction of their target.
INCREASE_BELOW_RATIO = 0.75
# A pace takes effect after 0.1 s, and the reported tail latency covers the last 0.5 s,
# so it shows the effect of a decrease after 0.6 s. Four decreases pause a filling task
# within 2.4 s; the latency may exceed its target for at most 4 s.
DECREASE_INTERVAL_SECONDS = 0.6
INCREASE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class Pace:
    """Pace of all filling tasks of one worker; `changed_at` is in loop time."""

    percent: int = INITIAL_PERCENT
    changed_at: float = float("-inf")


def choose_pace(pace, latency_ratios, now):
    """Update and return the pace of a worker's filling tasks.

    Parameters
    ----------
    pace : Pace
        Updated in place.
    latency_ratios : list of float
        Tail latency of each serving task on the worker, relative to its target.
    now : float
        Event loop time in seconds.

    Returns
    -------
    int
        Percent of full speed.
    """
    if not latency_ratios:
        pace.percent, pace.changed_at = FULL_PERCENT, now
    elif (
        max(latency_ratios) > DECREASE_ABOVE_RATIO
        and now - pace.changed_at >= DECREASE_INTERVAL_SECONDS
    ):
        lower = int(pace.percent * DECREASE_FACTOR)
        pace.percent = lower if lower >= MIN_PERCENT else 0
        pace.changed_at = now
    elif (
        max(latency_ratios) < INCREASE_BELOW_RATIO
        and now - pace.changed_at >= INCREASE_INTERVAL_SECONDS
    ):
        pace.percent = min(FULL_PERCENT, pace.percent + INCREASE_PERCENT)
        pace.changed_at = now
    return pace.percent
