"""What a placement decision sees and what it yields."""

from dataclasses import dataclass, field
from math import inf

from cactustiller.model import (
    NOTHING,
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
    """Usable worker with its free capacity."""

    worker: WorkerId
    shard: PartitionId
    zone: str
    rack: str
    make: str
    attributes: dict[str, str]
    total: Resources
    free: Resources


@dataclass(slots=True)
class WaitingJob:
    """Job with tasks that wait.

    Parameters
    ----------
    submitted_at, deadline_at : float
        Wall-clock seconds; 0 for no deadline.
    longest_seconds, typical_seconds : float
        Run times of one task that nine and five of ten runs do not exceed.
    is_learnt : bool
        Whether they come from what ran, not from what was declared.
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
    """Task that holds capacity; times are wall-clock seconds.

    `expected_end` is infinite where no end is known, as for services.
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
    """Team with its share, its limit (0 = none), its use and its waiting work.

    `owed` is the part of the cell that the team was short of its share, remembered
    over the share window; negative where it had more. A team that `is_remote` has its
    home on another member, which places its work.
    """

    team: TeamId
    share_weight: float = 1.0
    limit: Resources = NOTHING
    limit_tasks: int = 0
    used: Resources = NOTHING
    used_tasks: int = 0
    waiting: Resources = NOTHING
    deficit: float = 0.0
    is_remote: bool = False


@dataclass(slots=True)
class Claim:
    """Capacity that all-at-once work waits for, on named workers.

    Parameters
    ----------
    since : float
        Wall-clock seconds; of two claims the earlier goes first.
    start_at : float
        Predicted start; work that ends before it may use the claimed capacity.
    tasks : dict of WorkerId to int
        Tasks that are to start on each worker.
    reserved : dict of WorkerId to Amounts
        Capacity that must stay free now for the start to come true.
    """

    job: JobId
    since: float
    start_at: float
    tasks: dict[WorkerId, int] = field(default_factory=dict)
    reserved: dict[WorkerId, Amounts] = field(default_factory=dict)

    @property
    def precedence(self):
        """Order among claims, the same on every member."""
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
    """Decision to stop a task, after a checkpoint, for other work."""

    task: RunningTask
    wanted_by: JobId
    reason: str


@dataclass(slots=True)
class WaitReason:
    """Why a job's tasks go on waiting."""

    job: JobId
    reason: str


@dataclass(slots=True)
class LateJob:
    """Job that can no longer finish in time; wall-clock seconds."""

    job: JobId
    deadline_at: float
    finish_at: float


@dataclass(slots=True)
class Plan:
    """Result of one decision.

    Parameters
    ----------
    waits : list of WaitReason
        Jobs that were considered and not placed; others of the same shape and team
        wait behind them.
    parked, unparked : list
        Jobs that no listed worker could ever take, and those that now can run.
    late : list of LateJob
        Jobs found to be late in this decision.
    is_cut : bool
        Whether more could be placed at once by another decision.
    """

    placements: list[Placement] = field(default_factory=list)
    waits: list[WaitReason] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    parked: list[WaitReason] = field(default_factory=list)
    unparked: list[JobId] = field(default_factory=list)
    late: list[LateJob] = field(default_factory=list)
    is_truncated: bool = False
