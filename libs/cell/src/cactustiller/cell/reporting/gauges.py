"""Gauges of the jobs and workers in an owner's engine."""

import math
from collections import Counter

from .metrics import Gauge

MILLICORES_PER_CORE = 1000


def read_cell_gauges(engine, now):
    """Yield ``(Gauge, labels, value)`` for the jobs and workers of a cell.

    Parameters
    ----------
    engine : Engine
    now : float
        Loop time in seconds.
    """
    yield Gauge.JOBS, (), len(engine.jobs)
    yield Gauge.DEFERRED_JOBS, (), len(engine.deferred_jobs)
    yield Gauge.JOB_MEMORY, (), engine.job_memory.used_bytes
    yield Gauge.COPIES, (), engine.speculation.count_copies()
    for labels, count in _count_eligible(engine).items():
        yield Gauge.WAITING, labels, count
    for reason, count in engine.block_reporter.reasons.items():
        yield Gauge.BLOCKED, (reason,), count
    states = Counter(_name_state(worker, now) for worker in engine.workers.values())
    for state, count in states.items():
        yield Gauge.WORKERS, (state,), count
    sent = [at for worker in engine.workers.values() for at in worker.list_unanswered()]
    yield Gauge.UNANSWERED_STARTS, (), len(sent)
    yield Gauge.UNANSWERED_START_AGE, (), now - min(sent, default=now)
    yield Gauge.SLOW_WORKERS, (), engine.speeds.slow_count
    for state, cores in _sum_cores(engine, now).items():
        yield Gauge.CAPACITY, (state,), cores
    known = engine.interference.estimates.list_known()
    yield Gauge.INTERFERING_PAIRS, (), len(known)
    largest = max((pair.effect for pair in known), default=0.0)
    yield Gauge.INTERFERENCE_SLOWDOWN, (), math.exp(largest)


def _count_eligible(engine):
    waiting = Counter()
    for step in engine.find_eligible_steps():
        spec = step.job.spec
        priority = str(engine.find_rules(step.job).priority)
        waiting[priority, str(spec.team)] += step.pending_count
    return waiting


def _name_state(worker, now):
    exclusion = worker.find_exclusion(now)
    return exclusion.value if exclusion else "usable"


def _sum_cores(engine, now):
    """Return cores by state; unused cores count as free only on usable workers."""
    cores = dict.fromkeys(("all", "used", "reserved", "free"), 0.0)
    for worker in engine.workers.values():
        capacity = worker.info.capacity[0] / MILLICORES_PER_CORE
        free = max(0, worker.free_cpu) / MILLICORES_PER_CORE
        cores["all"] += capacity
        cores["used"] += capacity - free
        if worker.reserved_for is not None:
            cores["reserved"] += free
        elif worker.is_schedulable(now):
            cores["free"] += free
    return cores
