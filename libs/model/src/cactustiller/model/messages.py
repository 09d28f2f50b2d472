"""Messages between daemons; each class has a struct in ``messages.capnp``.

The name of a class, in camel case, is the name of its field on the wire.
"""

from pydantic import Field

from .errors import Failure
from .ids import (
    Attempt,
    Epoch,
    ExecutorId,
    JobId,
    KeyId,
    MemberId,
    PartitionId,
    QueueName,
    ServiceName,
    TeamId,
    WorkerId,
)
from .jobs import JobSpec, RunRecord
from .record import Labels, Record
from .resources import NO_RESOURCES, Resources
from .states import JobState, RunState, TaskState

PROTOCOL_VERSION = 1


class Hello(Record):
    """First frame of each side of a connection."""

    protocol_version: int = PROTOCOL_VERSION
    member: MemberId
    role: str
    zone: str
    incarnation: str = ""


class Done(Record):
    """Reply to a request that returns no data."""


class SubmitJob(Record):
    """Submits a job to its home; idempotent by the job's id."""

    home: PartitionId
    job: JobId
    spec: JobSpec
    key: KeyId


class GetJob(Record):
    """Requests a job's state from its home."""

    home: PartitionId
    job: JobId
    detail: bool = False


class CancelJob(GetJob):
    """Requests that a home cancel a job."""


class ExplainJob(GetJob):
    """Requests why a job is pending or how it was placed."""


class TaskView(Record):
    """State of one task, shown to its submitter."""

    index: int
    state: TaskState
    attempt: Attempt
    worker: WorkerId
    reason: str = ""


class JobView(Record):
    """State of a job with task counts; start times in seconds since submission."""

    job: JobId
    spec: JobSpec
    state: JobState
    reason: str = ""
    submitted_at: float = 0.0
    ended_at: float = 0.0
    waiting: int = 0
    assigned: int = 0
    running: int = 0
    succeeded: int = 0
    failed: int = 0
    cancelled: int = 0
    first_start_seconds: float = -1.0
    last_start_seconds: float = -1.0
    tasks: list[TaskView] = []


class ListJobs(Record):
    """Requests the jobs of a team from its home."""

    team: TeamId
    home: PartitionId


class JobList(Record):
    """Jobs of one team."""

    jobs: list[JobView]


class Explanation(Record):
    """Explanation of scheduling decisions, as lines of text."""

    lines: list[str]


class RunKey(Record):
    """Identifies one attempt of one task."""

    job: JobId
    index: int
    attempt: Attempt


class ReserveRuns(Record):
    """Requests capacity of a shard for runs, until committed or for `hold_ms`."""

    shard: PartitionId
    hold_ms: int
    runs: list[RunRecord]
    all_or_none: bool = False


class Reservation(Record):
    """Result for one run of `ReserveRuns`."""

    granted: bool
    reason: str = ""


class Reservations(Record):
    """Reply to `ReserveRuns`, in its order; valid only in the shard's `epoch`."""

    epoch: int
    results: list[Reservation]


class ReleaseRuns(Record):
    """Releases reservations of a shard."""

    shard: PartitionId
    runs: list[RunKey]


class StartRuns(Record):
    """Informs a shard that the assignments of runs are committed.

    `epoch` is the epoch in which the shard granted the reservations. If the shard's
    epoch differs, it verifies each assignment in the table service.
    """

    shard: PartitionId
    runs: list[RunRecord]
    epoch: int = 0


class Refusal(Record):
    """Run that a shard refuses; the shard never starts this attempt."""

    run: RunKey
    reason: str


class StartAnswer(Record):
    """Reply to `StartRuns`: refused runs, and the epoch of the shard's owner."""

    epoch: int
    refused: list[Refusal]


class StopRuns(Record):
    """Requests that a shard stop runs, optionally after a checkpoint."""

    shard: PartitionId
    runs: list[RunKey]
    checkpoint: bool = False
    reason: str = ""


class RunReport(Record):
    """State of one attempt, reported by its shard."""

    run: RunKey
    state: RunState
    worker: WorkerId
    reason: str = ""
    run_seconds: float = 0.0


class ReportRuns(Record):
    """Reports the state of a shard's runs to a home; repeated until recorded.

    `epoch` is the shard's epoch at the sender.
    """

    home: PartitionId
    shard: PartitionId
    epoch: int
    reports: list[RunReport]


class ReportAnswer(Record):
    """Reply to `ReportRuns`: runs whose end is stored in the table service."""

    recorded: list[RunKey]


class WorkerView(Record):
    """Free capacity of a worker, reported by its shard."""

    worker: WorkerId
    shard: PartitionId
    free: Resources
    usable: bool
    reason: str = ""


class PublishWorkers(Record):
    """Changed workers of a member's shards, or all workers if `full`."""

    member: MemberId
    full: bool
    workers: list[WorkerView]


class TeamUsage(Record):
    """Resources that a team uses, and those that its pending work requests."""

    team: TeamId
    used: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES


class KeptCapacity(Record):
    """Capacity of a worker that a claim keeps free for all-at-once work."""

    worker: WorkerId
    tasks: int
    amounts: Resources


class ClaimView(Record):
    """Claim of pending work on capacity; `since` in seconds since the Unix epoch."""

    job: JobId
    since: float
    starts_in_seconds: float
    kept: list[KeptCapacity]


class PublishUsage(Record):
    """Usage of the teams whose homes a member owns, and all its claims.

    Includes the teams whose usage changed, or all teams if `full`.
    """

    member: MemberId
    full: bool
    teams: list[TeamUsage]
    claims: list[ClaimView] = []


