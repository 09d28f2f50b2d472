"""Enumerations of states and error codes; the values are sent on the wire."""

from enum import StrEnum


class Role(StrEnum):
    """Program that a member runs."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"


class WorkloadKind(StrEnum):
    """Kind of a job; selects the placement policy."""

    SERVICE = "service"
    BATCH = "batch"
    ALL_AT_ONCE = "allAtOnce"


class Urgency(StrEnum):
    """Urgency of a queue's jobs."""

    URGENT = "urgent"
    NORMAL = "normal"
    IDLE = "idle"


class TaskState(StrEnum):
    """State of one task of a job."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Whether the task has ended and is not retried."""
        return self in FINAL_TASK_STATES

    @property
    def holds_capacity(self):
        """Whether the task occupies capacity and counts towards its team's limit."""
        return self in (TaskState.ASSIGNED, TaskState.RUNNING)


FINAL_TASK_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED}
)


class JobState(StrEnum):
    """State of a job, shown to its submitter."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Whether the job has ended."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


class RunState(StrEnum):
    """State of one attempt.

    `LAPSED` after an expired lease, `CRASHED` after a restart of its worker.
    """

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    CRASHED = "crashed"

    @property
    def has_ended(self):
        """Whether the worker has released the attempt's resources."""
        return self is not RunState.RUNNING


class InstanceState(StrEnum):
    """State of an instance in the platform's list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


class Outcome(StrEnum):
    """Effect of a refused or failed operation, as far as known."""

    NOT_RUN = "notRun"
    UNKNOWN = "unknown"
    FAILED = "failed"


class ErrorCode(StrEnum):
    """Machine-readable reason of a failure."""

    INVALID = "invalid"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "notFound"
    CONFLICT = "conflict"
    NOT_OWNER = "notOwner"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    FENCED = "fenced"
    PROTOCOL = "protocol"
    NEVER_RUNNABLE = "neverRunnable"
    UPSTREAM = "upstream"
    HISTORY_LOST = "historyLost"
    REPLACED = "replaced"
