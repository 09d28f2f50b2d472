"""What must hold, checked from what workers see."""

from collections import defaultdict
from dataclasses import dataclass, field

# Crashes of workers under one task after which it may be started again only
# `MAX_STARTS_AFTER_CRASHES` times.
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER_CRASHES = 2
# Parts of violations that tell their cause.
CRASHED_WORKERS = " is started after it crashed workers"
STOPPED_BEFORE = " by an order that a former process of its worker had stopped"


@dataclass
class Audit:
    """Collects broken promises.

    Parameters
    ----------
    allows_copies : callable
        Task name to whether a second run of it may be started beside the first.
    tell : callable
        Called with what is noted, in words.

    Attributes
    ----------
    violations : list of str
    starts : list of (str, int, str)
        Task, run and worker of each start, in order.
    crashes : dict of str to int
        Workers that each task has crashed.
    copied : set of str
        Tasks that had two runs at once.
    failed_runs : dict of str to set of int
        Numbers of the runs that ended `failed`, by task.
    """

    allows_copies: object = lambda task: False
    tell: object = lambda event: None
    violations: list[str] = field(default_factory=list)
    starts: list = field(default_factory=list)
    running: dict = field(default_factory=lambda: defaultdict(set))
    succeeded: set = field(default_factory=set)
    noted: set = field(default_factory=set)
    crashes: dict = field(default_factory=lambda: defaultdict(int))
    starts_after_crashes: dict = field(default_factory=lambda: defaultdict(int))
    copied: set = field(default_factory=set)
    failed_runs: dict = field(default_factory=lambda: defaultdict(set))

    def note_start(self, worker, task, run, is_late=False, was_stopped=False):
        """Note that a worker began a run.

        An order that is carried out late (`is_late`) can't be taken back, so it may
        start one run more of a task that allows copies. A former process of the worker
        had stopped the run if `was_stopped`.
        """
        late = " late" if is_late else ""
        self.tell(f"start {task} {run} {worker}{late}")
        if is_late and self.allows_copies(task):
            self.starts.append((task, run, worker))
            return
        cause = STOPPED_BEFORE if was_stopped else ""
        running = self.running[task]
        if running and not self.allows_copies(task):
            self.violations.append(f"{task} runs twice{cause}: {running}")
        if len(running) > 1:
            self.violations.append(f"{task} runs three times: {running}")
        if running:
            self.copied.add(task)
            if run <= max(number for _, number in running):
                self.violations.append(f"{task} has a copy with an old number: {run}")
        # Only ends that were acknowledged under one lease rule out a late order.
        if task in (self.noted if is_late else self.succeeded):
            self.violations.append(f"{task} started again after it was done{cause}")
        if self.crashes[task] >= CRASHES_BEFORE_LIMIT:
            self.starts_after_crashes[task] += 1
            if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"{task}{CRASHED_WORKERS}")
        self.running[task].add((worker, run))
        self.starts.append((task, run, worker))

    def note_end(self, worker, task, run, how=""):
        """Note that a run is over."""
        self.tell(f"end {task} {run} {worker} {how}")
        self.running[task].discard((worker, run))

    def note_crash(self, task):
        """Note that a task has crashed the worker that started it."""
        self.tell(f"deadly {task}")
        self.crashes[task] += 1

    def note_failure(self, task, run):
        """Note that a run ended `failed`."""
        self.failed_runs[task].add(run)

    def note_acknowledged(self, task, starts):
        """Note that a successful end was acknowledged.

        `starts` is the number of all starts when the run ended, or None if the lease
        has lapsed since then. A task that was started between its end and the
        acknowledgement has run twice, unless the lease lapsed in between.
        """
        self.tell(f"acknowledged {task}" + (" after a lapse" * (starts is None)))
        later = [] if starts is None else self.starts[starts:]
        if starts is not None:
            self.noted.add(task)
        if not self.allows_copies(task) and task in {start[0] for start in later}:
            self.violations.append(f"{task} was started again when it was done")
        self.succeeded.add(task)

    def note_overload(self, worker, free):
        """Note that a start brought a worker over its capacity."""
        self.violations.append(f"{worker} is over its capacity: {free}")

    def count_starts(self, task):
        """Return the number of starts of a task."""
        return sum(start[0] == task for start in self.starts)
