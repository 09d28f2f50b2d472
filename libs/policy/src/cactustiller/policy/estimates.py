"""Run times learnt from what ran, by team, queue and name."""

from collections import OrderedDict, deque
from math import ceil

KEPT_NAMES = 4096
KEPT_RUNS = 32
FEWEST_RUNS = 3
HIGH_QUANTILE = 0.9
MIDDLE_QUANTILE = 0.5
UNKNOWN_RUN_SECONDS = 300.0
UNFINISHED_FACTOR = 2.0


class RunTimes:
    """Latest run times of each kind of work, in bounded memory."""

    def __init__(self, kept_names=KEPT_NAMES):
        self._kept_names = kept_names
        self._runs = OrderedDict()

    def note(self, spec, seconds):
        """Take the run time of a successful run of a `JobSpec`."""
        key = _key_of(spec)
        runs = self._runs.setdefault(key, deque(maxlen=KEPT_RUNS))
        runs.append(seconds)
        self._runs.move_to_end(key)
        if len(self._runs) > self._kept_names:
            self._runs.popitem(last=False)

    def has_learnt(self, spec):
        """Return whether enough runs were seen."""
        return len(self._runs.get(_key_of(spec), ())) >= FEWEST_RUNS

    def note_unfinished(self, spec, seconds):
        """Take the time after which a run was stopped.

        One that ran longer than predicted counts as a run of twice that.
        """
        if seconds > self.predict(spec):
            self.note(spec, UNFINISHED_FACTOR * seconds)

    def predict(self, spec, quantile=HIGH_QUANTILE):
        """Return the run seconds that this part of the runs does not exceed.

        The declared run time counts until enough runs were seen.
        """
        runs = self._runs.get(_key_of(spec), ())
        if len(runs) < FEWEST_RUNS:
            return spec.template.run_seconds or UNKNOWN_RUN_SECONDS
        return sorted(runs)[ceil(quantile * len(runs)) - 1]


def _key_of(spec):
    return (spec.team, spec.queue, spec.name)
