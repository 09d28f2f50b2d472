"""Claims: capacity reservations for jobs that need much capacity at once.

This is backfill scheduling: a claim reserves the workers on which a gang or a large
task is predicted to start first, and tasks that end before then may run there.
"""

import numpy as np

from .snapshots import Amounts, Claim, Preemption

MAX_GANG_CLAIMS = 2
MAX_SINGLE_TASK_CLAIMS = 1
REFRESH_SECONDS = 1.0
MIN_OVERRUN_SECONDS = 30.0
OVERRUN_FRACTION = 0.5
OVERDUE_SECONDS = 30.0
MAX_OVERRUN_PREEMPTIONS = 8
UNKNOWN_END_SECONDS = 600.0
OVERRUN_REASON = "ran longer than predicted in capacity reserved for {job}"


class ClaimRegistry:
    """Claims of this member's jobs and of its peers' jobs.

    Attributes
    ----------
    own : dict of JobId to Claim
    peers : list of Claim
    """

    def __init__(self):
        self.own = {}
        self.peers = []
        self._due_starts = {}
        self._is_gang = {}
        self._backfilled = {}
        self._refreshed_at = float("-inf")
        self._searched_at = float("-inf")

    @property
    def earliest_start(self):
        """Return the earliest predicted start of any claim, None without claims."""
        starts = [claim.start_at for claim in self.peers]
        return min((*starts, *self._due_starts.values()), default=None)

    def begin_search(self, now):
        """Return whether the next search for jobs that need a claim is due."""
        is_due = now - self._searched_at >= REFRESH_SECONDS
        if is_due:
            self._searched_at = now
        return is_due

    def can_request(self, shape):
        """Return whether one more claim may be made for a job of a shape.

        Gangs and single tasks have separate limits, so that claims of single tasks do
        not delay gangs.
        """
        is_gang = bool(shape.key.gang_size)
        made = sum(found is is_gang for found in self._is_gang.values())
        return made < (MAX_GANG_CLAIMS if is_gang else MAX_SINGLE_TASK_CLAIMS)

    def list_all(self):
        """Return all claims in order of precedence."""
        claims = [*self.own.values(), *self.peers]
        return sorted(claims, key=lambda claim: claim.precedence)

    def list_reserved(self):
        """Return the reserved capacity as pairs of worker and `Amounts`."""
        return [pair for claim in self.list_all() for pair in claim.reserved.items()]

    def find_capacity(self, fleet, claim):
        """Return the free capacity less that of claims that take precedence."""
        capacity = fleet.free.copy()
        for other in self.list_all():
            if other.precedence >= claim.precedence:
                break
            for worker, amounts in other.reserved.items():
                if worker in fleet.rows:
                    capacity[:, fleet.rows[worker]] -= amounts
        return capacity

    def list_overdue(self, now):
        """Return own gang claims that are overdue by `OVERDUE_SECONDS`."""
        return [
            claim
            for job, claim in self.own.items()
            if self._is_gang[job] and now > self._due_starts[job] + OVERDUE_SECONDS
        ]

    def pin_workers(self, claim, tasks, need, now):
        """Fix the workers of a claim when tasks are preempted to complete it."""
        claim.tasks = tasks
        claim.start_at = now + OVERDUE_SECONDS
        claim.reserved = {
            worker: Amounts().plus(need, count) for worker, count in tasks.items()
        }
        self._due_starts[claim.job] = now

    def drop(self, job):
        """Remove a claim and its records of backfilled tasks."""
        self.own.pop(job, None)
        self._due_starts.pop(job, None)
        self._is_gang.pop(job, None)
        for key, (owner, _) in list(self._backfilled.items()):
            if owner == job:
                del self._backfilled[key]

    def record_backfilled(self, task, now):
        """Record that a task backfills capacity of a claim."""
        for claim in self.own.values():
            if task.worker in claim.tasks and task.expected_end <= claim.start_at:
                self._backfilled[task.key] = (claim.job, task.expected_end)

    def request(self, state, shape_queue, key, now):
        """Claim capacity for the first job of a queue; return the `Claim` or None."""
        if key.job in self.own:
            return self.own[key.job]
        if not self.can_request(shape_queue.shape):
            return None
        claim = Claim(key.job, since=now, start_at=now)
        if not self._predict(state, shape_queue, claim, now):
            return None
        self.own[key.job] = claim
        self._is_gang[key.job] = bool(shape_queue.shape.key.gang_size)
        self._due_starts[key.job] = claim.start_at
        return claim

    def refresh(self, state, now):
        """Update the claims to the running tasks; return preemptions of overruns."""
        for job in [job for job in self.own if job not in state.jobs]:
            self.drop(job)
        is_due = now - self._refreshed_at >= REFRESH_SECONDS
        if is_due:
            self._refreshed_at = now
        for claim in sorted(self.own.values(), key=lambda claim: claim.precedence):
            shape_queue = state.get_shape_queue(claim.job)
            is_gone = not all(map(state.fleet.has_open, claim.tasks))
            is_missed = is_due and now > claim.start_at
            if (is_missed or is_gone) and not self._predict(
                state, shape_queue, claim, now
            ):
                self.drop(claim.job)
                continue
            self._update_reserved(state, shape_queue.shape.amounts, claim, now)
        return self._stop_overruns(state, now) if is_due else []

    def _predict(self, state, shape_queue, claim, now):
        """Predict a claim's start and workers; return whether it can ever start."""
        shape, fleet = shape_queue.shape, state.fleet
        count = shape.key.gang_size or 1
        mask = shape.get_eligible(fleet)
        base = self.find_capacity(fleet, claim)
        rows, ends, amounts = _collect_expected_ends(state, base, now)
        moments = np.unique(np.append(ends[np.isfinite(ends)], now))
        low, high = 0, len(moments) - 1
        found = None
        while low <= high:
            middle = (low + high) // 2
            capacity = base + _sum_freed(rows, ends, amounts, moments[middle], base)
            counts = np.where(mask, fleet.count_fitting(shape.amounts, capacity), 0)
            if counts.sum() >= count:
                found = (float(moments[middle]), counts)
                high = middle - 1
            else:
                low = middle + 1
        if found is None:
            return False
        claim.start_at, counts = found
        claim.tasks = _choose_workers(fleet, claim, counts, count)
        self._update_reserved(state, shape.amounts, claim, now)
        return True

    def _update_reserved(self, state, need, claim, now):
        claim.reserved = {}
        for worker, count in claim.tasks.items():
            freed = Amounts()
            for task in state.by_worker.get(worker, {}).values():
                if now < task.expected_end <= claim.start_at:
                    freed = freed.plus(task.amounts)
            missing = (
                max(0, count * amount - free)
                for amount, free in zip(need, freed, strict=True)
            )
            claim.reserved[worker] = Amounts(*missing)

    def _stop_overruns(self, state, now):
        found = []
        for (job, index), (owner, ends_at) in list(self._backfilled.items()):
            task = state.running.get(job, {}).get(index)
            if task is None or not state.fleet.has_open(task.worker):
                del self._backfilled[(job, index)]
            elif len(found) >= MAX_OVERRUN_PREEMPTIONS:
                break
            elif task.is_preemptible and now > max(ends_at, self._due_starts[owner]):
                del self._backfilled[(job, index)]
                reason = OVERRUN_REASON.format(job=owner)
                found.append(Preemption(task, owner, reason))
        return found


