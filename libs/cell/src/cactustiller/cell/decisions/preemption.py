"""Choice of the runs to preempt for urgent steps and critical gangs; no I/O.

Answers urgent work on a cell full of batch runs. Only runs that save a checkpoint when
stopped are preempted, whatever their priority, so that a preemption costs a restart but
no work.
"""

from collections import Counter
from typing import NamedTuple

from cactustiller.model import NO_AMOUNTS, Amounts

from .candidates import cap_per_worker, count_tasks_by_worker

# Maximum number of runs of a service preempted in a round, including those for gangs,
# beyond which none is preempted for single tasks. Later rounds count the capacity being
# freed before they preempt more.
MAX_VICTIMS = 6
# Maximum number of runs preempted for one gang that would otherwise miss its objective.
MAX_GANG_VICTIMS = 48
# Preempting a younger run costs as much as it gains.
MIN_RUN_SECONDS = 0.4


class Victims(NamedTuple):
    """Capacity that a worker has free or is about to free, and runs to preempt.

    `candidates` are tasks, those with the largest CPU amounts first.
    """

    free: tuple[int, int, int]
    candidates: list


class PreemptionSearch:
    """Runs that a round preempts.

    Parameters
    ----------
    now : float
        Event loop time in seconds.

    Attributes
    ----------
    preempted : list of (TaskRun, Worker)
    """

    def __init__(self, now):
        self.preempted = []
        self._now = now
        self._counts = Counter()
        self._candidates = {}
        self._stopping = {}

    def is_exhausted(self, service):
        """Return whether no more runs of a service are preempted for single tasks."""
        return self._counts[service] >= MAX_VICTIMS

    def preempt_for_step(self, step, workers):
        """Choose runs to preempt so that tasks of an urgent step fit.

        Capacity of runs that are already being stopped is counted first.

        Parameters
        ----------
        step : StepRun
            Urgent step that fits on no worker.
        workers : list of Worker
            Workers that may run it.
        """
        amounts = step.spec.counted
        wanted = step.pending_count
        options = []
        counts = count_tasks_by_worker(step)
        for worker in workers:
            if counts and cap_per_worker(step, counts, worker, 1) <= 0:
                continue
            free, candidates = self._find_victims(worker)
            missing = _find_missing(amounts, free)
            if not any(missing):
                wanted -= 1
                continue
            victims = _choose_victims(candidates, missing) if candidates else None
            if victims is not None:
                options.append((len(victims), worker.info.worker, worker, victims))
        options.sort(key=lambda option: option[:2])
        for count, _, worker, victims in options:
            if wanted <= 0 or self._counts[worker.info.service] + count > MAX_VICTIMS:
                return
            self._preempt(victims, worker)
            wanted -= 1

    def preempt_for_gang(self, step, workers):
        """Choose runs to preempt so that a whole gang fits; return its workers.

        Parameters
        ----------
        step : StepRun
        workers : list of Worker
            Workers that may run it and are not reserved for another gang.

        Returns
        -------
        list of Worker
            Empty if the gang does not fit even with preemption, or only with more than
            `MAX_GANG_VICTIMS` preempted runs.
        """
        amounts = step.spec.counted
        counts = count_tasks_by_worker(step)
        options = []
        for worker in workers:
            found = self._find_victims(worker)
            max_count = cap_per_worker(step, counts, worker, step.spec.count)
            freed = Amounts(*found.free)
            fits_now = freed.count_fits(amounts, max_count)
            for task in found.candidates:
                freed = freed.plus(task.step.spec.counted)
            fits_after_stops = freed.count_fits(amounts, max_count)
            if fits_after_stops:
                order = (-fits_now, -fits_after_stops, worker.info.worker)
                options.append((order, worker, found))
        options.sort(key=lambda option: option[0])
        missing = step.spec.count
        stops, chosen_workers = [], []
        for (_, negated_fits, _), worker, found in options:
            count = min(missing, -negated_fits)
            needed = tuple(count * amount for amount in amounts)
            victims = _choose_victims(
                found.candidates, _find_missing(needed, found.free)
            )
            stops.append((victims or [], worker))
            chosen_workers.append(worker)
            missing -= count
            if not missing:
                break
        if missing or sum(len(victims) for victims, _ in stops) > MAX_GANG_VICTIMS:
            return []
        for victims, worker in stops:
            self._preempt(victims, worker)
        return chosen_workers

    def _preempt(self, victims, worker):
        for task in victims:
            self.preempted.append((task, worker))
            self._counts[worker.info.service] += 1
            self._candidates[worker].remove(task)
            stopping = self._stopping[worker]
            self._stopping[worker] = stopping.plus(task.step.spec.counted)

    def _find_victims(self, worker):
        """Return the `Victims` of a worker as they are now in this round."""
        if worker not in self._candidates:
            self._inspect(worker)
        cpu, memory, accelerators = self._stopping[worker]
        free = (
            worker.free_cpu + cpu,
            worker.free_memory + memory,
            worker.free_accelerators + accelerators,
        )
        return Victims(free, self._candidates[worker])

    def _inspect(self, worker):
        stopping = NO_AMOUNTS
        candidates = []
        for task, run in worker.runs.values():
            if task.is_stopping:
                stopping = stopping.plus(task.step.spec.counted)
            elif task.run == run and _is_preemptible(task, self._now):
                candidates.append(task)
        candidates.sort(key=lambda task: -task.step.spec.counted[0])
        self._stopping[worker] = stopping
        self._candidates[worker] = candidates


def _is_preemptible(task, now):
    """Return whether a run can be preempted without loss of work.

    Gang members and service tasks are never preempted.
    """
    spec = task.step.spec
    return (
        spec.has_checkpoints
        and not spec.is_gang
        and not spec.is_service
        and bool(task.started_at)
        and now - task.started_at >= MIN_RUN_SECONDS
    )


def _find_missing(needed, free):
    """Return by how much the needed amounts exceed the free ones."""
    # Called for each worker of each urgent step, so without a loop.
    return (
        needed[0] - free[0] if 0 < needed[0] > free[0] else 0,
        needed[1] - free[1] if 0 < needed[1] > free[1] else 0,
        needed[2] - free[2] if 0 < needed[2] > free[2] else 0,
    )


def _choose_victims(candidates, missing):
    """Return the runs to stop to free the missing amounts; None if they free too few.

    Takes the first candidates, which have the largest CPU amounts, and passes over
    those that free nothing that is still missing.
    """
    cpu, memory, accelerators = missing
    victims = []
    for task in candidates:
        if cpu <= 0 and memory <= 0 and accelerators <= 0:
            break
        freed = task.step.spec.counted
        if (
            (cpu > 0 and freed[0])
            or (memory > 0 and freed[1])
            or (accelerators > 0 and freed[2])
        ):
            victims.append(task)
            cpu -= freed[0]
            memory -= freed[1]
            accelerators -= freed[2]
    is_enough = cpu <= 0 and memory <= 0 and accelerators <= 0
    return victims if is_enough else None
