"""What must hold, checked from what workers see."""

from collections import defaultdict
from dataclasses import dataclass, field

# Crashes of workers under one task after which it may be started again only
# `MAX_STARTS_AFTER_CRASHES` times.
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER_CRASHES = 2


@dataclass
class Audit:
    """Collects broken promises.

    Parameters
    ----------
    allows_copies : callable
        Task name to whether a second run of it may be started beside the first.

    Attributes
    ----------
    violations : list of str
    starts : list of (str, int, str)
        Task, run and worker of each start, in order.
    crashes : dict of str to int
        Workers that each task has crashed.
    copied : set of str
        Tasks that had two runs at once.
    """

    allows_copies: object = lambda task: False
    violations: list[str] = field(default_factory=list)
    starts: list = field(default_factory=list)
    running: dict = field(default_factory=lambda: defaultdict(set))
    succeeded: set = field(default_factory=set)
    crashes: dict = field(default_factory=lambda: defaultdict(int))
    starts_after_crashes: dict = field(default_factory=lambda: defaultdict(int))
    copied: set = field(default_factory=set)

    def note_start(self, worker, task, run):
        """Note that a worker began a run."""
        running = self.running[task]
        if running and not self.allows_copies(task):
            self.violations.append(f"{task} runs twice: {running}")
        if len(running) > 1:
            self.violations.append(f"{task} runs three times: {running}")
        if running:
            self.copied.add(task)
            if run <= max(number for _, number in running):
                self.violations.append(f"{task} has a copy with an old number: {run}")
        if task in self.succeeded:
            self.violations.append(f"{task} started again after it was done")
        if self.crashes[task] >= CRASHES_BEFORE_LIMIT:
            self.starts_after_crashes[task] += 1
            if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"{task} is started after it crashed workers")
        self.running[task].add((worker, run))
        self.starts.append((task, run, worker))

    def note_end(self, worker, task, run):
        """Note that a run is over."""
        self.running[task].discard((worker, run))

    def note_crash(self, task):
        """Note that a task has crashed the worker that started it."""
        self.crashes[task] += 1

    def note_acknowledged(self, task):
        """Note that a successful end was acknowledged."""
        self.succeeded.add(task)

    def note_overload(self, worker, free):
        """Note that a start brought a worker over its capacity."""
        self.violations.append(f"{worker} is over its capacity: {free}")

    def count_starts(self, task):
        """Return the number of starts of a task."""
        return sum(start[0] == task for start in self.starts)
