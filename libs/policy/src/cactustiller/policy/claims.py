"""Claims: capacity that is kept together for work that needs much at once."""

import numpy as np

from .snapshots import Amounts, Claim, Preemption

MOST_WHOLE_CLAIMS = 2
MOST_TASK_CLAIMS = 1
REFRESH_SECONDS = 1.0
OVERRUN_SECONDS = 30.0
OVERRUN_PART = 0.5
OVERDUE_SECONDS = 30.0
MOST_OVERRUNS_STOPPED = 8
UNKNOWN_END_SECONDS = 600.0
OVERRUN_REASON = "ran longer than predicted in room kept for {job}"


class ClaimBook:
    """Claims of this member's jobs and of its peers'.

    Attributes
    ----------
    own : dict of JobId to Claim
    peers : list of Claim
    """

    def __init__(self):
        self.own = {}
        self.peers = []
        self._promised = {}
        self._is_whole = {}
        self._backfilled = {}
        self._refreshed_at = float("-inf")
        self._searched_at = float("-inf")

    @property
    def earliest_start(self):
        """Return the first predicted start, None without a claim."""
        starts = [claim.start_at for claim in self.peers]
        return min((*starts, *self._promised.values()), default=None)

    def begin_search(self, now):
        """Return whether it is time again to look for work that needs a claim."""
        is_due = now - self._searched_at >= REFRESH_SECONDS
        if is_due:
            self._searched_at = now
        return is_due

    def can_request(self, shape):
        """Return whether one more claim may be made for a job of a shape.

        Single tasks have claims of their own, so that they do not hold up jobs whose
        tasks start together.
        """
        is_whole = bool(shape.key.whole_count)
        made = sum(found is is_whole for found in self._is_whole.values())
        return made < (MOST_WHOLE_CLAIMS if is_whole else MOST_TASK_CLAIMS)

    def list_all(self):
        """Return all claims, the first in line first."""
        claims = [*self.own.values(), *self.peers]
        return sorted(claims, key=lambda claim: claim.precedence)

    def list_kept(self):
        """Return the kept capacity as pairs of worker and `Amounts`."""
        return [pair for claim in self.list_all() for pair in claim.kept.items()]

    def find_capacity(self, fleet, claim):
        """Return the free capacity that claims before this one leave."""
        capacity = fleet.free.copy()
        for other in self.list_all():
            if other.precedence >= claim.precedence:
                break
            for worker, amounts in other.kept.items():
                if worker in fleet.rows:
                    capacity[:, fleet.rows[worker]] -= amounts
        return capacity

    def list_overdue(self, now):
        """Return own claims that missed the start first predicted by too much."""
        return [
            claim
            for job, claim in self.own.items()
            if self._is_whole[job] and now > self._promised[job] + OVERDUE_SECONDS
        ]

    def settle(self, claim, tasks, need, now):
        """Fix the workers of a claim for which room is being made."""
        claim.tasks = tasks
        claim.start_at = now + OVERDUE_SECONDS
        claim.kept = {
            worker: Amounts().plus(need, count) for worker, count in tasks.items()
        }
        self._promised[claim.job] = now

    def drop(self, job):
        """Give a claim up."""
        self.own.pop(job, None)
        self._promised.pop(job, None)
        self._is_whole.pop(job, None)
        for key, (owner, _) in list(self._backfilled.items()):
            if owner == job:
                del self._backfilled[key]

    def note_backfilled(self, task, now):
        """Remember that a task runs in capacity that a claim waits for."""
        for claim in self.own.values():
            if task.worker in claim.tasks and task.expected_end <= claim.start_at:
                self._backfilled[task.key] = (claim.job, task.expected_end)

    def request(self, state, lane, key, now):
        """Claim capacity for the first job of a lane; return the `Claim` or None."""
        if key.job in self.own:
            return self.own[key.job]
        if not self.can_request(lane.shape):
            return None
        claim = Claim(key.job, since=now, start_at=now)
        if not self._predict(state, lane, claim, now):
            return None
        self.own[key.job] = claim
        self._is_whole[key.job] = bool(lane.shape.key.whole_count)
        self._promised[key.job] = claim.start_at
        return claim

    def refresh(self, state, now):
        """Bring claims in line with what runs; return preemptions of overruns."""
        for job in [job for job in self.own if job not in state.jobs]:
            self.drop(job)
        is_due = now - self._refreshed_at >= REFRESH_SECONDS
        if is_due:
            self._refreshed_at = now
        for claim in sorted(self.own.values(), key=lambda claim: claim.precedence):
            lane = state.get_lane(claim.job)
            is_gone = any(worker not in state.fleet for worker in claim.tasks)
            is_missed = is_due and now > claim.start_at
            if (is_missed or is_gone) and not self._predict(state, lane, claim, now):
                self.drop(claim.job)
                continue
            self._update_kept(state, lane.shape.amounts, claim, now)
        return self._stop_overruns(state, now) if is_due else []

    def _predict(self, state, lane, claim, now):
        """Set a claim's start and workers; return whether it can ever start."""
        shape, fleet = lane.shape, state.fleet
        count = shape.key.whole_count or 1
        mask = shape.get_mask(fleet)
        base = self.find_capacity(fleet, claim)
        rows, ends, amounts = _collect_ends(state, base, now)
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
        claim.tasks = _choose_tasks(fleet, claim, counts, count)
        self._update_kept(state, shape.amounts, claim, now)
        return True

    def _update_kept(self, state, need, claim, now):
        claim.kept = {}
        for worker, count in claim.tasks.items():
            freed = Amounts()
            for task in state.by_worker.get(worker, {}).values():
                if now < task.expected_end <= claim.start_at:
                    freed = freed.plus(task.amounts)
            missing = (
                max(0, count * amount - free)
                for amount, free in zip(need, freed, strict=True)
            )
            claim.kept[worker] = Amounts(*missing)

    def _stop_overruns(self, state, now):
        found = []
        for (job, index), (owner, ends_at) in list(self._backfilled.items()):
            task = state.running.get(job, {}).get(index)
            if task is None:
                del self._backfilled[(job, index)]
            elif len(found) >= MOST_OVERRUNS_STOPPED:
                break
            elif task.is_preemptible and now > max(ends_at, self._promised[owner]):
                del self._backfilled[(job, index)]
                reason = OVERRUN_REASON.format(job=owner)
                found.append(Preemption(task, owner, reason))
        return found


