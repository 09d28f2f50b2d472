"""Run times learnt from what ran, by team, queue and name."""

from collections import OrderedDict, deque
from math import ceil

MAX_PROGRAMS = 4096
MAX_RUNS_PER_PROGRAM = 32
MIN_RUNS = 3
HIGH_QUANTILE = 0.9
MEDIAN_QUANTILE = 0.5
DEFAULT_RUN_SECONDS = 300.0
STOPPED_RUN_FACTOR = 2.0


class RunTimes:
    """Latest run times of each kind of work, in bounded memory."""

    def __init__(self, max_programs=MAX_PROGRAMS):
        self._max_programs = max_programs
        self._runs = OrderedDict()

    def record(self, spec, seconds):
        """Take the run time of a successful run of a `JobSpec`."""
        key = _make_program_key(spec)
        runs = self._runs.setdefault(key, deque(maxlen=MAX_RUNS_PER_PROGRAM))
        runs.append(seconds)
        self._runs.move_to_end(key)
        if len(self._runs) > self._max_programs:
            self._runs.popitem(last=False)

    def has_history(self, spec):
        """Return whether enough runs were seen."""
        return len(self._runs.get(_make_program_key(spec), ())) >= MIN_RUNS

    def record_stopped(self, spec, seconds):
        """Take the time after which a run was stopped.

        One that ran longer than predicted counts as a run of twice that.
        """
        if seconds > self.predict(spec):
            self.record(spec, STOPPED_RUN_FACTOR * seconds)

    def predict(self, spec, quantile=HIGH_QUANTILE):
        """Return the run seconds that this part of the runs does not exceed.

        The declared run time counts until enough runs were seen.
        """
        runs = self._runs.get(_make_program_key(spec), ())
        if len(runs) < MIN_RUNS:
            return spec.template.run_seconds or DEFAULT_RUN_SECONDS
        return sorted(runs)[ceil(quantile * len(runs)) - 1]


def _make_program_key(spec):
    return (spec.team, spec.queue, spec.name)
