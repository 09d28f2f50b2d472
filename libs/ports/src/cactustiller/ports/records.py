"""Records of the platform's protocols."""

from typing import Any

from pydantic import ConfigDict, Field

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


class Reply(Record):
    """Answer of an outside system; fields that it adds later are ignored."""

    model_config = ConfigDict(extra="ignore")


class Check(Record):
    """Condition that a row has a version; 0 means that it does not exist."""

    key: str
    version: int


class Put(Record):
    """Row to write."""

    key: str
    value: dict[str, Any]


class Write(Record):
    """Transaction: all puts and deletes if every check holds, else nothing."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Row(Reply):
    """Row of the table; version 0 and no value where it does not exist."""

    key: str
    version: int
    value: dict[str, Any] | None = None


class TransactReply(Reply):
    """Answer to a `Write`."""

    committed: bool
    version: int = 0
    conflicts: list[Row] = []


class Get(Record):
    """Read of one row, without its value if it still has `known_version`."""

    key: str
    known_version: int = 0


class Scan(Record):
    """Read of up to `limit` rows of a prefix, in order, after a key."""

    prefix: str
    after: str = ""
    limit: int = Field(default=1000, ge=1)


class Read(Record):
    """Several gets and scans in one request."""

    gets: list[Get] = []
    scans: list[Scan] = []


class GotRow(Row):
    """Answer to a `Get`."""

    unchanged: bool = False


class ScanPage(Reply):
    """Answer to a `Scan`; `next` is empty at the end."""

    rows: list[Row] = []
    next: str = ""


class ReadReply(Reply):
    """Answer to a `Read`, in the order of its parts."""

    gets: list[GotRow] = []
    scans: list[ScanPage] = []


class WorkerInfo(Reply):
    """Worker as the platform's list describes it."""

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
    """Executor of a backend service as the platform's list describes it."""

    executor: ExecutorId
    service: ServiceName
    address: str
    zone: str
    region: str = ""
    slots: int
    connections: int
    state: InstanceState = InstanceState.LIVE


class EntryInfo(Reply):
    """Entry instance as the platform's list describes it."""

    instance: str
    zone: str
    state: InstanceState = InstanceState.LIVE


class InstanceListing(Reply):
    """The platform's list; it lags behind the truth."""

    workers: list[WorkerInfo] = []
    backends: list[BackendInfo] = []
    entries: list[EntryInfo] = []


class TaskKey(Reply):
    """One attempt of one task on a worker."""

    job: JobId
    index: int
    attempt: Attempt


class TaskStart(TaskKey):
    """Start of an attempt; times are on the worker's clock in seconds."""

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
    """Stop of an attempt, after a checkpoint where asked."""

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
    """Start that the worker will not perform."""

    reason: str


class ApplyReply(Reply):
    """Answer to `Apply`; `now` is the worker's clock."""

    now: float
    refused: list[RefusedStart] = []
    sequence: int = 0


class Watch(Record):
    """Wait for changes after a sequence number."""

    shard: PartitionId
    epoch: int
    after: int = 0
    wait_ms: int = 0


class TaskStatus(TaskKey):
    """State of an attempt as its worker reports it."""

    state: RunState
    lease_until: float = 0.0
    usage: Resources = Resources()
    reason: str = ""
    run_seconds: float = 0.0


class WatchReply(Reply):
    """Changed attempts; `boot` differs after the worker restarted."""

    now: float
    sequence: int
    boot: str
    tasks: list[TaskStatus] = []
