"""Enumerated states; their values are the spelling used on the wire."""

from enum import StrEnum


class Role(StrEnum):
    """Program that a member runs."""

    GATEWAY = "gateway"
    SCHEDULER = "scheduler"


class WorkloadKind(StrEnum):
    """Kind of a job, which selects its placement policy."""

    SERVICE = "service"
    BATCH = "batch"
    ALL_AT_ONCE = "allAtOnce"


class Urgency(StrEnum):
    """Urgency of a queue's work."""

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
        """Whether the task never runs again."""
        return self in FINAL_TASK_STATES

    @property
    def holds_capacity(self):
        """Whether the task counts against its team's limit."""
        return self in (TaskState.ASSIGNED, TaskState.RUNNING)


FINAL_TASK_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.CANCELLED}
)


class JobState(StrEnum):
    """State of a job as its submitter sees it."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Whether the job is over."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


class RunState(StrEnum):
    """State of one attempt as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"

    @property
    def has_ended(self):
        """Whether the worker has given the attempt's resources back."""
        return self is not RunState.RUNNING


class InstanceState(StrEnum):
    """State of an instance in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


class Outcome(StrEnum):
    """What is known of a refused or failed operation's effect."""

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
