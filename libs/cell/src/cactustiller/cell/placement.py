"""Assignment of pending steps to workers.

Changes the workers' free capacity and reservations, the teams' usage and the times at
which steps may preempt again; the engine applies the outcome to the tasks.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from .ordering import IN_TIME, LATE_URGENT, URGENT
from .preemption import preempt_for_gang, preempt_for_step
from .runs import RunPhase, StepRun, TaskRun
from .workers import Worker

# Share of the workers that may be reserved for gangs at once; a larger share leaves too
# much capacity idle.
MAX_RESERVED_FRACTION = 0.4
# A gang with less slack than this preempts batch runs.
CRITICAL_SLACK_SECONDS = 2.5
# Remaining validity that a ticket needs, so that it is still valid when the start
# reaches the worker.
TICKET_MARGIN_SECONDS = 0.25
URGENT_BANDS = (URGENT, LATE_URGENT)
# A stop takes effect within 0.2 to 0.4 s, so a shorter interval finds no new capacity.
PREEMPTION_INTERVAL_SECONDS = 0.15
# Bands for which capacity is preempted or reserved.
ACTIVE_BANDS = (URGENT, LATE_URGENT, IN_TIME)
# A blocked gang requests tickets this long before its reserved workers become free.
APPROVAL_LEAD_SECONDS = 0.8


class Placement(NamedTuple):
    """Assignment of a task to a worker; `decided_at` is event loop time in seconds."""

    task: TaskRun
    worker: Worker
    ticket: str
    decided_at: float


@dataclass(slots=True)
class PlacementRound:
    """Input and outcome of one scheduling round.

    Attributes
    ----------
    now, wall_now : float
        Event loop time and Unix time in seconds.
    workers : list of Worker
        Schedulable workers.
    count_team_fits : callable
        Maps ``(team, amounts, max_count)`` to the number of tasks that fit under the
        team's limit.
    add_team_usage : callable
        Adds ``(team, amounts)`` to the team's usage.
    steps_needing_approval : list of StepRun
        Steps that need an approval call, in order.
    preempted : list of (TaskRun, Worker)
        Runs to stop in favour of urgent work.
    reserved : int
        Number of workers reserved for gangs that do not fit yet.
    max_free_cpu, max_free_memory : int
        Largest free amounts of any worker.
    """

    now: float
    workers: list[Worker]
    count_team_fits: object
    add_team_usage: object
    placements: list[Placement] = field(default_factory=list)
    steps_needing_approval: list[StepRun] = field(default_factory=list)
    preempted: list = field(default_factory=list)
    wall_now: float = 0.0
    reserved: int = 0
    max_free_cpu: int = 0
    max_free_memory: int = 0

    def __post_init__(self):
        self.update_largest_free()

    def update_largest_free(self):
        """Update the largest free amounts, used to skip steps that cannot fit."""
        self.max_free_cpu = max((w.free_cpu for w in self.workers), default=0)
        self.max_free_memory = max((w.free_memory for w in self.workers), default=0)

    def may_fit(self, amounts):
        """Return whether one task may fit on some worker."""
        return amounts[0] <= self.max_free_cpu and amounts[1] <= self.max_free_memory


def place_steps(current_round, ordered):
    """Schedule the steps in order; `current_round` collects the outcome.

    Parameters
    ----------
    current_round : PlacementRound
    ordered : list of (OrderKey, StepRun, QueueRules)
    """
    previous_reservations = {
        worker: worker.reserved_for for worker in current_round.workers
    }
    for worker in current_round.workers:
        worker.reserved_for = None
    for key, step, rules in ordered:
        if step.retry_at > current_round.now:
            continue
        if rules.needs_approval and step.approved is None:
            current_round.steps_needing_approval.append(step)
            continue
        fits = current_round.may_fit(step.spec.counted)
        if not fits and key.band not in ACTIVE_BANDS:
            continue
        placed_before = len(current_round.placements)
        candidates = _find_candidates(current_round, step, rules)
        if step.spec.is_gang:
            _place_gang(
                current_round, key, step, rules, candidates, previous_reservations
            )
        else:
            _place_tasks(current_round, key, step, rules, candidates)
        if len(current_round.placements) > placed_before:
            current_round.update_largest_free()


def has_valid_ticket(step, rules, worker, now):
    """Return whether the worker would accept a start of the step."""
    if not rules.needs_approval:
        return True
    until = step.approved_until.get(worker.info.worker, 0.0)
    return now + TICKET_MARGIN_SECONDS <= until


def _find_candidates(current_round, step, rules):
    """Return the workers of the right service, label and approval for the step."""
    label = step.spec.required_label
    workers = [
        worker
        for worker in current_round.workers
        if worker.info.service == rules.service
        and (not label or label in worker.info.labels)
    ]
    if not rules.needs_approval:
        return workers
    return [worker for worker in workers if worker.info.worker in step.approved]


def _count_by_worker(step):
    """Return the number of active tasks of a step by worker."""
    return Counter(task.worker for task in step.tasks if task.holds_capacity)


def _cap_per_worker(step, counts, worker, max_count):
    """Return `max_count` lowered to the step's limit per worker."""
    if step.spec.max_per_worker:
        max_count = min(
            max_count, step.spec.max_per_worker - counts[worker.info.worker]
        )
    return max_count


