"""Messages between daemons; each class has a struct in ``messages.capnp``."""

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
    """Acknowledges a request that has no other answer."""


class SubmitJob(Record):
    """Asks a home to accept a job; idempotent by `job`."""

    home: PartitionId
    job: JobId
    spec: JobSpec
    key: KeyId


class GetJob(Record):
    """Asks a home for a job's state."""

    home: PartitionId
    job: JobId
    detail: bool = False


class CancelJob(GetJob):
    """Asks a home to cancel a job."""


class ExplainJob(GetJob):
    """Asks a home why a job waits or how it was placed."""


class TaskView(Record):
    """State of one task for its submitter."""

    index: int
    state: TaskState
    attempt: Attempt
    worker: WorkerId
    reason: str = ""


class JobView(Record):
    """State of a job; counts are tasks, start times seconds since submission."""

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
    """Asks a home for a team's jobs."""

    team: TeamId
    home: PartitionId


class JobList(Record):
    """Jobs of one team."""

    jobs: list[JobView]


class Explanation(Record):
    """Lines of text that explain decisions."""

    lines: list[str]


class RunKey(Record):
    """Identifies one attempt of one task."""

    job: JobId
    index: int
    attempt: Attempt


class ReserveRuns(Record):
    """Asks a shard to hold capacity for runs until committed or `hold_ms`."""

    shard: PartitionId
    hold_ms: int
    runs: list[RunRecord]
    all_or_none: bool = False


class Reservation(Record):
    """Answer to one run of `ReserveRuns`."""

    granted: bool
    reason: str = ""


class Reservations(Record):
    """Answers to `ReserveRuns` in order, valid under the shard's `epoch`."""

    epoch: int
    results: list[Reservation]


class ReleaseRuns(Record):
    """Gives reservations back to a shard."""

    shard: PartitionId
    runs: list[RunKey]


class StartRuns(Record):
    """Tells a shard that the assignments of these runs are committed.

    `epoch` is that of the shard's reservations; where it is another, the shard
    verifies each assignment in the table service.
    """

    shard: PartitionId
    runs: list[RunRecord]
    epoch: int = 0


class Refusal(Record):
    """One run that a shard will never start under its attempt."""

    run: RunKey
    reason: str


class StartAnswer(Record):
    """Runs of `StartRuns` that will not start, at the epoch of the shard's owner."""

    epoch: int
    refused: list[Refusal]


class StopRuns(Record):
    """Asks a shard to stop runs, after a checkpoint where asked."""

    shard: PartitionId
    runs: list[RunKey]
    checkpoint: bool = False
    reason: str = ""


class RunReport(Record):
    """State of one attempt as its shard knows it."""

    run: RunKey
    state: RunState
    worker: WorkerId
    reason: str = ""
    run_seconds: float = 0.0


class ReportRuns(Record):
    """Tells a home what became of runs on a shard; repeated until recorded.

    `epoch` is that of the shard at the sender.
    """

    home: PartitionId
    shard: PartitionId
    epoch: int
    reports: list[RunReport]


class ReportAnswer(Record):
    """Runs whose end is in the table service."""

    recorded: list[RunKey]


class WorkerView(Record):
    """Free capacity of a worker as its shard sees it."""

    worker: WorkerId
    shard: PartitionId
    free: Resources
    usable: bool
    reason: str = ""


class PublishWorkers(Record):
    """Changed workers of a member's shards; all of them where `full`."""

    member: MemberId
    full: bool
    workers: list[WorkerView]


class TeamUsage(Record):
    """Resources that a team uses and waits for."""

    team: TeamId
    used: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES


class KeptCapacity(Record):
    """Capacity of a worker that stays free for work which needs much at once."""

    worker: WorkerId
    tasks: int
    amounts: Resources


class ClaimView(Record):
    """Claim of waiting work; `since` in seconds since the Unix epoch."""

    job: JobId
    since: float
    starts_in_seconds: float
    kept: list[KeptCapacity]


