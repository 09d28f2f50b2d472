"""What the owner knows of one worker: room, runs, lease and health."""

from collections import deque
from dataclasses import dataclass, field

from cactustiller.model import Amounts, ServiceName, WorkerId

from .pacing import Pace

# A worker's clock may run this much slower than ours.
CLOCK_DRIFT = 0.02
LEASE_MARGIN_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Entry of a worker in the list of workers.

    Attributes
    ----------
    born_ms : int
        Unix milliseconds of the worker's start; tells its lives apart.
    remaining_ms : int
        Least time left to a draining worker.
    """

    worker: WorkerId
    address: str
    service: ServiceName
    zone: str
    capacity: Amounts
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    remaining_ms: int = 0
    born_ms: int = 0

    @property
    def rack(self):
        """Rack of the worker, its last label."""
        return self.labels[-1] if self.labels else ""


@dataclass(slots=True, eq=False)
class Worker:
    """State of a worker as its owner sees it; times are seconds of the loop.

    Attributes
    ----------
    runs : dict of str to TaskRun
        Runs that may be there, by task name.
    strays : dict of (str, int) to tuple
        Runs there that nobody asks for, with the room that they take.
    acked_through, seen_through : int
        Last end acknowledged to the worker, and last end processed.
    unstored_ends : deque of (int, JobId)
        Ends processed whose job's row may not be stored yet, with that job.
    lease_ends_at : float
        Time by which every lease granted so far has surely lapsed.
    listed_at : float
        When the call was sent whose answer listed the runs last.
    draining_since : float
        When its entry first said how long it stays.
    is_refusing : bool
        Nothing listens at its address any more.
    avoided_until : float
        Time until which nothing new is placed there.
    """

    info: WorkerInfo
    is_listed: bool = True
    is_reachable: bool = False
    is_synchronized: bool = False
    born_ms: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    free_accelerators: int = 0
    runs: dict = field(default_factory=dict)
    orphaned_runs: dict = field(default_factory=dict)
    acked_through: int = 0
    processed_through: int = 0
    unstored_ends: deque = field(default_factory=deque)
    clock_offset: float | None = None
    lease_ends_at: float = 0.0
    listed_at: float = 0.0
    draining_since: float = 0.0
    refuses_connections: bool = False
    avoided_until: float = 0.0
    failures: int = 0
    failed_jobs: set = field(default_factory=set)
    reserved_for: object = None
    pace: Pace = field(default_factory=Pace)

    def __post_init__(self):
        self.free_cpu, self.free_memory, self.free_accelerators = self.info.capacity

    def take_capacity(self, amounts):
        """Count the amounts of a run that may be there."""
        self.free_cpu -= amounts[0]
        self.free_memory -= amounts[1]
        self.free_accelerators -= amounts[2]

    def release_capacity(self, amounts):
        """Free the amounts of a run that has surely ended."""
        self.free_cpu += amounts[0]
        self.free_memory += amounts[1]
        self.free_accelerators += amounts[2]

    def count_fits(self, amounts, max_count):
        """Return how many tasks of the amounts fit, at most `most`."""
        if amounts[0]:
            max_count = min(max_count, self.free_cpu // amounts[0])
        if amounts[1]:
            max_count = min(max_count, self.free_memory // amounts[1])
        if amounts[2]:
            max_count = min(max_count, self.free_accelerators // amounts[2])
        return max(0, max_count)

    def is_schedulable(self, now):
        """Return whether new tasks may be placed there."""
        return (
            self.is_listed
            and self.is_reachable
            and self.is_synchronized
            and not self.info.is_draining
            and now >= self.avoided_until
        )

    def update_clock_offset(self, clock_ms, received_at):
        """Take a reading of the worker's clock in an answer.

        The clock was read before the answer came, so the offset is never too large.
        """
        self.clock_offset = clock_ms / 1000 - received_at

    def grant_lease_ms(self, now, lease_seconds):
        """Return the deadline on the worker's clock, or None where none is granted.

        A worker's clock that runs slow reaches the deadline later; the bound that is
        kept counts for that. A call without an answer may be carried out later, so
        nothing more is granted to a worker that does not answer: its lease must lapse.
        """
        if self.clock_offset is None or not self.is_reachable:
            return None
        bound = self._latest_lease_end(now, lease_seconds)
        self.lease_ends_at = max(self.lease_ends_at, bound)
        return int((now + self.clock_offset + lease_seconds) * 1000)

    def cap_lease(self, now, lease_seconds):
        """Note that no lease granted so far reaches further than one from now."""
        self.lease_ends_at = self._latest_lease_end(now, lease_seconds)

    def _latest_lease_end(self, now, lease_seconds):
        return now + lease_seconds * (1 + CLOCK_DRIFT) + LEASE_MARGIN_SECONDS

    def reset_incarnation(self):
        """Reset what belonged to the worker's former life."""
        self.acked_through = self.processed_through = 0
        self.unstored_ends.clear()
        self.clock_offset = None
        self.is_synchronized = False