def _predict_end(task, now):
    """Return when a task is expected to end.

    A task that overruns is expected to go on for a fraction of its run time so far.
    """
    if task.expected_end > now:
        return task.expected_end
    return now + max(MIN_OVERRUN_SECONDS, OVERRUN_FRACTION * (now - task.started_at))


def _collect_expected_ends(state, base, now):
    """Return rows, ends and amounts of the capacity that is expected to be freed."""
    fleet = state.fleet
    tasks = [
        (fleet.rows[worker], _predict_end(task, now), *task.amounts)
        for worker, by_key in state.by_worker.items()
        if worker in fleet.rows
        for task in by_key.values()
    ]
    table = np.array(tasks, dtype=float).reshape(-1, 5)
    rows = table[:, 0].astype(np.int64)
    listed = np.zeros_like(base, dtype=float)
    for number in range(len(base)):
        listed[number] = np.bincount(
            rows, table[:, 2 + number], minlength=len(fleet.names)
        )
    # Tasks of homes on peers are known only as the capacity that they use.
    unlisted = np.maximum(fleet.total - fleet.free - listed, 0)
    rows = np.append(rows, np.arange(len(fleet.names)))
    ends = np.append(table[:, 1], np.full(len(fleet.names), now + UNKNOWN_END_SECONDS))
    return rows, ends, np.concatenate([table[:, 2:].T, unlisted], axis=1)


def _sum_freed(rows, ends, amounts, moment, base):
    chosen = ends <= moment
    return np.array(
        [
            np.bincount(rows[chosen], row[chosen], minlength=base.shape[1])
            for row in amounts
        ]
    ).astype(np.int64)


def _choose_workers(fleet, claim, counts, wanted):
    """Return the number of tasks for each worker, previously chosen workers first."""
    previous = np.array([name in claim.tasks for name in fleet.names], dtype=bool)
    tasks = {}
    for row in np.lexsort((np.arange(len(counts)), -counts, ~previous)):
        if wanted <= 0:
            break
        taken = int(min(wanted, counts[row]))
        if taken:
            tasks[fleet.names[row]] = taken
            wanted -= taken
    return tasks