def _place_tasks(current_round, key, step, rules, candidates):
    """Place as many pending tasks of a step as fit, each on its own.

    Urgent and filling steps may use reserved workers. An urgent step that fits nowhere
    preempts batch runs.
    """
    amounts = step.spec.counted
    counts = _count_by_worker(step)
    wanted = current_round.count_team_fits(
        step.job.spec.team, step.spec.amounts, step.pending_count
    )
    if wanted <= 0:
        return
    pending = [task for task in step.tasks if task.phase is RunPhase.WAITING]
    may_use_reserved = key.band in URGENT_BANDS or step.spec.fills
    fits = []
    for worker in candidates:
        if worker.reserved_for is not None and not may_use_reserved:
            continue
        max_count = _cap_per_worker(step, counts, worker, wanted)
        fit_count = worker.count_fits(amounts, max_count)
        if fit_count:
            is_off_rack = bool(step.spec.data_rack) and step.spec.data_rack != (
                worker.info.rack
            )
            has_failed = worker.info.worker in step.failed_on
            order = (has_failed, is_off_rack, worker.free_cpu, worker.info.worker)
            fits.append((order, fit_count, worker))
    if not fits:
        if key.band == URGENT and _claim_preemption_turn(current_round, step):
            preempt_for_step(current_round, step, candidates)
        _request_more_approvals(current_round, step, rules)
        return
    valid = [f for f in fits if has_valid_ticket(step, rules, f[2], current_round.now)]
    if sum(fit_count for _, fit_count, _ in valid) < min(wanted, len(pending)):
        if len(valid) < len(fits):
            current_round.steps_needing_approval.append(step)
        if not valid:
            return
    fits = valid
    # Best fit: fills the fullest workers first, to keep large blocks free for gangs.
    fits.sort(key=lambda fit: fit[0])
    position = 0
    for _, fit_count, worker in fits:
        for _ in range(fit_count):
            if position >= min(wanted, len(pending)):
                return
            _assign(current_round, pending[position], worker)
            position += 1


def _place_gang(current_round, key, step, rules, candidates, previous_reservations):
    """Place all tasks of a gang, or reserve workers for it if they do not fit.

    A gang with critical slack preempts batch runs.
    """
    spec = step.spec
    if step.pending_count < spec.count:
        return
    if (
        current_round.count_team_fits(step.job.spec.team, spec.amounts, spec.count)
        < spec.count
    ):
        return
    open_workers = [worker for worker in candidates if worker.reserved_for is None]
    may_use_reserved = key.band in URGENT_BANDS
    chosen = _choose_for_gang(step, candidates if may_use_reserved else open_workers)
    if chosen is None:
        if _is_critical(current_round, key) and _claim_preemption_turn(
            current_round, step
        ):
            for worker in preempt_for_gang(current_round, step, open_workers):
                worker.reserved_for = step
                current_round.reserved += 1
        if not any(worker.reserved_for is step for worker in open_workers):
            _reserve(current_round, step, rules, open_workers, previous_reservations)
        _request_more_approvals(current_round, step, rules)
        return
    if not all(has_valid_ticket(step, rules, w, current_round.now) for w, _ in chosen):
        current_round.steps_needing_approval.append(step)
        for worker, _ in chosen:
            worker.reserved_for = step
        return
    tasks = iter(step.tasks)
    for worker, count in chosen:
        for _ in range(count):
            _assign(current_round, next(tasks), worker)


def _request_more_approvals(current_round, step, rules):
    """Request approval for more workers for a step that fits on no approved worker.

    In a large cell one approval call covers only some of the workers.
    """
    if not rules.needs_approval or len(step.asked_workers) >= len(
        current_round.workers
    ):
        return
    if any(
        worker.info.worker not in step.asked_workers
        and worker.info.service == rules.service
        and worker.count_fits(step.spec.counted, 1)
        for worker in current_round.workers
    ):
        current_round.steps_needing_approval.append(step)