class PublishUsage(Record):
    """Usage of the teams of a member's homes and all its claims.

    The teams are those that changed, or all of them where `full`.
    """

    member: MemberId
    full: bool
    teams: list[TeamUsage]
    claims: list[ClaimView] = []


class Permit(Record):
    """Right to use one slot of an executor; `epoch` is the ballot of its grant."""

    executor: ExecutorId
    number: int
    epoch: int


class AcquirePermits(Record):
    """Renews every held permit of a gateway, frees its others and asks for more.

    `gateway` names the member and its incarnation; a message with a lower
    `sequence` than the last one of that gateway is ignored. No request that it
    sends has a deadline of more than `longest_ms`.
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
    """Granted permits; the held ones but `lost` are renewed for `life_ms`.

    `queued` counts the slots that gateways wait for; `share` is the most that one
    gateway may hold while there is a queue, 0 for no limit.
    """

    permits: list[Permit]
    queued: int = 0
    epoch: int = 0
    life_ms: int = 0
    share: int = 0
    lost: list[int] = []


class ReportPermits(Record):
    """Asks a gateway to follow a ballot and to name the permits it holds.

    `epoch` 0 only asks for the highest ballot that it follows.
    """

    service: ServiceName
    epoch: int


class HeldPermits(Record):
    """Permits that a gateway holds, and the highest ballot that it follows."""

    permits: list[Permit]
    epoch: int = 0
    gateway: str = ""
    longest_ms: int = 0


class AnnounceSettings(Record):
    """Tells a peer that a settings version is committed.

    `patch` is the JSON merge patch (RFC 7386) that turns the text of
    `base_version` into a text with `digest`; empty where the peer must ask.
    """

    version: int
    origin: str = ""
    base_version: int = 0
    patch: str = ""
    digest: str = ""


class GetSettings(Record):
    """Asks a peer for its settings if newer than `known_version`."""

    known_version: int = 0


class SettingsBody(Record):
    """Settings version and its text; empty text where not newer.

    `age_ms` is the time since the version was last confirmed to be in force,
    `table_down` whether the sender's last read of the table service failed, and
    `member_count` how many members it knows.
    """

    version: int
    text: str = ""
    age_ms: int = 0
    table_down: bool = False
    member_count: int = 0


class AnnounceOwnership(Record):
    """Tells a peer that an ownership version is committed."""

    version: int
    origin: str = ""


class GetStats(Record):
    """Asks a member for its counters and histograms."""


class Stats(Record):
    """Counters and histograms as JSON."""

    text: str


class Drain(Record):
    """Asks a member to shut down gracefully."""


class HandInJob(Record):
    """Asks a cell's owner to store a job; `row` is the text of its row."""

    job: JobId
    row: str


class WithdrawJob(Record):
    """Asks a cell's owner to cancel a job."""

    job: JobId


class AnnounceOwner(Record):
    """Tells a member who owns the cell and which desired state is in force there."""

    epoch: Epoch
    member: MemberId
    address: str
    desired_version: int = 0


class HandOver(Record):
    """Invites a member to take the cell over from the owner of an epoch."""

    epoch: Epoch


class GetDesired(Record):
    """Asks a member for the desired state in force there."""


class DesiredText(Record):
    """Desired state as its row holds it; empty where there is none."""

    text: str = ""


class FindJobState(Record):
    """Asks a cell's owner for the state of a job."""

    queue: QueueName
    job: JobId


class JobStateFound(Record):
    """State of a job; empty where the owner does not know the job."""

    state: str = ""


class CountPending(Record):
    """Asks a cell's owner how many jobs of a queue have not started."""

    queue: QueueName


class PendingCounted(Record):
    """Number of jobs of a queue that have not started."""

    count: int


class AskApproval(Record):
    """Asks a member to call the approval service for a step."""

    step: str
    workers: list[WorkerId]


class ApprovalGiven(Record):
    """Tickets by worker, valid for `valid_ms` from the service's answer."""

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