class Permit(Record):
    """Right to use one slot of an executor; `epoch` is the ballot that granted it."""

    executor: ExecutorId
    number: int
    epoch: int


class AcquirePermits(Record):
    """Renews the `held` permits of a gateway, frees its others and requests more.

    `gateway` identifies the member and its incarnation. The receiver ignores a
    message with a lower `sequence` than the gateway's last one. `longest_ms` is the
    upper limit of the deadlines of the gateway's requests.
    """

    service: ServiceName
    count: int
    zone: str
    gateway: str
    sequence: int
    longest_ms: int = 0
    held: list[Permit] = []
    avoid: list[ExecutorId] = []


class Permits(Record):
    """Granted permits; held permits except `lost` are renewed for `life_ms`.

    `queued` is the number of slots for which gateways are queued. `share` is the
    maximum per gateway while there is a queue, 0 for no limit.
    """

    permits: list[Permit]
    queued: int = 0
    epoch: int = 0
    life_ms: int = 0
    share: int = 0
    lost: list[int] = []


class ReportPermits(Record):
    """Requests that a gateway follow a ballot and list the permits it holds.

    With `epoch` 0, only requests the highest ballot that the gateway follows.
    """

    service: ServiceName
    epoch: int


class HeldPermits(Record):
    """Reply to `ReportPermits`: held permits, and the highest ballot followed.

    `longest_ms` is the upper limit of the deadlines of the gateway's requests, and
    `limit_ms` that of any gateway's by the settings. For `previous_busy_ms` executors
    may still work on requests of the gateway's previous process, whose permits it does
    not know.
    """

    permits: list[Permit]
    epoch: int = 0
    gateway: str = ""
    longest_ms: int = 0
    limit_ms: int = 0
    previous_busy_ms: int = 0


class AnnounceSettings(Record):
    """Announces to a peer that a settings version is committed.

    `patch` is the JSON merge patch (RFC 7386) from the text of `base_version` to the
    text with `digest`. If it is empty, the peer has to request the text.
    """

    version: int
    origin: str = ""
    base_version: int = 0
    patch: str = ""
    digest: str = ""


class GetSettings(Record):
    """Requests a peer's settings if they are newer than `known_version`."""

    known_version: int = 0


class SettingsBody(Record):
    """Settings version and its text; the text is empty if it is not newer.

    `age_ms` is the time since the version was last confirmed as current. `table_down`
    is whether the sender's last read of the table service failed, and `member_count`
    is the number of members in the sender's view.
    """

    version: int
    text: str = ""
    age_ms: int = 0
    table_down: bool = False
    member_count: int = 0


class AnnounceOwnership(Record):
    """Announces to a peer that an ownership version is committed."""

    version: int
    origin: str = ""


class GetStats(Record):
    """Requests a member's counters and histograms."""


class Stats(Record):
    """Counters and histograms as JSON text."""

    text: str


class Drain(Record):
    """Requests that a member shut down gracefully."""


class HandInJob(Record):
    """Submits a job to a cell's owner; `row` is the text of the job's row."""

    job: JobId
    row: str


class WithdrawJob(Record):
    """Requests that a cell's owner cancel a job."""

    job: JobId


class AnnounceOwner(Record):
    """Announces a cell's owner and the version of its current desired state.

    A standby claims the cell before other members if the owner is lost.
    """

    epoch: Epoch
    member: MemberId
    address: str
    desired_version: int = 0
    is_standby: bool = False


class HandOver(Record):
    """Requests that a member take the cell over from the owner with `epoch`."""

    epoch: Epoch


class GetDesired(Record):
    """Requests a member's current desired state."""


class DesiredText(Record):
    """Text of the row that stores the desired state; empty if there is none."""

    text: str = ""


class FindJobState(Record):
    """Requests the state of a job from a cell's owner."""

    queue: QueueName
    job: JobId


class JobStateFound(Record):
    """State of a job; empty if the owner has no such job."""

    state: str = ""


class CountPending(Record):
    """Requests the number of a queue's jobs that have not started."""

    queue: QueueName


class PendingCounted(Record):
    """Number of jobs of a queue that have not started."""

    count: int


class AskApproval(Record):
    """Requests that a member call the approval service for a step."""

    step: str
    workers: list[WorkerId]


class ApprovalGiven(Record):
    """Tickets by worker, valid for `valid_ms` after the service's reply."""

    tickets: Labels = Field(default_factory=dict)
    valid_ms: int = 0


MESSAGES = (
    Hello,
    Done,
    Failure,
    SubmitJob,
    GetJob,
    JobView,
    ListJobs,
    JobList,
    CancelJob,
    ExplainJob,
    Explanation,
    ReserveRuns,
    Reservations,
    StartRuns,
    StartAnswer,
    StopRuns,
    ReportRuns,
    ReportAnswer,
    PublishWorkers,
    AcquirePermits,
    Permits,
    ReportPermits,
    HeldPermits,
    AnnounceSettings,
    GetSettings,
    SettingsBody,
    AnnounceOwnership,
    GetStats,
    Stats,
    Drain,
    PublishUsage,
    ReleaseRuns,
    HandInJob,
    FindJobState,
    JobStateFound,
    CountPending,
    PendingCounted,
    AskApproval,
    ApprovalGiven,
    WithdrawJob,
    AnnounceOwner,
    GetDesired,
    DesiredText,
    HandOver,
)
