"""Which tasks to stop, after a checkpoint, for urgent work."""

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
    """Room on a worker that is being made for one urgent task."""

    shape: ShapeKey
    worker: WorkerId
    until: float


class Preemptor:
    """Makes room for urgent work within a budget.

    A task is stopped at most as often as its queue's ``max_preemptions`` says (see
    `RunningTask.is_preemptible`), and all workers together at most `BUDGET_PER_WORKER`
    times a minute for each worker, so that stopped work gets somewhere.
    """

    def __init__(self):
        self.reservations = []
        self._stops = deque()
        self._stopped = {}

    def refresh(self, state, now):
        """Forget rooms that are out of date and tasks that have ended."""
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
        """Return the kept capacity as pairs of worker and `Amounts`."""
        return [
            (reservation.worker, reservation.shape.amounts)
            for reservation in self.reservations
        ]

    def has_reservation(self, shape):
        """Return whether room is being made for a shape."""
        return any(reservation.shape == shape for reservation in self.reservations)

    def on_placed(self, shape, worker):
        """Note that an urgent task took the room made for its shape."""
        for reservation in self.reservations:
            if reservation.shape == shape and reservation.worker == worker:
                self.reservations.remove(reservation)
                return

    def preempt_for_urgent(self, state, shape_queue, job, now):
        """Return the preemptions that make room for urgent tasks of one shape."""
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
            reason = f"urgent {job} finds no room"
            found += [self._stop(task, job, reason, now) for task in victims]
        return found

    def preempt_for_claim(self, state, claims, claim, now):
        """Return the preemptions that let an overdue claim start.

        Adds at most one task to each worker that has room for some already, where
        the least work is lost.
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
        reason = f"{claim.job} waits for the last of its claimed capacity"
        return [self._stop(task, claim.job, reason, now) for task in victims]

    def _list_completions(self, state, shape, capacity, counts, now):
        """Return cost, row and victims of one more task, least lost work first."""
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
            waiting = team.shape_queues[shape.key].tasks
            allowed = team.count_allowed(shape.amounts)
            wanted += waiting if allowed is None else min(waiting, allowed)
        return wanted

    @staticmethod
    def _count_budget(state):
        return max(MIN_BUDGET, BUDGET_PER_WORKER * len(state.fleet.names))

    def _list_options(self, state, shape, now):
        """Return workers with the tasks to stop there, least lost work first."""
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
        """Return the cost and the tasks that make room, None where there is none."""
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
