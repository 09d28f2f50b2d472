"""Owner's state of one worker: capacity, runs, lease and health."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from cactustiller.model import Amounts, ServiceName, WorkerId

from .pacing import Pace

# Maximum fraction by which a worker's clock may run slower than the owner's.
CLOCK_DRIFT = 0.02
LEASE_MARGIN_SECONDS = 0.3
# Time after which an order that got no answer is no longer carried out.
LATE_ORDER_SECONDS = 12.0
# Workers shorten longer leases to this. The clock of a new process begins anew, so that
# there the deadline in an order for the former process is far away.
LONGEST_LEASE_SECONDS = 10.0
# Time after a restart within which the new process may carry out such an order.
LATE_ORDER_SECONDS = 6.0


class WorkerLoss(Enum):
    """How the runs of a worker were lost, as far as the owner can tell.

    Only `RESTARTED` is certain: the process that had the runs is gone. The others are
    likely causes once a lease has expired. `LEFT` means that a draining worker is no
    longer listed and nothing listens at its address; `GONE` that nothing listens there,
    or that the entry has been removed; `SILENT` that the worker is still listed and
    does not answer.
    """

    RESTARTED = "restarted"
    LEFT = "left"
    GONE = "gone"
    SILENT = "silent"


class Exclusion(Enum):
    """Why no new tasks are placed on a worker."""

    UNLISTED = "unlisted"
    UNREACHABLE = "unreachable"
    NOT_SYNCHRONIZED = "not synchronized"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    AVOIDED = "avoided"
    OUTDATED_ENTRY = "outdated entry"


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Entry of a worker in the list of workers.

    Attributes
    ----------
    remaining_ms : int
        Minimum time until a draining worker leaves.
    born_ms : int
        Unix milliseconds of the worker's start; identifies its incarnation, the time
        from one start to the next.
    cold_ms : int
        How much longer the worker is slow after its start.
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
    cold_ms: int = 0

    @property
    def rack(self):
        """Rack of the worker, its last label."""
        return self.labels[-1] if self.labels else ""


@dataclass(slots=True, eq=False)
class Worker:
    """State of a worker at the owner; times are event loop seconds.

    Attributes
    ----------
    is_listed : bool
        The worker is in the latest list of workers.
    is_reachable : bool
        The worker answered the last lease renewal.
    is_synchronized : bool
        The worker has reported all its runs and ends to this owner.
    runs : dict of str to (TaskRun, int)
        Runs that may be on the worker, with their number, by task name.
    orphaned_runs : dict of (str, int) to tuple
        Reported runs that match no current placement, by task name and run number:
        team, amounts counted for the worker and amounts counted for the team.
    acked_through, processed_through : int
        Numbers of the last end acknowledged to the worker and the last processed.
    delivered_ack : int
        Highest number that the worker has certainly received as acknowledged.
    unstored_ends : deque of (int, JobId)
        Processed ends whose progress row may not be stored yet: number and job.
    clock_offset : float or None
        Lower bound of the worker's clock minus the loop time; None if unknown.
    lease_ends_at : float
        Time by which every lease granted so far has certainly expired.
    late_lease_ends_at : float
        The same for leases that orders for a former process may get in the present one.
    listed_at : float
        When the call was sent whose answer last reported all runs and ends.
    alive_at : float
        Latest time at which the worker was certainly alive.
    broke_at : float
        When a connection to it broke or was refused while it was reachable; 0 if it has
        answered since.
    last_placement_at : float
        When a run was last placed on the worker.
    stopped_starts : dict of (str, int) to float
        Starts that got no answer and were settled by a stop, by task name and run, with
        the time of that; the order may still be under way.
    known_stops : set of (str, int)
        Those of them whose stop the current process has acknowledged.
    draining_since : float
        Time from which the announced remaining time counts.
    refuses_connections : bool
        Nothing listens at its address any more.
    avoided_until : float
        Time until which no new tasks are placed on it.
    failures, failed_jobs : int, set of JobId
        Number of failed or stalled runs since the last success, and the jobs of those
        that failed.
    is_evacuated : bool
        The operator has its availability zone evacuated.
    cold_until : float
        Time until which the worker is slow after its start.
    reserved_for : StepRun or None
        Gang for which its free capacity is reserved.
    pace : Pace
        Pace of its filling tasks.
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
    delivered_ack: int = 0
    unstored_ends: deque = field(default_factory=deque)
    clock_offset: float | None = None
    lease_ends_at: float = 0.0
    late_lease_ends_at: float = 0.0
    listed_at: float = 0.0
    alive_at: float = 0.0
    broke_at: float = 0.0
    last_placement_at: float = 0.0
    stopped_starts: dict = field(default_factory=dict)
    known_stops: set = field(default_factory=set)
    draining_since: float = 0.0
    refuses_connections: bool = False
    avoided_until: float = 0.0
    failures: int = 0
    failed_jobs: set = field(default_factory=set)
    is_evacuated: bool = False
    cold_until: float = 0.0
    reserved_for: object = None
    pace: Pace = field(default_factory=Pace)

    def __post_init__(self):
        self.free_cpu, self.free_memory, self.free_accelerators = self.info.capacity

    def measure_silence(self, now):
        """Return the seconds since the last sign of life, None without any."""
        return round(now - self.alive_at, 3) if self.alive_at else None

    def take_capacity(self, amounts):
        """Subtract the amounts of a run that may be on the worker."""
        self.free_cpu -= amounts[0]
        self.free_memory -= amounts[1]
        self.free_accelerators -= amounts[2]

    def release_capacity(self, amounts):
        """Add back the amounts of a run that has certainly ended."""
        self.free_cpu += amounts[0]
        self.free_memory += amounts[1]
        self.free_accelerators += amounts[2]

    def count_fits(self, amounts, max_count):
        """Return how many tasks, each of `amounts`, fit; at most `max_count`."""
        if amounts[0]:
            max_count = min(max_count, self.free_cpu // amounts[0])
        if amounts[1]:
            max_count = min(max_count, self.free_memory // amounts[1])
        if amounts[2]:
            max_count = min(max_count, self.free_accelerators // amounts[2])
        return max(0, max_count)

    def list_unanswered(self):
        """Return when the starts were sent that got no answer and are not settled."""
        return [
            task.start_sent_at
            for task, run in self.runs.values()
            if task.is_start_unanswered and task.run == run and not task.started_at
        ]

    def is_schedulable(self, now):
        """Return whether new tasks may be placed on the worker."""
        return self.find_exclusion(now) is None

    def find_exclusion(self, now):
        """Return the first `Exclusion` that holds for the worker, or None."""
        if not self.is_listed:
            return Exclusion.UNLISTED
        if not self.is_reachable:
            return Exclusion.UNREACHABLE
        if not self.is_synchronized:
            return Exclusion.NOT_SYNCHRONIZED
        if self.info.is_draining:
            return Exclusion.DRAINING
        if self.is_evacuated:
            return Exclusion.EVACUATED
        if now < self.avoided_until:
            return Exclusion.AVOIDED
        return Exclusion.OUTDATED_ENTRY if self._has_outdated_info else None

    @property
    def _has_outdated_info(self):
        """Whether the entry is that of another incarnation than the one that answers.

        The next one may have another capacity and other labels.
        """
        born_ms = self.info.born_ms
        return bool(born_ms and self.born_ms) and born_ms != self.born_ms

    def choose_ack(self):
        """Return the number up to which the next call acknowledges ends, or 0.

        Numbers begin anew with each process, and a call may reach the next one. There
        it would make ends be forgotten that this owner has not seen. So a number is
        sent only to a worker that answered the latest call, and not again once a call
        with it was answered.
        """
        is_needed = self.is_reachable and self.acked_through > self.delivered_ack
        return self.acked_through if is_needed else 0

    def confirm_ack(self, number, born_ms):
        """Record that a process of the worker has answered a call with a number."""
        if born_ms == self.born_ms:
            self.delivered_ack = max(self.delivered_ack, number)

    def note_answer(self, sent_at, received_at):
        """Note that the worker was alive when it answered a call."""
        self.alive_at = max(self.alive_at, received_at)
        if sent_at >= self.broke_at:
            self.broke_at = 0.0

    def update_clock_offset(self, clock_ms, received_at):
        """Update the clock offset from a reading of the worker's clock in an answer.

        The worker read its clock before the answer arrived, so the offset is never too
        large, and a deadline based on it never too late.
        """
        self.clock_offset = clock_ms / 1000 - received_at

    def grant_lease_ms(self, now, lease_seconds):
        """Grant a lease; return its deadline on the worker's clock, or None if refused.

        A slow clock of the worker reaches the deadline later, which `lease_ends_at`
        allows for. No lease is granted to an unreachable worker, since a call without
        an answer may still be carried out and the worker's lease has to expire.
        """
        if self.clock_offset is None or not self.is_reachable:
            return None
        bound = self._latest_lease_end(now, lease_seconds)
        self.lease_ends_at = max(self.lease_ends_at, bound)
        return int((now + self.clock_offset + lease_seconds) * 1000)

    def cap_lease(self, now, lease_seconds):
        """Set `lease_ends_at` to the end of a lease granted now.

        Called when no lease granted so far can extend beyond that.
        """
        self.lease_ends_at = self._latest_lease_end(now, lease_seconds)

    def extend_late_lease(self, now):
        """Allow for orders that the process which started by now may carry out late."""
        self.late_lease_ends_at = self._latest_lease_end(
            now + LATE_ORDER_SECONDS, LONGEST_LEASE_SECONDS
        )

    def find_lease_end(self):
        """Return the time by which every lease of its runs has certainly expired."""
        is_late = any(
            0 < task.incarnation != self.born_ms for task, _ in self.runs.values()
        )
        return max(self.lease_ends_at, self.late_lease_ends_at if is_late else 0.0)

    def _latest_lease_end(self, now, lease_seconds):
        return now + lease_seconds * (1 + CLOCK_DRIFT) + LEASE_MARGIN_SECONDS

    def note_stopped_start(self, task, run, now):
        """Note that a start without an answer was settled by an acknowledged stop."""
        self.stopped_starts[task, run] = now
        self.known_stops.add((task, run))

    def find_forgotten_stops(self, now):
        """Return the starts, as task name and run, to be stopped in a new process.

        It does not know the stops of the former one, and may still carry them out.
        """
        self.stopped_starts = {
            key: stopped_at
            for key, stopped_at in self.stopped_starts.items()
            if now - stopped_at < LATE_ORDER_SECONDS
        }
        self.known_stops &= self.stopped_starts.keys()
        return self.stopped_starts.keys() - self.known_stops

    def reset_incarnation(self):
        """Reset the state that belongs to the worker's previous incarnation."""
        self.known_stops.clear()
        self.acked_through = self.processed_through = self.delivered_ack = 0
        self.unstored_ends.clear()
        self.clock_offset = None
        self.is_synchronized = False
