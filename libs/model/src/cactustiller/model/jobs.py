"""Jobs and tasks, and the rows of the table service that store them."""

from pydantic import Field

from .ids import (
    Attempt,
    JobId,
    KeyId,
    MemberId,
    PartitionId,
    QueueName,
    TeamId,
    WorkerId,
)
from .record import Labels, Record
from .resources import Resources
from .states import JobState, TaskState, Urgency, WorkloadKind

MAX_TASKS_PER_JOB = 10_000
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"


class TaskTemplate(Record):
    """Requirements of each task of a job.

    Parameters
    ----------
    resources : Resources
        Declared resource amounts.
    run_seconds : float
        Declared run time in seconds; 0 for services.
    payload : str
        Opaque text that is passed to the worker.
    required : dict of str to str
        Worker attributes that must match (hard constraints).
    preferred : dict of str to str
        Worker attributes that should match (soft constraints).
    """

    resources: Resources
    run_seconds: float = Field(default=0.0, ge=0.0)
    payload: str = Field(default="", max_length=65_536)
    required: Labels = Field(default_factory=dict)
    preferred: Labels = Field(default_factory=dict)


class JobSpec(Record):
    """Submitted job; `deadline_seconds` is relative to acceptance, 0 for none."""

    name: str = Field(pattern=NAME_PATTERN)
    team: TeamId
    queue: QueueName
    kind: WorkloadKind
    urgency: Urgency = Urgency.NORMAL
    task_count: int = Field(ge=1, le=MAX_TASKS_PER_JOB)
    template: TaskTemplate
    deadline_seconds: float = Field(default=0.0, ge=0.0)
    max_attempts: int = Field(default=3, ge=1, le=100)


class JobRecord(Record):
    """Row ``job/<home>/<job>``; times are seconds since the Unix epoch.

    `run_seconds` is the longest run time of its succeeded tasks, 0 if unknown.
    """

    job: JobId
    spec: JobSpec
    submitted_at: float
    state: JobState = JobState.WAITING
    reason: str = ""
    key: KeyId = KeyId("")
    ended_at: float = 0.0
    succeeded: int = 0
    failed: int = 0
    cancelled: int = 0
    run_seconds: float = 0.0


class TaskRecord(Record):
    """Row ``task/<home>/<job>/<index>``; absent until the task's first attempt."""

    job: JobId
    index: int
    state: TaskState = TaskState.WAITING
    attempt: Attempt = Attempt(0)
    failures: int = 0
    crashes: int = 0
    preemptions: int = 0
    run_seconds: float = 0.0
    worker: WorkerId = WorkerId("")
    shard: PartitionId = PartitionId("")
    changed_at: float = 0.0
    reason: str = ""


class RunRecord(Record):
    """Row ``run/<shard>/<job>/<index>``: committed assignment of a task to a worker."""

    job: JobId
    index: int
    attempt: Attempt
    home: PartitionId
    team: TeamId
    worker: WorkerId
    template: TaskTemplate
    kind: WorkloadKind
    urgency: Urgency = Urgency.NORMAL


class MemberRecord(Record):
    """Row ``member/<member>``, which every commit of the member checks and rewrites.

    A takeover rewrites the row as well. This fences the previous owner: its later
    commits fail, since they check a version of the row that is out of date.
    """

    member: MemberId
    role: str
    instance: str
    zone: str
    region: str = ""
    peer_address: str
    http_address: str = ""
    incarnation: str
    token: str = ""
    leaving: bool = False
    fenced: bool = False
    settings_version: int = 0
