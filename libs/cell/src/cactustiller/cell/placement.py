"""Choice of workers for waiting steps; changes only the room it takes."""

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from .ordering import IN_TIME, LATE_URGENT, URGENT
from .preemption import preempt_for, preempt_for_gang
from .runs import RunPhase, StepRun, TaskRun
from .workers import Worker

# Part of the workers that is kept free for gangs at once; more would idle the cell.
MOST_RESERVED = 0.4
# A gang with less slack does not wait for batch runs to end by themselves.
PRESSING_SECONDS = 2.5
# Tickets are used only while they outlast the start's way to the worker.
TICKET_MARGIN_SECONDS = 0.25
URGENT_BANDS = (URGENT, LATE_URGENT)
# A stop takes effect within 0.2 to 0.4 s, so looking again sooner finds nothing new.
PREEMPT_PAUSE_SECONDS = 0.15
# Bands of work for which room is made or kept.
ACTIVE_BANDS = (URGENT, LATE_URGENT, IN_TIME)
# A blocked gang asks again before its room is expected to be free.
ASK_AHEAD_SECONDS = 0.8


class Placement(NamedTuple):
    """Task to be started on a worker; decided at a time of the loop."""

    task: TaskRun
    worker: Worker
    ticket: str
    decided_at: float


@dataclass(slots=True)
class Round:
    """Input and outcome of one round of placing.

    Attributes
    ----------
    now, wall_now : float
        Seconds of the loop, and of the time of day.
    room_of_team : callable
        ``(team, amounts, most)`` to the number of tasks under the team's limit.
    wants_approval : list of StepRun
        Steps whose approval is to be asked, in order.
    preempted : list of (TaskRun, Worker)
        Runs to be stopped in favour of urgent work.
    """

    now: float
    workers: list[Worker]
    room_of_team: object
    take_of_team: object
    placements: list[Placement] = field(default_factory=list)
    wants_approval: list[StepRun] = field(default_factory=list)
    preempted: list = field(default_factory=list)
    wall_now: float = 0.0
    reserved: int = 0
    most_cpu: int = 0
    most_memory: int = 0

    def __post_init__(self):
        self.note_room()

    def note_room(self):
        """Take the most that any worker has free, to pass over what can't fit."""
        self.most_cpu = max((w.free_cpu for w in self.workers), default=0)
        self.most_memory = max((w.free_memory for w in self.workers), default=0)

    def may_fit(self, amounts):
        """Return whether some worker may hold one task."""
        return amounts[0] <= self.most_cpu and amounts[1] <= self.most_memory


def place_steps(current, ordered):
    """Place the steps in order; the round collects the outcome.

    Parameters
    ----------
    current : Round
    ordered : list of (OrderKey, StepRun, QueueRules)
    """
    kept = {worker: worker.reserved_for for worker in current.workers}
    for worker in current.workers:
        worker.reserved_for = None
    for key, step, rules in ordered:
        if step.retry_at > current.now:
            continue
        if rules.needs_approval and step.approved is None:
            current.wants_approval.append(step)
            continue
        fits = current.may_fit(step.spec.counted)
        if not fits and key.band not in ACTIVE_BANDS:
            continue
        before = len(current.placements)
        candidates = _find_candidates(current, step, rules)
        if step.spec.is_gang:
            _place_gang(current, key, step, rules, candidates, kept)
        else:
            _place_tasks(current, key, step, rules, candidates)
        if len(current.placements) > before:
            current.note_room()


def has_valid_ticket(step, rules, worker, now):
    """Return whether the worker would accept a start of the step."""
    if not rules.needs_approval:
        return True
    until = step.approved_until.get(worker.info.worker, 0.0)
    return now + TICKET_MARGIN_SECONDS <= until


def _find_candidates(current, step, rules):
    """Return the workers that may run the step."""
    label = step.spec.required_label
    workers = [
        worker
        for worker in current.workers
        if worker.info.service == rules.service
        and (not label or label in worker.info.labels)
    ]
    if not rules.needs_approval:
        return workers
    return [worker for worker in workers if worker.info.worker in step.approved]


def _count_by_worker(step):
    return Counter(task.worker for task in step.tasks if task.holds_room)


def _limit_by_worker(step, counts, worker, most):
    if step.spec.max_per_worker:
        most = min(most, step.spec.max_per_worker - counts[worker.info.worker])
    return most


def _place_tasks(current, key, step, rules, candidates):
    amounts = step.spec.counted
    counts = _count_by_worker(step)
    wanted = current.room_of_team(step.job.spec.team, step.spec.amounts, step.waiting)
    if wanted <= 0:
        return
    waiting = [task for task in step.tasks if task.phase is RunPhase.WAITING]
    may_use_reserved = key.band in URGENT_BANDS or step.spec.fills
    fits = []
    for worker in candidates:
        if worker.reserved_for is not None and not may_use_reserved:
            continue
        most = _limit_by_worker(step, counts, worker, wanted)
        room = worker.count_fits(amounts, most)
        if room:
            is_far = bool(step.spec.data_rack) and step.spec.data_rack != (
                worker.info.rack
            )
            is_failed = worker.info.worker in step.failed_on
            order = (is_failed, is_far, worker.free_cpu, worker.info.worker)
            fits.append((order, room, worker))
    if not fits:
        if key.band == URGENT and _may_preempt(current, step):
            preempt_for(current, step, candidates)
        _ask_for_more(current, step, rules)
        return
    valid = [f for f in fits if has_valid_ticket(step, rules, f[2], current.now)]
    if sum(room for _, room, _ in valid) < min(wanted, len(waiting)):
        if len(valid) < len(fits):
            current.wants_approval.append(step)
        if not valid:
            return
    fits = valid
    # Best fit keeps large blocks free for gangs.
    fits.sort(key=lambda fit: fit[0])
    position = 0
    for _, room, worker in fits:
        for _ in range(room):
            if position >= min(wanted, len(waiting)):
                return
            _assign(current, waiting[position], worker)
            position += 1


