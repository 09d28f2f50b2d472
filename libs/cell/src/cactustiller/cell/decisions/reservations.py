"""Capacity that is held for gangs which do not fit yet; no I/O.

Answers a full service in which single tasks take each piece of capacity as it becomes
free. Capacity is held only where runs are expected to end, as far as they still show
that they will, and only a part of a service. Other work waits for it for a short time
unless the service is busy.
"""

from collections import Counter
from typing import NamedTuple

from cactustiller.model import Amounts

from .health import COMPLETE_PERCENT, MIN_PROGRESS_PERCENT
from .ordering import LATE_URGENT, URGENT

# The workers reserved for gangs are at most this fraction of those of a service, or
# one; a larger fraction leaves too much capacity idle.
MAX_RESERVED_FRACTION = 0.4
# A gang that needs a larger fraction may hold it if no other gang holds any, and if all
# of it is expected to be free within this time.
LARGE_HOLD_SECONDS = 1.5
# Longest time for which a worker is held until its runs end.
MAX_HOLD_SECONDS = 15.0
# A run that has taken this many times its expected duration says nothing about its end.
MAX_OVERRUN = 2.0
MIN_OVERRUN_SECONDS = 1.0
# Work of a service that is not half used is not kept waiting for longer than this.
MAX_WAIT_FOR_GANGS_SECONDS = 1.5
URGENT_BANDS = (URGENT, LATE_URGENT)


class Outlook(NamedTuple):
    """Capacity that a worker has once its runs have ended that are expected to end.

    Attributes
    ----------
    free_at : float
        Event loop time by which they are expected to have ended.
    amounts : Amounts
        Free amounts then.
    """

    free_at: float
    amounts: Amounts


class Reservations:
    """Workers that are reserved for gangs in one round.

    Parameters
    ----------
    now : float
        Event loop time in seconds.
    workers : list of Worker
        Schedulable workers; their reservations of the previous round end.
    """

    def __init__(self, now, workers):
        self._now = now
        self._workers = workers
        self._counts = Counter()
        self._previous = {}
        self._by_end = None
        self._totals = Counter(worker.info.service for worker in workers)
        for worker in workers:
            if worker.reserved_for is not None:
                reserved = self._previous.setdefault(worker.reserved_for, [])
                reserved.append(worker)
                worker.reserved_for = None

    def reserve(self, worker, step):
        """Reserve a worker for a gang that does not fit yet."""
        worker.reserved_for = step
        self._counts[worker.info.service] += 1

    def may_reserve(self, service, count, free_at):
        """Return whether a gang may reserve more workers of a service.

        Parameters
        ----------
        service : ServiceName
        count : int
            Number of workers.
        free_at : float
            Event loop time by which all of them are expected to be free.
        """
        reserved = self._counts[service]
        limit = max(1.0, MAX_RESERVED_FRACTION * self._totals[service])
        if reserved + count <= limit:
            return True
        return not reserved and free_at <= self._now + LARGE_HOLD_SECONDS

    def iterate_by_end(self, step):
        """Yield ``(Outlook, worker)`` in the order in which a gang reserves workers.

        Workers reserved for the step in the previous round come first, so that their
        runs end without being replaced, then those that become free first. Those that
        would have to be held for too long are left out.
        """
        if self._by_end is None:
            entries = [
                (estimate_outlook(worker, self._now), worker.info.worker, worker)
                for worker in self._workers
            ]
            latest = self._now + MAX_HOLD_SECONDS
            self._by_end = sorted(
                entry for entry in entries if entry[0].free_at <= latest
            )
        previous = set(self._previous.get(step, ()))
        for is_previous in (True, False) if previous else (False,):
            for outlook, _, worker in self._by_end:
                if (worker in previous) == is_previous:
                    yield outlook, worker


def estimate_outlook(worker, now):
    """Return the `Outlook` of a worker.

    Runs without an expected end keep what they use; so do runs that match no placement.
    """
    free_at = now
    cpu, memory = worker.free_cpu, worker.free_memory
    accelerators = worker.free_accelerators
    for task, _ in worker.runs.values():
        ends_at = estimate_end(task, now)
        if ends_at is None:
            continue
        free_at = max(free_at, ends_at)
        counted = task.step.spec.counted
        cpu += counted[0]
        memory += counted[1]
        accelerators += counted[2]
    return Outlook(free_at, Amounts(cpu, memory, accelerators))


def estimate_end(task, now):
    """Return the event loop time by which a run is expected to end, or None.

    The estimate of a task is rough, so reported progress goes before it. A run without
    end, or long past its expected end, has none.
    """
    spec = task.step.spec
    if task.is_stopping:
        return now
    if spec.is_service:
        return None
    if not task.started_at:
        return now + spec.estimate_ms / 1000
    expected = spec.estimate_ms / 1000
    if task.progress >= MIN_PROGRESS_PERCENT:
        elapsed = task.progressed_at - task.started_at
        expected = elapsed * COMPLETE_PERCENT / task.progress
    ends_at = task.started_at + expected
    overrun = max(MIN_OVERRUN_SECONDS, (MAX_OVERRUN - 1) * expected)
    return max(ends_at, now) if now <= ends_at + overrun else None


def may_use_reserved(key, step, is_half_used, now):
    """Return whether a step may run on workers that are reserved for a gang.

    Urgent and filling steps may, and those of which nothing has run for some time
    while their service has capacity for them.

    Parameters
    ----------
    key : OrderKey
    step : StepRun
    is_half_used : bool
        Half of the step's service, or more, is in use.
    now : float
        Event loop time in seconds.
    """
    if key.band in URGENT_BANDS or step.spec.fills:
        return True
    has_waited = now - step.eligible_at >= MAX_WAIT_FOR_GANGS_SECONDS
    is_idle = step.pending_count + step.succeeded_count == step.spec.count
    is_waiting = has_waited and (is_idle or step.spec.is_service)
    return is_waiting and not is_half_used
