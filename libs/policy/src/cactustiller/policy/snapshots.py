"""What a placement decision sees: workers, waiting jobs and teams."""

from dataclasses import dataclass, field

from cactustiller.model import (
    NOTHING,
    JobId,
    JobSpec,
    PartitionId,
    Resources,
    TeamId,
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
    """Job with tasks that wait; times are wall-clock seconds, 0 for no deadline."""

    job: JobId
    spec: JobSpec
    indices: tuple[int, ...]
    submitted_at: float
    deadline_at: float = 0.0
    spread: str = "none"
    ageing_seconds: float = 600.0
    avoided_workers: frozenset[WorkerId] = frozenset()


@dataclass(slots=True)
class TeamSnapshot:
    """Team with its share, its limit (0 = none) and its use."""

    team: TeamId
    share_weight: float = 1.0
    limit: Resources = NOTHING
    limit_tasks: int = 0
    used: Resources = NOTHING
    used_tasks: int = 0


@dataclass(slots=True)
class Snapshot:
    """Input of one decision at `now` (wall-clock seconds)."""

    now: float
    workers: list[WorkerSnapshot]
    jobs: list[WaitingJob]
    teams: dict[TeamId, TeamSnapshot]


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
class WaitReason:
    """Why a job's tasks go on waiting."""

    job: JobId
    position: int
    reason: str


@dataclass(slots=True)
class Plan:
    """Result of one decision."""

    placements: list[Placement] = field(default_factory=list)
    waits: list[WaitReason] = field(default_factory=list)