def _place_gang(current, key, step, rules, candidates, kept):
    spec = step.spec
    if step.waiting < spec.count:
        return
    if current.room_of_team(step.job.spec.team, spec.amounts, spec.count) < spec.count:
        return
    open_workers = [worker for worker in candidates if worker.reserved_for is None]
    may_use_reserved = key.band in URGENT_BANDS
    chosen = _choose_for_gang(step, candidates if may_use_reserved else open_workers)
    if chosen is None:
        if _is_pressing(current, key) and _may_preempt(current, step):
            for worker in preempt_for_gang(current, step, open_workers):
                worker.reserved_for = step
                current.reserved += 1
        if not any(worker.reserved_for is step for worker in open_workers):
            _reserve(current, step, rules, open_workers, kept)
        _ask_for_more(current, step, rules)
        return
    if not all(has_valid_ticket(step, rules, w, current.now) for w, _ in chosen):
        current.wants_approval.append(step)
        for worker, _ in chosen:
            worker.reserved_for = step
        return
    tasks = iter(step.tasks)
    for worker, count in chosen:
        for _ in range(count):
            _assign(current, next(tasks), worker)


def _ask_for_more(current, step, rules):
    """Have more workers approved for a step for which none has room.

    A call names a part of a large cell's workers only.
    """
    if not rules.needs_approval or len(step.asked) >= len(current.workers):
        return
    if any(
        worker.info.worker not in step.asked
        and worker.info.service == rules.service
        and worker.count_fits(step.spec.counted, 1)
        for worker in current.workers
    ):
        current.wants_approval.append(step)


def _may_preempt(current, step):
    """Return whether room may be made for a step now, which costs time to find."""
    if step.preempts_at > current.now:
        return False
    step.preempts_at = current.now + PREEMPT_PAUSE_SECONDS
    return True


def _is_pressing(current, key):
    """Return whether a gang has to start soon to be in time."""
    if key.band == URGENT:
        return True
    slack = key.latest_start - current.wall_now
    return key.band == IN_TIME and slack < PRESSING_SECONDS


def _choose_for_gang(step, workers):
    """Return pairs of worker and count that hold the gang now, or None."""
    counts = Counter()
    rooms = []
    for worker in workers:
        most = _limit_by_worker(step, counts, worker, step.spec.count)
        room = worker.count_fits(step.spec.counted, most)
        if room:
            is_failed = worker.info.worker in step.failed_on
            order = (is_failed, -room, worker.free_cpu, worker.info.worker)
            rooms.append((order, room, worker))
    if step.spec.is_tightly_coupled:
        rooms = _keep_one_rack(rooms, step.spec.count)
    rooms.sort(key=lambda entry: entry[0])
    missing = step.spec.count
    chosen = []
    for _, room, worker in rooms:
        count = min(missing, room)
        chosen.append((worker, count))
        missing -= count
        if not missing:
            return chosen
    return None


def _keep_one_rack(rooms, count):
    """Return the rooms of one rack where that is enough, else all."""
    by_rack = Counter()
    for _, room, worker in rooms:
        by_rack[worker.info.rack] += room
    for rack, room in by_rack.most_common(1):
        if room >= count:
            return [entry for entry in rooms if entry[2].info.rack == rack]
    return rooms


def _reserve(current, step, rules, workers, kept):
    """Keep workers free for a gang that does not fit yet.

    Takes the workers that are free soonest; those kept for it in the last round go
    first, so that they drain.
    """
    if current.reserved >= MOST_RESERVED * len(current.workers):
        return
    amounts = step.spec.counted
    choices = []
    for worker in workers:
        most = _limit_by_worker(step, Counter(), worker, step.spec.count)
        room = _count_fits_when_empty(worker, amounts, most)
        if room:
            free_at = _estimate_free_at(worker, current.now)
            choices.append((kept.get(worker) is not step, free_at, room, worker))
    choices.sort(key=lambda choice: (choice[0], choice[1], choice[3].info.worker))
    missing = step.spec.count
    taken = []
    for _, free_at, room, worker in choices:
        taken.append((free_at, worker))
        missing -= room
        if missing <= 0:
            break
    if missing > 0:
        return
    current.reserved += len(taken)
    for _, worker in taken:
        worker.reserved_for = step
    is_near = max(free_at for free_at, _ in taken) <= current.now + ASK_AHEAD_SECONDS
    soon = current.now + ASK_AHEAD_SECONDS
    if is_near and not all(has_valid_ticket(step, rules, w, soon) for _, w in taken):
        current.wants_approval.append(step)


def _count_fits_when_empty(worker, amounts, most):
    capacity = worker.info.capacity
    for needed, available in zip(amounts, capacity, strict=True):
        if needed:
            most = min(most, available // needed)
    return most


def _estimate_free_at(worker, now):
    """Return when the worker's runs are expected to have ended."""
    latest = now
    for task, _ in worker.runs.values():
        if task.step.spec.is_service:
            continue
        estimate = task.step.spec.estimate_ms / 1000
        ends_at = (task.started_at or now) + estimate
        latest = max(latest, ends_at)
    return latest


def _assign(current, task, worker):
    step = task.step
    ticket = (step.approved or {}).get(worker.info.worker, "")
    worker.take(step.spec.counted)
    current.take_of_team(step.job.spec.team, step.spec.amounts)
    current.placements.append(Placement(task, worker, ticket, current.now))