def _find_end(task, now):
    """Return when a task is expected to end.

    One that overruns is expected to run on for a part of what it has run.
    """
    if task.expected_end > now:
        return task.expected_end
    return now + max(OVERRUN_SECONDS, OVERRUN_PART * (now - task.started_at))


def _collect_ends(state, base, now):
    """Return rows, ends and amounts of what is expected to be freed."""
    fleet = state.fleet
    tasks = [
        (fleet.rows[worker], _find_end(task, now), *task.amounts)
        for worker, by_key in state.by_worker.items()
        if worker in fleet.rows
        for task in by_key.values()
    ]
    table = np.array(tasks, dtype=float).reshape(-1, 5)
    rows = table[:, 0].astype(np.int64)
    known = np.zeros_like(base, dtype=float)
    for number in range(len(base)):
        known[number] = np.bincount(
            rows, table[:, 2 + number], minlength=len(fleet.names)
        )
    # What peers' homes run here is known by its sum only.
    rest = np.maximum(fleet.total - fleet.free - known, 0)
    rows = np.append(rows, np.arange(len(fleet.names)))
    ends = np.append(table[:, 1], np.full(len(fleet.names), now + UNKNOWN_END_SECONDS))
    return rows, ends, np.concatenate([table[:, 2:].T, rest], axis=1)


def _sum_freed(rows, ends, amounts, moment, base):
    chosen = ends <= moment
    return np.array(
        [
            np.bincount(rows[chosen], row[chosen], minlength=base.shape[1])
            for row in amounts
        ]
    ).astype(np.int64)


def _choose_tasks(fleet, claim, counts, wanted):
    """Return how many tasks go to each worker, former choices first."""
    former = np.array([name in claim.tasks for name in fleet.names], dtype=bool)
    tasks = {}
    for row in np.lexsort((np.arange(len(counts)), -counts, ~former)):
        if wanted <= 0:
            break
        taken = int(min(wanted, counts[row]))
        if taken:
            tasks[fleet.names[row]] = taken
            wanted -= taken
    return tasks
