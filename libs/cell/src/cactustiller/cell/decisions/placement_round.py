"""Input, intermediate state and outcome of one scheduling round; no I/O."""

from collections import Counter
from typing import NamedTuple

from ..records.runs import TaskRun
from ..records.workers import Worker
from .free_capacity import FreeCapacity
from .preemption import PreemptionSearch
from .reservations import Reservations, may_use_reserved
from .service_usage import is_busy, is_half_used

# Minimum interval between preemptions for the same step. A stop takes effect within 0.2
# to 0.4 s, so a shorter interval finds no new capacity.
PREEMPTION_INTERVAL_SECONDS = 0.15


class Placement(NamedTuple):
    """Assignment of a task to a worker; `decided_at` is event loop time in seconds."""

    task: TaskRun
    worker: Worker
    ticket: str
    decided_at: float


class PlacementRound:
    """Input and outcome of one scheduling round.

    Parameters
    ----------
    now : float
        Event loop time in seconds.
    workers : list of Worker
        Schedulable workers.
    count_team_fits : callable
        Maps ``(team, amounts, max_count)`` to the number of tasks that fit under the
        team's limit.
    add_team_usage : callable
        Adds ``(team, amounts)`` to the team's usage.
    wall_now : float
        Unix time in seconds.
    isolated : iterable of Worker
        Workers on which a suspect is on probation; not in `workers`.
    rankers : sequence of WorkerRanker
        Preferences among the workers on which a task fits.
    usage : dict of ServiceName to float or None
        Part of the CPU of each service that is in use.

    Attributes
    ----------
    placements : list of Placement
    steps_needing_approval : list of StepRun
        Steps that need an approval call, in order.
    free : FreeCapacity
        Workers by free CPU.
    preemption : PreemptionSearch
        Runs to stop in favour of urgent steps and critical gangs.
    reservations : Reservations
        Workers reserved for gangs that do not fit yet.
    used_workers : set of WorkerId
        Workers with a placement in this round.
    placed_steps : int
        Number of steps with a placement.
    is_partial : bool
        Steps are left for the next round, since this one has placed enough.
    """

    def __init__(
        self,
        now,
        workers,
        count_team_fits,
        add_team_usage,
        wall_now=0.0,
        isolated=(),
        rankers=(),
        usage=None,
    ):
        self.now = now
        self.wall_now = wall_now
        self.workers = workers
        self.count_team_fits = count_team_fits
        self.placements = []
        self.steps_needing_approval = []
        self.free = FreeCapacity(workers)
        self.preemption = PreemptionSearch(now)
        self.reservations = Reservations(now, workers)
        self.isolated_counts = Counter(worker.info.service for worker in isolated)
        self.worker_counts = self.isolated_counts + Counter(
            worker.info.service for worker in workers
        )
        self.used_workers = set()
        self.placed_steps = 0
        self.is_partial = False
        self._add_team_usage = add_team_usage
        self._rankers = rankers
        self._usage = usage or {}
        self._workers_by_id = None

    @property
    def preempted(self):
        """Runs to stop, as list of (TaskRun, Worker)."""
        return self.preemption.preempted

    def rank(self, step, worker):
        """Return how unsuitable a worker is for a step, 0 if nothing is against it."""
        return sum(ranker.rank(step, worker) for ranker in self._rankers)

    def rank_pace(self, step, worker):
        """Return the part of the rank that slows down all members of a gang."""
        return sum(
            ranker.rank(step, worker)
            for ranker in self._rankers
            if getattr(ranker, "sets_gang_pace", False)
        )

    def is_busy(self, service):
        """Return whether work of a service that has no value has to wait."""
        return is_busy(self._usage, service)

    def may_use_reserved(self, key, step, rules):
        """Return whether a step may run on workers that are reserved for a gang."""
        half_used = is_half_used(self._usage, rules.service)
        return may_use_reserved(key, step, half_used, self.now)

    def assign(self, task, worker):
        """Add a placement and count the task's amounts for its worker and team."""
        step = task.step
        ticket = (step.approved or {}).get(worker.info.worker, "")
        self.free.take(worker, step.spec.counted)
        self._add_team_usage(step.job.spec.team, step.spec.amounts)
        self.placements.append(Placement(task, worker, ticket, self.now))
        self.used_workers.add(worker.info.worker)

    def isolate(self, worker):
        """Place nothing else on a worker in this round."""
        self.free.remove(worker)
        self.isolated_counts[worker.info.service] += 1

    def request_more_approvals(self, step, rules):
        """Request approval of more workers for a step that fits on no approved one.

        In a large cell one approval call covers only some of the workers, and workers
        that were asked for may have been replaced since.
        """
        if not rules.needs_approval:
            return
        if self._workers_by_id is None:
            self._workers_by_id = {
                worker.info.worker: worker for worker in self.workers
            }
        unasked = self._workers_by_id.keys() - step.asked_workers
        if any(
            self._workers_by_id[worker_id].info.service == rules.service
            and self._workers_by_id[worker_id].count_fits(step.spec.counted, 1)
            for worker_id in unasked
        ):
            self.steps_needing_approval.append(step)

    def claim_preemption_turn(self, step):
        """Return whether a step may preempt now, and start its next interval if so.

        The interval bounds the time spent on the search for victims.
        """
        if step.next_preemption_at > self.now:
            return False
        step.next_preemption_at = self.now + PREEMPTION_INTERVAL_SECONDS
        return True
