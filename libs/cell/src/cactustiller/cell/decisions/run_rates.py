"""Rates of runs, measured from their progress and ends; no I/O.

Answers reports that say little of a worker: progress restored from a checkpoint, gang
members that wait for each other, tasks away from their data, and whole percents.
"""

import math
from dataclasses import dataclass

from ..records.runs import RunEnd

# Progress is in whole percent, so a window of this many has an error of up to 10%. Slow
# runs gain fewer; theirs counts after the longer time.
MIN_GAIN_PERCENT = 10
MIN_WINDOW_SECONDS = 0.4
MIN_SLOW_GAIN_PERCENT = 5
SLOW_WINDOW_SECONDS = 1.5
COMPLETE_PERCENT = 100


@dataclass(slots=True, eq=False)
class _RunWindow:
    """Part of a run over which its rate is measured.

    Attributes
    ----------
    anchor_at, anchor_progress : float or None, int
        Beginning of the window; None until the run is known to progress.
    is_restored : bool
        The run may have started from a checkpoint.
    has_rate : bool
        A rate of the run has been recorded.
    """

    run: int
    progress: int
    seen_at: float
    is_restored: bool
    anchor_at: float | None = None
    anchor_progress: int = 0
    has_rate: bool = False


class RateMeter:
    """Measures the rates of active and ended runs, in percent a second."""

    def __init__(self):
        self._windows = {}

    def measure_progress(self, task, worker, listed, now):
        """Return the logarithm of a run's rate since the last one; None if unknown."""
        progress = listed.progress
        window = self._windows.get(task)
        if window is None or window.run != listed.run:
            window = _RunWindow(listed.run, progress, now, bool(task.checkpoint))
            self._windows[task] = window
            if progress > 0 and not window.is_restored:
                window.anchor_at, window.anchor_progress = now, progress
            return None
        window.seen_at = now
        if progress <= window.progress:
            return None
        window.progress = progress
        # A member of a gang waits at 100% for the others, so its time there is unknown.
        if progress >= COMPLETE_PERCENT:
            return None
        if window.anchor_at is None:
            window.anchor_at, window.anchor_progress = now, progress
            return None
        gain, elapsed = progress - window.anchor_progress, now - window.anchor_at
        is_measured = gain >= MIN_GAIN_PERCENT and elapsed >= MIN_WINDOW_SECONDS
        is_slow = gain >= MIN_SLOW_GAIN_PERCENT and elapsed >= SLOW_WINDOW_SECONDS
        if not (is_measured or is_slow):
            return None
        window.anchor_at, window.anchor_progress = now, progress
        if not _is_comparable(task, worker):
            return None
        window.has_rate = True
        return math.log(gain / elapsed)

    def measure_end(self, task, worker, end, now):
        """Return the logarithm of an ended run's rate; None if unknown.

        The ends of gangs say nothing, since all tasks of a gang end together.
        """
        window = self._windows.pop(task, None)
        is_gang = task.step.spec.is_gang
        if end is not RunEnd.DONE or is_gang or not _is_comparable(task, worker):
            return None
        if window is not None and window.run != task.run:
            window = None
        if window is not None and window.anchor_at is not None:
            gain = COMPLETE_PERCENT - window.anchor_progress
            elapsed = now - window.anchor_at
            if gain >= MIN_GAIN_PERCENT and elapsed >= MIN_WINDOW_SECONDS:
                return math.log(gain / elapsed)
        if window is not None and window.has_rate:
            return None
        is_restored = window.is_restored if window else bool(task.checkpoint)
        elapsed = now - task.started_at
        # The start of a run that a previous owner sent is not known.
        is_start_known = task.start_sent_at and task.started_at
        if is_restored or not is_start_known or elapsed <= 0:
            return None
        return math.log(COMPLETE_PERCENT / elapsed)

    def drop_older(self, since):
        """Drop the state of runs not reported since a time; their ends were lost."""
        self._windows = {
            task: window
            for task, window in self._windows.items()
            if window.seen_at > since
        }


def _is_comparable(task, worker):
    """Return whether the rate of a run says something about its worker.

    Tasks away from their data take up to three times as long, and those that are being
    stopped save a checkpoint.
    """
    spec = task.step.spec
    return not (
        spec.count == 1
        or spec.is_service
        or spec.fills
        or task.is_stopping
        or (spec.data_rack and spec.data_rack != worker.info.rack)
    )
