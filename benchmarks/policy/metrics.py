"""Figures of an experiment."""

from math import inf

import numpy as np

from cactustiller.model import Urgency, WorkloadKind
from cactustiller.policy import Amounts
from cactustiller.policy.shares import compute_fair_shares

SAMPLE_SECONDS = 5.0
WINDOW_SECONDS = 600.0
BACKLOG_SHARE = 0.2


class Samples:
    """Use and demand of all teams, sampled every few seconds."""

    def __init__(self, workers, weights):
        self._capacity = np.array([Amounts.of(w.total) for w in workers]).sum(axis=0)
        self._capacity = np.maximum(self._capacity, 1)
        self._teams = {team: row for row, team in enumerate(weights)}
        self._weights = np.array(list(weights.values()))
        self._used = np.zeros((len(weights), 3))
        self._waiting = np.zeros((len(weights), 3))
        self._at = -inf
        self.shares = []
        self.fair_shares = []
        self.reserved = []
        self.has_backlog = []

    def add_running(self, job, count):
        """Count tasks that have started or ended."""
        self._used[self._teams[job.spec.team]] += np.multiply(job.amounts, count)

    def add_waiting(self, job, count):
        """Count tasks that wait or wait no longer."""
        self._waiting[self._teams[job.spec.team]] += np.multiply(job.amounts, count)

    def collect(self, now, jobs):
        """Take a sample where it is due."""
        if now - self._at < SAMPLE_SECONDS:
            return
        self._at = now
        used = self._used / self._capacity
        waiting = self._waiting / self._capacity
        self.shares.append(used.max(axis=1))
        self.fair_shares.append(compute_fair_shares(self._weights, used + waiting))
        self.reserved.append(used.sum(axis=0)[:2].max())
        self.has_backlog.append(waiting.sum(axis=0).max() >= BACKLOG_SHARE)

    def find_packing(self):
        """Return reserved over capacity of the dominant resource, with backlog."""
        chosen = [
            reserved
            for reserved, has_backlog in zip(
                self.reserved, self.has_backlog, strict=True
            )
            if has_backlog
        ]
        return float(np.mean(chosen)) if chosen else None

    def find_distance(self):
        """Return the largest distance from share over any window with backlog."""
        size = int(WINDOW_SECONDS / SAMPLE_SECONDS)
        if len(self.shares) < size:
            return None
        gaps = np.cumsum(np.array(self.shares) - np.array(self.fair_shares), axis=0)
        means = np.abs(gaps[size:] - gaps[:-size]) / size
        backlog = np.cumsum(self.has_backlog)
        full = (backlog[size:] - backlog[:-size]) == size
        return float(means[full].max()) if full.any() else None


def summarize(experiment):
    """Return the figures of an experiment that has run, by name."""
    jobs = experiment.jobs
    waits = {kind: [] for kind in ("urgent", "batch", "all at once")}
    for job in jobs:
        kind = _find_kind(job)
        if kind:
            waits[kind] += job.waits + [inf] * (
                0 if job.is_cancelled or job.is_failed else len(job.waiting)
            )
    due = [job for job in jobs if job.deadline_at and job.spec.name != "broken"]
    missed = [job for job in due if job.ended_at > job.deadline_at or job.is_failed]
    figures = {}
    for kind, seconds in waits.items():
        for quantile in (50, 99):
            name = f"{kind} wait p{quantile} s"
            figures[name] = _find_quantile(seconds, quantile)
    late = getattr(experiment.scheduler, "late_seconds", None)
    figures |= {
        "deadlines": len(due),
        "deadlines missed": len(missed),
        "missed said before": None
        if late is None
        else sum(late.get(job.name, inf) < job.deadline_at for job in missed),
        "said late in vain": None
        if late is None
        else len(set(late) - {job.name for job in missed}),
        "packing": _round(experiment.samples.find_packing(), 4),
        "share distance": _round(experiment.samples.find_distance(), 4),
        "preemptions": experiment.preemptions,
        "wasted work": _round(experiment.wasted / max(1.0, experiment.worked), 4),
        "jobs failed wrongly": sum(
            job.is_failed and job.spec.name != "broken" for job in jobs
        ),
    }
    return figures


def _find_kind(job):
    if job.spec.urgency is Urgency.URGENT:
        return "urgent"
    if job.spec.kind is WorkloadKind.ALL_AT_ONCE:
        return "all at once"
    return "batch" if job.spec.kind is WorkloadKind.BATCH else None


def _find_quantile(values, percent):
    if not values:
        return None
    ordered = sorted(values)
    found = ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
    return None if found == inf else round(found, 2)


def _round(value, digits):
    return None if value is None else round(value, digits)
