"""Two plain schedulers to compare with."""

import numpy as np

from cactustiller.model import Urgency, WorkloadKind
from cactustiller.policy import Fleet

RANKS = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.IDLE: 2}


class Baseline:
    """Goes through the waiting jobs in a fixed order and starts what fits."""

    def __init__(self, workers, weights):
        self._fleet = Fleet()
        for worker in workers:
            self._fleet.put_worker(worker)
        self._fleet.refresh()
        self._jobs = {}

    def put(self, job, now):
        """Take a job whose waiting tasks have changed."""
        if job.waiting:
            self._jobs[job.name] = job
        else:
            self._jobs.pop(job.name, None)

    def end(self, run, state, now):
        """Take the end of a run."""
        self._fleet.allocate(self._fleet.rows[run.worker], run.job.amounts, -1)

    def decide(self, now):
        """Return placements as (job, index, worker) and nothing to stop."""
        placed = []
        full = set()
        for job in sorted(self._jobs.values(), key=self._rank):
            is_gang = job.spec.kind is WorkloadKind.ALL_AT_ONCE
            if job.amounts in full and not is_gang:
                continue
            rows = self._choose(job, is_gang)
            if len(rows) < len(job.waiting) and not is_gang:
                full.add(job.amounts)
            names = self._fleet.names
            placed += [
                (job, index, names[row])
                for index, row in zip(list(job.waiting), rows, strict=False)
            ]
        return placed, []

    def _choose(self, job, is_gang):
        rows = []
        for _ in job.waiting:
            row = self._find_row(job.amounts)
            if row is None:
                break
            self._fleet.allocate(row, job.amounts)
            rows.append(row)
        if is_gang and len(rows) < len(job.waiting):
            for row in rows:
                self._fleet.allocate(row, job.amounts, -1)
            return []
        return rows

    def _find_fitting(self, amounts):
        free = self._fleet.free
        return (free >= np.array(amounts)[:, None]).all(axis=0)


class FirstComeFirstFit(Baseline):
    """First come, first served; the first worker with room."""

    name = "first come, first fit"

    def _rank(self, job):
        return (job.submitted_at, job.name)

    def _find_row(self, amounts):
        fitting = np.flatnonzero(self._find_fitting(amounts))
        return int(fitting[0]) if len(fitting) else None


class StrictPriorityBestFit(Baseline):
    """Urgent, normal, idle; within each first come; the fullest worker with room."""

    name = "strict priority, best fit"

    def _rank(self, job):
        return (RANKS[job.spec.urgency], job.submitted_at, job.name)

    def _find_row(self, amounts):
        fitting = self._find_fitting(amounts)
        if not fitting.any():
            return None
        left = self._fleet.free[:2] - np.array(amounts[:2])[:, None]
        fullness = (left * self._fleet.inverse_total).max(axis=0)
        return int(np.argmin(np.where(fitting, fullness, np.inf)))
