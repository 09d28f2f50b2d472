"""Requests and replies of the platform's protocols."""

from typing import Any

import structlog
from pydantic import ConfigDict, Field, ValidationError, field_validator

from cactustiller.model import (
    Attempt,
    ExecutorId,
    InstanceState,
    JobId,
    PartitionId,
    Record,
    Resources,
    RunState,
    ServiceName,
    WorkerId,
)

# Largest number of slots or connections of an executor.
MAX_COUNT = 2**31 - 1

log = structlog.get_logger(__name__)


class Reply(Record):
    """Reply of a platform service; unknown fields are ignored for compatibility."""

    model_config = ConfigDict(extra="ignore")


class Check(Record):
    """Precondition that a row is at `version`; 0 requires that it is absent."""

    key: str
    version: int


class Put(Record):
    """Row to write."""

    key: str
    value: dict[str, Any]


class Write(Record):
    """Transaction: applies all puts and deletes if every check holds, else none."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Row(Reply):
    """Row of the table; an absent row has version 0 and no value."""

    key: str
    version: int
    value: dict[str, Any] | None = None


class TransactReply(Reply):
    """Reply to a `Write`; `conflicts` lists the rows whose checks failed."""

    committed: bool
    version: int = 0
    conflicts: list[Row] = []


class Get(Record):
    """Read of one row; omits the value if the row is still at `known_version`."""

    key: str
    known_version: int = 0


class Scan(Record):
    """Read of up to `limit` rows by key prefix, in key order, after key `after`."""

    prefix: str
    after: str = ""
    limit: int = Field(default=1000, ge=1)


class Read(Record):
    """Several gets and scans in one request."""

    gets: list[Get] = []
    scans: list[Scan] = []


class GotRow(Row):
    """Reply to a `Get`; `unchanged` if the row is still at the known version."""

    unchanged: bool = False


class ScanPage(Reply):
    """Reply to a `Scan`; `next` is the `after` of the next page, empty at the end."""

    rows: list[Row] = []
    next: str = ""


class ReadReply(Reply):
    """Reply to a `Read`, in the order of its gets and scans."""

    gets: list[GotRow] = []
    scans: list[ScanPage] = []


class WorkerInfo(Reply):
    """Worker in the platform's instance list."""

    worker: WorkerId
    address: str
    rack: str
    zone: str
    region: str = ""
    make: str = ""
    attributes: dict[str, str] = {}
    resources: Resources
    state: InstanceState = InstanceState.LIVE
    honours_epochs: bool = False


class BackendInfo(Reply):
    """Executor of a backend service in the platform's instance list."""

    executor: ExecutorId
    service: ServiceName
    address: str
    zone: str
    region: str = ""
    slots: int = Field(ge=0, le=MAX_COUNT)
    connections: int = Field(ge=0, le=MAX_COUNT)
    state: InstanceState = InstanceState.LIVE


class EntryInfo(Reply):
    """Entry instance in the platform's instance list."""

    instance: str
    zone: str
    state: InstanceState = InstanceState.LIVE


class InstanceListing(Reply):
    """The platform's instance list, which lags behind the actual state.

    Malformed entries are logged and left out.
    """

    workers: list[WorkerInfo] = []
    backends: list[BackendInfo] = []
    entries: list[EntryInfo] = []

    @field_validator("*", mode="wrap")
    @classmethod
    def _skip_malformed(cls, items, validate, info):
        if not isinstance(items, list):
            return validate(items)
        valid = []
        for item in items:
            try:
                valid += validate([item])
            except ValidationError as error:
                reason = str(error).splitlines()[1:3]
                log.warning("instance_skipped", list=info.field_name, reason=reason)
        return valid


class TaskKey(Reply):
    """Identifies one attempt of one task on a worker."""

    job: JobId
    index: int
    attempt: Attempt


class TaskStart(TaskKey):
    """Start of an attempt; time stamps are seconds on the worker's clock."""

    resources: Resources
    run_seconds: float
    payload: str
    start_before: float
    lease_until: float
    service: bool = False


class TaskRenewal(TaskKey):
    """Extension of an attempt's lease."""

    lease_until: float


class TaskStop(TaskKey):
    """Stop of an attempt, optionally after a checkpoint."""

    checkpoint: bool = False


class Apply(Record):
    """Starts, renewals and stops for one worker under a shard's epoch."""

    shard: PartitionId
    epoch: int
    owner: str
    starts: list[TaskStart] = []
    renew: list[TaskRenewal] = []
    stops: list[TaskStop] = []


class RefusedStart(TaskKey):
    """Start that the worker refuses."""

    reason: str


class ApplyReply(Reply):
    """Reply to `Apply`; `now` is the time on the worker's clock in seconds."""

    now: float
    refused: list[RefusedStart] = []
    sequence: int = 0


class Watch(Record):
    """Long poll for changes after the sequence number `after`."""

    shard: PartitionId
    epoch: int
    after: int = 0
    wait_ms: int = 0


class TaskStatus(TaskKey):
    """State of an attempt, reported by its worker."""

    state: RunState
    lease_until: float = 0.0
    usage: Resources = Resources()
    reason: str = ""
    run_seconds: float = 0.0


class WatchReply(Reply):
    """Reply to `Watch`: changed attempts; `boot` changes when the worker restarts."""

    now: float
    sequence: int
    boot: str
    tasks: list[TaskStatus] = []
