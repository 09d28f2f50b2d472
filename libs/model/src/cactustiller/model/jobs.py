"""Jobs, their tasks and the rows in which the table service keeps them."""

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
    """What one task of a job needs.

    Parameters
    ----------
    resources : Resources
        Declared amounts.
    run_seconds : float
        Declared run time in seconds; 0 for services.
    payload : str
        Opaque text handed to the worker.
    required : dict of str to str
        Worker attributes that must match.
    preferred : dict of str to str
        Worker attributes that should match.
    """

    resources: Resources
    run_seconds: float = Field(default=0.0, ge=0.0)
    payload: str = Field(default="", max_length=65_536)
    required: Labels = Field(default_factory=dict)
    preferred: Labels = Field(default_factory=dict)


class JobSpec(Record):
    """Job as submitted; `deadline_seconds` counts from acceptance, 0 for none."""

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

    `run_seconds` is the longest run of its tasks that succeeded, 0 where unknown.
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
    """Row ``task/<home>/<job>/<index>``; absent while the task never ran."""

    job: JobId
    index: int
    state: TaskState = TaskState.WAITING
    attempt: Attempt = Attempt(0)
    failures: int = 0
    preemptions: int = 0
    run_seconds: float = 0.0
    worker: WorkerId = WorkerId("")
    shard: PartitionId = PartitionId("")
    changed_at: float = 0.0
    reason: str = ""


class RunRecord(Record):
    """Row ``run/<shard>/<job>/<index>``: a committed assignment to a worker."""

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
    """Row ``member/<member>``; every commit of the member rewrites it.

    A takeover rewrites it as well, which fences the former owner: each of its
    later commits is conditional on a version of the row that is gone.
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
