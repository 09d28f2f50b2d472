"""Interfaces of a cell to its store, workers and approval service."""

from collections import Counter
from enum import Enum
from typing import NamedTuple, Protocol

from result import Result

from cactustiller.model import Failure, JobId, WorkerId

from .records.listings import Listing
from .records.workers import WorkerInfo


class RowKey(NamedTuple):
    """Key of a row; all rows of a transaction belong to one part of the store."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """Row with its version; `value` is None if the row was removed."""

    key: RowKey
    value: bytes | None
    version: int


class Page(NamedTuple):
    """Snapshot of rows; `now_ms` is the store's monotonic clock in milliseconds."""

    rows: tuple[Row, ...]
    version: int
    now_ms: int
    has_more: bool = False


class Transaction(NamedTuple):
    """Atomic change on condition of row versions.

    `expected` maps rows to their versions, 0 for a row that must not exist.
    """

    expected: dict[RowKey, int]
    puts: dict[RowKey, bytes]
    removes: tuple[RowKey, ...] = ()


class Committed(NamedTuple):
    """Answer to a transaction that was committed."""

    version: int
    now_ms: int


class Conflict(NamedTuple):
    """Answer to a transaction whose expected versions did not match.

    `rows` are the current rows.
    """

    rows: tuple[Row, ...]


class RowStore(Protocol):
    """Store of versioned rows with conditional transactions and change feeds.

    A `Failure` with the outcome `NOT_RUN` guarantees that the call has no effect; after
    any other, the call may still take effect later. The code `invalid` means that the
    store refuses the call for what it contains, such as a row that is too large, so
    that a retry fails as well. The code `historyLost` means that the feed no longer has
    the changes since the given version.
    """

    async def transact(
        self, transaction: Transaction, seconds: float
    ) -> Result[Committed | Conflict, Failure]:
        """Perform one transaction."""

    async def read(
        self, table: str, part: str, first: str, last: str, seconds: float
    ) -> Result[Page, Failure]:
        """Return rows with keys from `first` to before `last`."""

    async def follow(
        self, table: str, after: int, wait_seconds: float
    ) -> Result[Page, Failure]:
        """Return the rows changed after a version, waiting until one changes."""


class StartAnswer(Enum):
    """Answer of a worker to a start.

    All but `STARTED` and `UNANSWERED` mean that the run has not been started.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD_RUN = "oldRun"
    TOO_LATE = "tooLate"
    NO_CAPACITY = "noRoom"
    NO_TICKET = "noTicket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "otherLife"
    UNANSWERED = "unanswered"


class StartOrder(NamedTuple):
    """Start of one run; `deadline_ms` is the end of its lease on the worker's clock."""

    task: str
    run: int
    payload: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class WorkerCalls(Protocol):
    """Calls to one worker.

    A worker refuses calls whose fencing token is lower than the highest it has seen.
    The listing returned by `hold` includes the time of the worker's clock.
    """

    async def start(self, worker: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run."""

    async def stop(
        self, worker: WorkerInfo, task: str, run: int, fencing_token: int
    ) -> Result[None, Failure]:
        """Stop a run; if it has not started yet, it never starts."""

    async def pace(
        self, worker: WorkerInfo, task: str, run: int, percent: int, fencing_token: int
    ) -> Result[None, Failure]:
        """Limit the speed of a run that fills idle capacity to a percentage."""

    async def hold(
        self,
        worker: WorkerInfo,
        fencing_token: int,
        acked_through: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Result[Listing, Failure]:
        """Renew the lease of all runs, wait for one to end and return the listing.

        Acknowledges the ends of runs with numbers up to `acked_through`. Without a
        deadline, no lease is renewed.
        """

    def count_connections(self) -> Counter:
        """Return the workers by their number of open connections."""


class Approval(NamedTuple):
    """Workers that may run a step, with the tickets to present at a start."""

    tickets: dict[WorkerId, str]
    valid_seconds: float


class ApprovalService(Protocol):
    """Decides which workers may run a step; handles one call of a member at a time."""

    async def ask(
        self, step: str, workers: list[WorkerId]
    ) -> Result[Approval, Failure]:
        """Return the approval for the given workers."""


JOB_TABLE = "jobs"
PROGRESS_TABLE = "progress"
OWNER_TABLE = "owner"
MEMBER_TABLE = "members"
# One transaction changes the owner's row together with jobs and progress, so all rows
# of a cell belong to one part.
CELL_PART = "cell"
CANCEL_SUFFIX = "!"
OWNER_ROW = RowKey(OWNER_TABLE, CELL_PART, "owner")


def make_job_key(job):
    """Return the key of a job's row."""
    return RowKey(JOB_TABLE, CELL_PART, job)


def make_cancel_key(job):
    """Return the key of the row that marks a job as cancelled."""
    return RowKey(JOB_TABLE, CELL_PART, job + CANCEL_SUFFIX)


def make_progress_key(job):
    """Return the key of a job's progress row."""
    return RowKey(PROGRESS_TABLE, CELL_PART, job)


def split_job_key(key):
    """Return the job of a row's key and whether the row marks its cancellation."""
    if key.endswith(CANCEL_SUFFIX):
        return JobId(key.removesuffix(CANCEL_SUFFIX)), True
    return JobId(key), False
