"""What must hold, checked from what workers see."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass
class Audit:
    """Collects broken promises.

    Attributes
    ----------
    violations : list of str
    starts : list of (str, int, str)
        Task, run and worker of each start, in order.
    """

    violations: list[str] = field(default_factory=list)
    starts: list = field(default_factory=list)
    running: dict = field(default_factory=lambda: defaultdict(set))
    succeeded: set = field(default_factory=set)

    def note_start(self, worker, task, run):
        """Note that a worker began a run."""
        if self.running[task]:
            self.violations.append(f"{task} runs twice: {self.running[task]}")
        if task in self.succeeded:
            self.violations.append(f"{task} started again after it was done")
        self.running[task].add((worker, run))
        self.starts.append((task, run, worker))

    def note_end(self, worker, task, run):
        """Note that a run is over."""
        self.running[task].discard((worker, run))

    def note_acknowledged(self, task):
        """Note that a successful end was acknowledged."""
        self.succeeded.add(task)

    def note_overload(self, worker, free):
        """Note that a start brought a worker over its capacity."""
        self.violations.append(f"{worker} is over its capacity: {free}")

    def count_starts(self, task):
        """Return the number of starts of a task."""
        return sum(start[0] == task for start in self.starts)
