"""Run-time estimates from recent runs, by team, queue and name."""

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
    """Run times of the latest runs of each program, in bounded memory.

    A program is the (team, queue, name) of a `JobSpec`.
    """

    def __init__(self, max_programs=MAX_PROGRAMS):
        self._max_programs = max_programs
        self._runs = OrderedDict()

    def record(self, spec, seconds):
        """Record the seconds of a successful run of a `JobSpec`."""
        key = _make_program_key(spec)
        runs = self._runs.setdefault(key, deque(maxlen=MAX_RUNS_PER_PROGRAM))
        runs.append(seconds)
        self._runs.move_to_end(key)
        if len(self._runs) > self._max_programs:
            self._runs.popitem(last=False)

    def has_history(self, spec):
        """Return whether enough runs are recorded to predict from them."""
        return len(self._runs.get(_make_program_key(spec), ())) >= MIN_RUNS

    def record_stopped(self, spec, seconds):
        """Record the seconds after which a run was stopped.

        A run that exceeded its prediction counts as a run of twice its length.
        """
        if seconds > self.predict(spec):
            self.record(spec, STOPPED_RUN_FACTOR * seconds)

    def predict(self, spec, quantile=HIGH_QUANTILE):
        """Return a quantile of the recorded run seconds.

        Until enough runs are recorded, returns the declared run time.
        """
        runs = self._runs.get(_make_program_key(spec), ())
        if len(runs) < MIN_RUNS:
            return spec.template.run_seconds or DEFAULT_RUN_SECONDS
        return sorted(runs)[ceil(quantile * len(runs)) - 1]


def _make_program_key(spec):
    return (spec.team, spec.queue, spec.name)
