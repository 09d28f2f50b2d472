"""Jobs and runs of an experiment."""

from dataclasses import dataclass, field
from math import inf

from cactustiller.model import JobSpec
from cactustiller.policy import Amounts


@dataclass
class Run:
    """One attempt of a task on a worker."""

    job: "Job"
    index: int
    attempt: int
    worker: str
    started_at: float
    is_over: bool = False


@dataclass
class Job:
    """Job with the state of its tasks."""

    name: str
    spec: JobSpec
    seconds: list[float]
    submitted_at: float
    waiting: list[int]
    running: dict[int, Run] = field(default_factory=dict)
    attempts: dict[int, int] = field(default_factory=dict)
    failures: dict[int, int] = field(default_factory=dict)
    preemptions: dict[int, int] = field(default_factory=dict)
    failed_on: set[str] = field(default_factory=set)
    first_start_at: float = inf
    waits: list[float] = field(default_factory=list)
    done: int = 0
    ended_at: float = inf
    is_cancelled: bool = False
    is_failed: bool = False

    @property
    def amounts(self):
        """Declared resources of one task."""
        return Amounts.of(self.spec.template.resources)

    @property
    def deadline_at(self):
        """Deadline in seconds of simulated time, 0 for none."""
        seconds = self.spec.deadline_seconds
        return self.submitted_at + seconds if seconds else 0.0
