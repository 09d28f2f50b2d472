"""Pace of the tasks that fill beside tasks that serve, for each worker; no I/O.

The users of a serving task notice at once when its tail latency rises, while a filling
task only takes longer: the pace falls fast and rises slowly (additive increase,
multiplicative decrease).
"""

from dataclasses import dataclass

FULL = 100
# A new owner does not know which pace was set.
FIRST = 50
# Below this a filling task is not worth its disturbance.
LEAST = 5
FALL = 0.4
RISE = 10
# The tail is over the target where it is above this part of it: the figure is rough.
OVER = 0.95
# Room to spare: the pace may rise.
UNDER = 0.75
# A pace takes effect after 0.1 s, and the tail is that of the last half second. Four
# falls stop a filling task within 2.4 s, of the 4 s that harm may last.
FALL_SECONDS = 0.6
RISE_SECONDS = 1.0


@dataclass(slots=True)
class Pace:
    """Pace of all filling tasks of one worker, in percent."""

    percent: int = FIRST
    changed_at: float = float("-inf")


def choose_pace(pace, tails, now):
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
    if not tails:
        pace.percent, pace.changed_at = FULL, now
    elif max(tails) > OVER and now - pace.changed_at >= FALL_SECONDS:
        lower = int(pace.percent * FALL)
        pace.percent = lower if lower >= LEAST else 0
        pace.changed_at = now
    elif max(tails) < UNDER and now - pace.changed_at >= RISE_SECONDS:
        pace.percent = min(FULL, pace.percent + RISE)
        pace.changed_at = now
    return pace.percent
