"""Interfaces through which a cell meets its store, workers and approval service."""

from enum import Enum
from typing import NamedTuple, Protocol

from result import Result

from cactustiller.model import Failure, JobId, WorkerId

from .listings import Listing
from .workers import WorkerInfo


class RowKey(NamedTuple):
    """Address of a row; a transaction stays within one part."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """Row with its version; `value` is None where the row was removed."""

    key: RowKey
    value: bytes | None
    version: int


class Page(NamedTuple):
    """Rows of one moment; `now_ms` is the store's steady clock."""

    rows: tuple[Row, ...]
    version: int
    now_ms: int
    has_more: bool = False


class Transaction(NamedTuple):
    """Atomic change; `expected` has the version of each row, 0 for none."""

    expected: dict[RowKey, int]
    puts: dict[RowKey, bytes]
    removes: tuple[RowKey, ...] = ()


class Committed(NamedTuple):
    """Answer to a transaction that took effect."""

    version: int
    now_ms: int


class Conflict(NamedTuple):
    """Answer to a transaction whose condition did not hold."""

    rows: tuple[Row, ...]


class RowStore(Protocol):
    """Versioned rows with conditional transactions.

    A `Failure` whose outcome is `NOT_RUN` is a promise; any other may still take
    effect later. Code `historyLost` means that a feed cannot go on.
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
        """Return the rows changed after a version, waiting for at least one."""


class StartAnswer(Enum):
    """Answer of a worker to a start."""

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
    """Start of one run; `deadline_ms` is on the worker's clock."""

    task: str
    run: int
    payload: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class WorkerCalls(Protocol):
    """Calls to one worker; each also tells the worker's clock."""

    async def start(self, worker: WorkerInfo, order: StartOrder) -> StartAnswer:
        """Start a run."""

    async def stop(
        self, worker: WorkerInfo, task: str, run: int, fencing_token: int
    ) -> Result[None, Failure]:
        """Stop a run; one that has not started yet never will."""

    async def pace(
        self, worker: WorkerInfo, task: str, run: int, percent: int, fencing_token: int
    ) -> Result[None, Failure]:
        """Let a filling run work at a share of its speed."""

    async def hold(
        self,
        worker: WorkerInfo,
        fencing_token: int,
        acked_through: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Result[Listing, Failure]:
        """Renew the lease of all runs and wait for an end."""


class Approval(NamedTuple):
    """Workers that may run a step, with their tickets."""

    tickets: dict[WorkerId, str]
    valid_seconds: float


class ApprovalService(Protocol):
    """Names the workers that may run a step; serves one call at a time."""

    async def ask(
        self, step: str, workers: list[WorkerId]
    ) -> Result[Approval, Failure]:
        """Return the approval for the workers named."""


JOB_TABLE = "jobs"
PROGRESS_TABLE = "progress"
OWNER_TABLE = "owner"
MEMBER_TABLE = "members"
# One transaction changes the owner's row together with jobs and progress, so all
# of a cell lies in one part.
CELL_PART = "cell"
CANCEL_SUFFIX = "!"
OWNER_ROW = RowKey(OWNER_TABLE, CELL_PART, "owner")


def make_job_key(job):
    """Return the key of a job's row."""
    return RowKey(JOB_TABLE, CELL_PART, job)


def make_cancel_key(job):
    """Return the key of the row that says a job is cancelled."""
    return RowKey(JOB_TABLE, CELL_PART, job + CANCEL_SUFFIX)


def make_progress_key(job):
    """Return the key of a job's progress row."""
    return RowKey(PROGRESS_TABLE, CELL_PART, job)


def split_job_key(key):
    """Return the job of a row's key and whether the row cancels it."""
    if key.endswith(CANCEL_SUFFIX):
        return JobId(key.removesuffix(CANCEL_SUFFIX)), True
    return JobId(key), False
