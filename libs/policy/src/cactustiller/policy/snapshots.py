"""Input and output of a placement decision."""

from dataclasses import dataclass, field
from math import inf

from cactustiller.model import (
    NO_RESOURCES,
    Amounts,
    Attempt,
    JobId,
    JobSpec,
    PartitionId,
    Resources,
    TeamId,
    Urgency,
    WorkerId,
)


@dataclass(slots=True)
class WorkerSnapshot:
    """Usable worker with its attributes, total and free capacity.

    In an evacuated zone, `free` is what a worker that is not usable has, and
    `withheld` is the capacity that would be free otherwise; elsewhere it is None.
    """

    worker: WorkerId
    shard: PartitionId
    zone: str
    rack: str
    make: str
    attributes: dict[str, str]
    total: Resources
    free: Resources
    withheld: Resources | None = None

    @property
    def is_evacuated(self):
        """Whether the worker's zone is being evacuated."""
        return self.withheld is not None


@dataclass(slots=True)
class WaitingJob:
    """Job with pending tasks.

    Parameters
    ----------
    submitted_at, deadline_at : float
        Wall-clock seconds; 0 for no deadline.
    p90_seconds, median_seconds : float
        Predicted run time of one task: 90th percentile and median; 0 if unknown.
    has_run_history : bool
        Whether the predictions come from recorded runs and not from the declared time.
    spread, colocate : str
        ``none``, ``rack`` or ``zone``.
    """

    job: JobId
    spec: JobSpec
    indices: tuple[int, ...]
    submitted_at: float
    deadline_at: float = 0.0
    spread: str = "none"
    ageing_seconds: float = 600.0
    avoided_workers: frozenset[WorkerId] = frozenset()
    colocate: str = "none"
    p90_seconds: float = 0.0
    median_seconds: float = 0.0
    has_run_history: bool = True


@dataclass(slots=True)
class RunningTask:
    """Task that uses capacity; times are wall-clock seconds.

    `expected_end` is infinite if no end is known, as for services.
    """

    job: JobId
    index: int
    attempt: Attempt
    team: TeamId
    worker: WorkerId
    shard: PartitionId
    amounts: Amounts
    urgency: Urgency
    is_preemptible: bool = False
    started_at: float = 0.0
    expected_end: float = inf

    @property
    def key(self):
        """Identity of the task."""
        return (self.job, self.index)


@dataclass(slots=True)
class TeamSnapshot:
    """Team with its weight, its limit (0 = none), its use and its pending demand.

    `deficit` is the fraction of the cell by which the team's use fell short of its fair
    share, with exponential decay over the share window; it is negative if the use
    exceeded the share.
    The home of a team that `is_remote` is on another member, which places its tasks.
    """

    team: TeamId
    share_weight: float = 1.0
    limit: Resources = NO_RESOURCES
    limit_tasks: int = 0
    used: Resources = NO_RESOURCES
    used_tasks: int = 0
    waiting: Resources = NO_RESOURCES
    deficit: float = 0.0
    is_remote: bool = False


@dataclass(slots=True)
class Claim:
    """Capacity reserved on specific workers for one job, as in backfill scheduling.

    Jobs that need much capacity at once (gangs, large tasks that have aged) would
    starve behind small tasks. A claim reserves the capacity that they start in; tasks
    that end before its predicted start may backfill it.

    Parameters
    ----------
    since : float
        Wall-clock seconds; the earlier of two claims takes precedence.
    start_at : float
        Predicted start; tasks that end before it may use the claimed capacity.
    tasks : dict of WorkerId to int
        Number of tasks to start on each worker.
    reserved : dict of WorkerId to Amounts
        Capacity that must stay free now for the job to start at `start_at`.
    """

    job: JobId
    since: float
    start_at: float
    tasks: dict[WorkerId, int] = field(default_factory=dict)
    reserved: dict[WorkerId, Amounts] = field(default_factory=dict)

    @property
    def precedence(self):
        """Sort key of claims, the same on every member."""
        return (self.since, self.job)


@dataclass(slots=True)
class Snapshot:
    """Input of one decision at `now` (wall-clock seconds)."""

    now: float
    workers: list[WorkerSnapshot]
    jobs: list[WaitingJob]
    teams: dict[TeamId, TeamSnapshot]
    running: list[RunningTask] = field(default_factory=list)
    peer_claims: list[Claim] = field(default_factory=list)
    share_window_seconds: float = 600.0


@dataclass(slots=True)
class Placement:
    """Decision to run one task on a worker."""

    job: JobId
    index: int
    worker: WorkerId
    shard: PartitionId
    candidates: int
    score: float
    reason: str


@dataclass(slots=True)
class Preemption:
    """Decision to stop a task, after a checkpoint, in favour of another job."""

    task: RunningTask
    wanted_by: JobId
    reason: str


@dataclass(slots=True)
class WaitReason:
    """Reason why tasks of a job stay pending."""

    job: JobId
    reason: str


@dataclass(slots=True)
class LateJob:
    """Job predicted to miss its deadline; times are wall-clock seconds."""

    job: JobId
    deadline_at: float
    finish_at: float


@dataclass(slots=True)
class Plan:
    """Result of one decision.

    Parameters
    ----------
    waits : list of WaitReason
        Jobs that were considered and not placed; other jobs of the same shape and team
        queue behind them.
    parked, unparked : list
        Jobs that no current worker can ever run, and those that have become runnable.
    late : list of LateJob
        Jobs newly predicted to miss their deadline.
    is_truncated : bool
        Whether the decision stopped at its limit and another one may place more.
    """

    placements: list[Placement] = field(default_factory=list)
    waits: list[WaitReason] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    parked: list[WaitReason] = field(default_factory=list)
    unparked: list[JobId] = field(default_factory=list)
    late: list[LateJob] = field(default_factory=list)
    is_truncated: bool = False
