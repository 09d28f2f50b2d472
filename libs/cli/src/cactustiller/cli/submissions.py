"""Job as a submitter states it; what is left out comes from the queue."""

from pydantic import Field

from cactustiller.model import QueueName, Record, TaskTemplate, TeamId, WorkloadKind
from cactustiller.model.jobs import MAX_TASKS_PER_JOB, NAME_PATTERN


class JobSubmission(Record):
    """Job to submit; `kind` and `max_attempts` default to the queue's settings."""

    name: str = Field(pattern=NAME_PATTERN)
    team: TeamId
    queue: QueueName
    kind: WorkloadKind | None = None
    task_count: int = Field(default=1, ge=1, le=MAX_TASKS_PER_JOB)
    template: TaskTemplate
    deadline_seconds: float = Field(default=0.0, ge=0.0)
    max_attempts: int | None = Field(default=None, ge=1, le=100)
