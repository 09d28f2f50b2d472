"""Records of the worker protocol and the state of one run."""

import json
from math import inf

from pydantic import Field, ValidationError

from cactustiller.model import Record, Resources, RunState


class TaskReference(Record):
    """One attempt of one task."""

    job: str
    index: int
    attempt: int

    @property
    def key(self):
        """Identity of the attempt."""
        return (self.job, self.index, self.attempt)


class Start(TaskReference):
    """Task to start; times are seconds on the worker's clock."""

    resources: Resources
    run_seconds: float = Field(default=0.0, ge=0.0)
    payload: str = ""
    start_before: float
    lease_until: float
    service: bool = False


class Renewal(TaskReference):
    """Later end of a task's lease."""

    lease_until: float


class Stop(TaskReference):
    """Task to stop."""

    checkpoint: bool = False


class ApplyRequest(Record):
    """What a shard's owner wants of the worker."""

    shard: str
    epoch: int
    owner: str = ""
    starts: list[Start] = []
    renew: list[Renewal] = []
    stops: list[Stop] = []


class Refused(TaskReference):
    """Start that the worker refused."""

    reason: str


class ApplyReply(Record):
    """Answer to `ApplyRequest`."""

    now: float
    refused: list[Refused]
    sequence: int


class EpochRefused(Record):
    """Answer to a call of a former owner."""

    error: str = "epoch"
    epoch: int


class WatchRequest(Record):
    """Long poll for changes after a sequence number."""

    shard: str
    epoch: int
    after: int = 0
    wait_ms: int = Field(default=0, ge=0)


class TaskReport(TaskReference):
    """State of one attempt."""

    state: RunState
    lease_until: float
    usage: Resources
    reason: str
    run_seconds: float


class WatchReply(Record):
    """Answer to `WatchRequest`."""

    now: float
    sequence: int
    boot: str
    tasks: list[TaskReport]


class WorkerFaults(Record):
    """Faults of one worker; `restart` acts once and reads false again."""

    fail_all: bool = False
    late_reports_ms: int = Field(default=0, ge=0)
    refuse_stop: bool = False
    down: bool = False
    ignore_epochs: bool = False
    slow_ms: int = Field(default=0, ge=0)
    restart: bool = False


class Behaviour(Record):
    """What a payload makes the stand-in do other than declared."""

    actual_seconds: float | None = Field(default=None, ge=0.0)
    exit: RunState = RunState.SUCCEEDED
    actual_resources: Resources | None = None


def read_behaviour(start):
    """Return the `Behaviour` in the payload, the default where there is none."""
    try:
        payload = json.loads(start.payload)
        known = {
            name: payload[name] for name in Behaviour.model_fields.keys() & payload
        }
        return Behaviour.model_validate(known)
    except (ValueError, TypeError, ValidationError):
        return Behaviour()


class Run:
    """State of one attempt on its worker; ends at `finish_at` or its lease."""

    def __init__(self, start, now, behaviour):
        self.start = start
        self.started_at = now
        self.lease_until = start.lease_until
        self.usage = behaviour.actual_resources or start.resources
        self.finish_state = behaviour.exit
        self.finish_at = now + self._choose_seconds(start, behaviour)
        self.state = RunState.RUNNING
        self.reason = ""
        self.ended_at = 0.0
        self.sequence = 0
        self.changed_at = now
        self.timer = None

    @property
    def due_at(self):
        """Time at which the run ends unless renewed or stopped."""
        return min(self.finish_at, self.lease_until)

    @staticmethod
    def _choose_seconds(start, behaviour):
        if behaviour.actual_seconds is not None:
            return behaviour.actual_seconds
        return inf if start.service or not start.run_seconds else start.run_seconds