def _claim_preemption_turn(current_round, step):
    """Return whether a step may preempt now, and start its next interval if so.

    The interval bounds the time spent on the search for victims.
    """
    if step.next_preemption_at > current_round.now:
        return False
    step.next_preemption_at = current_round.now + PREEMPTION_INTERVAL_SECONDS
    return True


def _is_critical(current_round, key):
    """Return whether a gang has little or no time left to start on time."""
    if key.band == URGENT:
        return True
    slack = key.latest_start - current_round.wall_now
    return key.band == IN_TIME and slack < CRITICAL_SLACK_SECONDS


def _choose_for_gang(step, workers):
    """Return ``(worker, count)`` pairs that fit the whole gang now, or None."""
    counts = Counter()
    options = []
    for worker in workers:
        max_count = _cap_per_worker(step, counts, worker, step.spec.count)
        fit_count = worker.count_fits(step.spec.counted, max_count)
        if fit_count:
            has_failed = worker.info.worker in step.failed_on
            order = (has_failed, -fit_count, worker.free_cpu, worker.info.worker)
            options.append((order, fit_count, worker))
    if step.spec.is_tightly_coupled:
        options = _restrict_to_one_rack(options, step.spec.count)
    options.sort(key=lambda entry: entry[0])
    missing = step.spec.count
    chosen = []
    for _, fit_count, worker in options:
        count = min(missing, fit_count)
        chosen.append((worker, count))
        missing -= count
        if not missing:
            return chosen
    return None


def _restrict_to_one_rack(options, count):
    """Return the options on the rack that fits most tasks if it fits all of them.

    Returns all options otherwise.
    """
    by_rack = Counter()
    for _, fit_count, worker in options:
        by_rack[worker.info.rack] += fit_count
    for rack, fit_count in by_rack.most_common(1):
        if fit_count >= count:
            return [entry for entry in options if entry[2].info.rack == rack]
    return options


def _reserve(current_round, step, rules, workers, previous_reservations):
    """Reserve workers for a gang that does not fit yet.

    Prefers the workers reserved for it in the previous round, so that they drain, then
    those that become free first. Requests approval shortly before all are free.
    """
    if current_round.reserved >= MAX_RESERVED_FRACTION * len(current_round.workers):
        return
    amounts = step.spec.counted
    choices = []
    for worker in workers:
        max_count = _cap_per_worker(step, Counter(), worker, step.spec.count)
        fit_count = _count_fits_when_empty(worker, amounts, max_count)
        if fit_count:
            free_at = _estimate_free_at(worker, current_round.now)
            choices.append(
                (
                    previous_reservations.get(worker) is not step,
                    free_at,
                    fit_count,
                    worker,
                )
            )
    choices.sort(key=lambda choice: (choice[0], choice[1], choice[3].info.worker))
    missing = step.spec.count
    selected = []
    for _, free_at, fit_count, worker in choices:
        selected.append((free_at, worker))
        missing -= fit_count
        if missing <= 0:
            break
    if missing > 0:
        return
    current_round.reserved += len(selected)
    for _, worker in selected:
        worker.reserved_for = step
    is_free_soon = (
        max(free_at for free_at, _ in selected)
        <= current_round.now + APPROVAL_LEAD_SECONDS
    )
    soon = current_round.now + APPROVAL_LEAD_SECONDS
    if is_free_soon and not all(
        has_valid_ticket(step, rules, w, soon) for _, w in selected
    ):
        current_round.steps_needing_approval.append(step)


def _count_fits_when_empty(worker, amounts, max_count):
    """Return how many tasks of the amounts fit on the worker without other runs."""
    capacity = worker.info.capacity
    for needed, available in zip(amounts, capacity, strict=True):
        if needed:
            max_count = min(max_count, available // needed)
    return max_count


def _estimate_free_at(worker, now):
    """Return the time by which the worker's runs are expected to end.

    Ignores service tasks, which have no expected end.
    """
    latest = now
    for task, _ in worker.runs.values():
        if task.step.spec.is_service:
            continue
        estimate = task.step.spec.estimate_ms / 1000
        ends_at = (task.started_at or now) + estimate
        latest = max(latest, ends_at)
    return latest


def _assign(current_round, task, worker):
    """Add a placement and count the task's amounts."""
    step = task.step
    ticket = (step.approved or {}).get(worker.info.worker, "")
    worker.take_capacity(step.spec.counted)
    current_round.add_team_usage(step.job.spec.team, step.spec.amounts)
    current_round.placements.append(Placement(task, worker, ticket, current_round.now))
