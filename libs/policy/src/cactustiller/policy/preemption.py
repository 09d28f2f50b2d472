"""Preemption: which tasks to stop, after a checkpoint, for urgent work and gangs."""

from collections import deque
from typing import NamedTuple

import numpy as np

from cactustiller.model import WorkerId

from .ordering import IDLE_RANK, URGENCY_RANKS, URGENT_RANK
from .shapes import ShapeKey
from .snapshots import Amounts, Preemption

RESERVATION_SECONDS = 5.0
STOP_TIMEOUT_SECONDS = 10.0
BUDGET_WINDOW_SECONDS = 60.0
BUDGET_PER_WORKER = 2
MIN_BUDGET = 8


class UrgentReservation(NamedTuple):
    """Capacity on a worker that is reserved for one urgent task."""

    shape: ShapeKey
    worker: WorkerId
    until: float


class Preemptor:
    """Frees capacity by preempting tasks, within a budget.

    A task is preempted at most ``max_preemptions`` times, a setting of its queue (see
    `RunningTask.is_preemptible`). A cell preempts at most `BUDGET_PER_WORKER` tasks per
    worker and minute, but at least `MIN_BUDGET`, so that preempted jobs still progress.
    """

    def __init__(self):
        self.reservations = []
        self._stops = deque()
        self._stopped = {}

    def refresh(self, state, now):
        """Drop expired reservations, ended tasks and stops outside the window."""
        self.reservations = [
            reservation
            for reservation in self.reservations
            if now < reservation.until and reservation.shape in state.shapes
        ]
        self._stopped = {
            key: until
            for key, until in self._stopped.items()
            if now < until and key[1] in state.running.get(key[0], {})
        }
        while self._stops and self._stops[0] <= now - BUDGET_WINDOW_SECONDS:
            self._stops.popleft()

    def list_reserved(self):
        """Return the reserved capacity as pairs of worker and `Amounts`."""
        return [
            (reservation.worker, reservation.shape.amounts)
            for reservation in self.reservations
        ]

    def has_reservation(self, shape):
        """Return whether capacity is reserved for a shape."""
        return any(reservation.shape == shape for reservation in self.reservations)

    def on_placed(self, shape, worker):
        """Remove the reservation that a placed urgent task has used."""
        for reservation in self.reservations:
            if reservation.shape == shape and reservation.worker == worker:
                self.reservations.remove(reservation)
                return

    def preempt_for_urgent(self, state, shape_queue, job, now):
        """Return the preemptions that free capacity for urgent tasks of a shape."""
        shape = shape_queue.shape
        wanted = self._count_wanted(state, shape)
        left = self._count_budget(state) - len(self._stops)
        found = []
        if wanted <= 0 or left <= 0:
            return found
        for _, worker, victims in self._list_options(state, shape, now):
            if wanted <= 0 or len(victims) > left:
                break
            wanted -= 1
            left -= len(victims)
            self.reservations.append(
                UrgentReservation(shape.key, worker, now + RESERVATION_SECONDS)
            )
            reason = f"urgent {job} finds no free capacity"
            found += [self._stop(task, job, reason, now) for task in victims]
        return found

    def preempt_for_claim(self, state, claims, claim, now):
        """Return the preemptions that let an overdue claim start.

        Preempts for at most one more task on each worker, and on those workers where
        the least work is lost. Returns nothing if that does not complete the gang.
        """
        fleet = state.fleet
        shape = state.get_shape_queue(claim.job).shape
        capacity = claims.find_capacity(fleet, claim)
        mask = shape.get_eligible(fleet)
        counts = np.where(mask, fleet.count_fitting(shape.amounts, capacity), 0)
        missing = shape.key.gang_size - int(counts.sum())
        left = self._count_budget(state) - len(self._stops)
        options = self._list_completions(state, shape, capacity, counts, now)
        chosen = options[:missing]
        victims = [task for _, _, tasks in chosen for task in tasks]
        if missing <= 0 or len(chosen) < missing or len(victims) > left:
            return []
        for _, row, _ in chosen:
            counts[row] += 1
        tasks = {fleet.names[row]: int(counts[row]) for row in np.flatnonzero(counts)}
        claims.pin_workers(claim, tasks, shape.amounts, now)
        reason = f"{claim.job} is overdue and lacks the rest of its claimed capacity"
        return [self._stop(task, claim.job, reason, now) for task in victims]

    def _list_completions(self, state, shape, capacity, counts, now):
        """Return (cost, row, victims) to fit one more task, least lost work first."""
        options = []
        mask = shape.get_eligible(state.fleet)
        for worker, tasks in state.by_worker.items():
            row = state.fleet.rows.get(worker)
            if row is None or not mask[row]:
                continue
            free = Amounts(*capacity[:, row].tolist())
            need = Amounts().plus(shape.amounts, int(counts[row]) + 1)
            found = self._choose_victims(tasks.values(), free, need, now)
            if found is not None:
                options.append((found[0], row, found[1]))
        return sorted(options, key=lambda option: option[:2])

    def _stop(self, task, job, reason, now):
        self._stops.append(now)
        self._stopped[task.key] = now + STOP_TIMEOUT_SECONDS
        return Preemption(task, job, reason)

    def _count_wanted(self, state, shape):
        wanted = -sum(
            reservation.shape == shape.key for reservation in self.reservations
        )
        for name in shape.teams:
            team = state.teams[name]
            waiting = team.shape_queues[shape.key].pending_tasks
            allowed = team.count_allowed(shape.amounts)
            wanted += waiting if allowed is None else min(waiting, allowed)
        return wanted

    @staticmethod
    def _count_budget(state):
        return max(MIN_BUDGET, BUDGET_PER_WORKER * len(state.fleet.names))

    def _list_options(self, state, shape, now):
        """Return (cost, worker, victims) to fit one task, least lost work first."""
        options = []
        mask = shape.get_eligible(state.fleet)
        taken = {reservation.worker for reservation in self.reservations}
        for worker, tasks in state.by_worker.items():
            row = state.fleet.rows.get(worker)
            if row is None or not mask[row] or worker in taken:
                continue
            free = Amounts(*state.fleet.free[:, row].tolist())
            found = self._choose_victims(tasks.values(), free, shape.amounts, now)
            if found is not None:
                options.append((found[0], worker, found[1]))
        return sorted(options, key=lambda option: option[:2])

    def _choose_victims(self, tasks, free, need, now):
        """Return the cost and the tasks to preempt, None if no choice suffices.

        Idle tasks go first, then the newest. The cost is the lost run time weighted by
        CPU millicores.
        """
        stoppable = [
            task
            for task in tasks
            if task.is_preemptible
            and task.key not in self._stopped
            and URGENCY_RANKS[task.urgency] != URGENT_RANK
        ]
        stoppable.sort(
            key=lambda task: (
                URGENCY_RANKS[task.urgency] != IDLE_RANK,
                -task.started_at,
                task.key,
            )
        )
        victims = []
        cost = 0.0
        for task in stoppable:
            if _covers(free, need):
                break
            if not _helps(task, free, need):
                continue
            free = free.plus(task.amounts)
            cost += max(0.0, now - task.started_at) * max(1, task.amounts.cpu_millis)
            victims.append(task)
        return (cost, victims) if victims and _covers(free, need) else None


def _covers(free, need):
    return all(have >= want for have, want in zip(free, need, strict=True))


def _helps(task, free, need):
    return any(
        want > have and given > 0
        for given, have, want in zip(task.amounts, free, need, strict=True)
    )
