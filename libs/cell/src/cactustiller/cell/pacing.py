"""Pace of the tasks that fill beside tasks that serve, for each worker; no I/O.

The users of a serving task notice at once when its tail latency rises, while a filling
task only takes longer: the pace falls fast and rises slowly (additive increase,
multiplicative decrease).
"""

from dataclasses import dataclass

FULL_PERCENT = 100
# A new owner does not know which pace was set.
INITIAL_PERCENT = 50
# Below this a filling task is not worth its disturbance.
MIN_PERCENT = 5
DECREASE_FACTOR = 0.4
INCREASE_PERCENT = 10
# The tail is over the target where it is above this part of it: the figure is rough.
DECREASE_ABOVE_RATIO = 0.95
# Room to spare: the pace may rise.
INCREASE_BELOW_RATIO = 0.75
# A pace takes effect after 0.1 s, and the tail is that of the last half second. Four
# falls stop a filling task within 2.4 s, of the 4 s that harm may last.
DECREASE_INTERVAL_SECONDS = 0.6
INCREASE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class Pace:
    """Pace of all filling tasks of one worker, in percent."""

    percent: int = INITIAL_PERCENT
    changed_at: float = float("-inf")


def choose_pace(pace, latency_ratios, now):
    """Return the pace that a worker's filling tasks should have from now on.

    Parameters
    ----------
    pace : Pace
        Changed where the percentage changes.
    tails : list of float
        Tail latency of each serving task there, as a part of its target.
    now : float

    Returns
    -------
    int
        Percent.
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
