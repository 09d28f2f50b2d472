"""What decisions go by, kept up to date one change at a time."""

import numpy as np

from cactustiller.model import NO_AMOUNTS, Amounts

from .fleet import Fleet
from .ordering import ShapeQueue, make_order_key
from .shapes import Shape, make_shape_key
from .shares import ShareLedger

SHARE_UPDATE_SECONDS = 1.0


class TeamState:
    """Team with its use, its waiting work and its lanes by shape.

    Parameters
    ----------
    snapshot : TeamSnapshot

    Attributes
    ----------
    share, entitled, owed : float
        Dominant share of the cell that it uses, that is fair, and that it is owed.
    """

    def __init__(self, snapshot):
        self.team = snapshot.team
        self.shape_queues = {}
        self.used = NO_AMOUNTS
        self.used_tasks = 0
        self.remote_waiting = NO_AMOUNTS
        self.deadline_jobs = 0
        self.deferred_since = None
        self.dominant_share = 0.0
        self.fair_share = 0.0
        self.deficit = snapshot.deficit
        self.update(snapshot)

    def update(self, snapshot):
        """Take weight and limits, and for a remote team also its work."""
        self.weight = snapshot.share_weight
        self.limit = Amounts.of(snapshot.limit)
        self.limit_tasks = snapshot.limit_tasks
        self._has_limit = bool(self.limit_tasks or any(self.limit))
        self.is_remote = snapshot.is_remote
        if self.is_remote:
            self.used = Amounts.of(snapshot.used)
            self.used_tasks = snapshot.used_tasks
            self.remote_waiting = Amounts.of(snapshot.waiting)

    def count_unlisted(self, snapshot):
        """Count what a snapshot gives as used beyond the listed tasks."""
        self.used = Amounts(*map(max, self.used, Amounts.of(snapshot.used)))
        self.used_tasks = max(self.used_tasks, snapshot.used_tasks)

    @property
    def adjusted_share(self):
        """Use less what the team is owed, by its weight."""
        return (self.dominant_share - self.deficit) / self.weight

    def adjust_use(self, amounts, count, cell_capacity_list):
        """Count tasks as used; a negative count gives them back."""
        self.used = self.used.plus(amounts, count)
        self.used_tasks += count
        self.update_dominant_share(cell_capacity_list)

    def update_dominant_share(self, cell_capacity_list):
        """Work the share out from the cell's totals."""
        cpu, memory, accelerators = self.used
        self.dominant_share = max(
            cpu / cell_capacity_list[0],
            memory / cell_capacity_list[1],
            accelerators / cell_capacity_list[2],
        )

    def count_allowed(self, amounts):
        """Return how many more tasks the limit allows, None without a limit."""
        if not self._has_limit:
            return None
        allowed = [
            max(0, limit - used) // amount
            for limit, used, amount in zip(self.limit, self.used, amounts, strict=True)
            if limit and amount
        ]
        if self.limit_tasks:
            allowed.append(max(0, self.limit_tasks - self.used_tasks))
        return min(allowed, default=None)

    def describe_limit(self):
        """Return the limit and the use as text."""
        parts = [
            f"{used} of {limit} {name}"
            for name, limit, used in zip(
                Amounts._fields, self.limit, self.used, strict=True
            )
            if limit
        ]
        if self.limit_tasks:
            parts.append(f"{self.used_tasks} of {self.limit_tasks} tasks")
        return f"the team's limit: it holds {', '.join(parts)}"

    def sum_waiting(self):
        """Return the amounts that wait, at most what the limit leaves."""
        if self.is_remote:
            return self.remote_waiting
        waiting = NO_AMOUNTS
        for shape_queue in self.shape_queues.values():
            amounts = shape_queue.shape.amounts
            allowed = self.count_allowed(amounts)
            count = (
                shape_queue.tasks
                if allowed is None
                else min(shape_queue.tasks, allowed)
            )
            if not shape_queue.shape.infeasible_reason:
                waiting = waiting.plus(amounts, count)
        capped = (
            min(wait, max(0, limit - used)) if limit else wait
            for wait, limit, used in zip(waiting, self.limit, self.used, strict=True)
        )
        return Amounts(*capped)


class CellState:
    """Workers, teams, waiting jobs and running tasks with their indexes.

    Attributes
    ----------
    fleet : Fleet
    teams : dict of TeamId to TeamState
    jobs : dict of JobId to WaitingJob
    shapes : dict of ShapeKey to Shape
    running : dict of JobId to dict of int to RunningTask
    late, warned : set of JobId
        Jobs that can't be in time even if started now, and those predicted to be late.
    """

    def __init__(self, share_window_seconds=600.0):
        self.share_window_seconds = share_window_seconds
        self.fleet = Fleet()
        self.teams = {}
        self.jobs = {}
        self.shapes = {}
        self.running = {}
        self.by_worker = {}
        self.late = set()
        self.predicted_late = set()
        self.ledger = ShareLedger()
        self._keys = {}
        self._shape_queues = {}
        self._shared_at = float("-inf")

    def put_team(self, snapshot):
        """Take a team's values; use and waiting work of a remote team as well."""
        state = self.teams.get(snapshot.team)
        if state is None or (state.is_remote and not snapshot.is_remote):
            state = self.teams[snapshot.team] = TeamState(snapshot)
        else:
            state.update(snapshot)

    def remove_team(self, team):
        """Forget a team without work."""
        self.teams.pop(team, None)

    def put_job(self, job):
        """Take a job's waiting tasks; one without any is forgotten."""
        if not job.indices:
            self.remove_job(job.job)
            return
        key = make_shape_key(job)
        shape_queue = self._shape_queues.get(job.job)
        if shape_queue is None or shape_queue.shape.key != key:
            self.remove_job(job.job)
            shape_queue = self._ensure_shape_queue(job.spec.team, key)
            self._shape_queues[job.job] = shape_queue
        before = self.jobs.get(job.job)
        if before is None:
            self.teams[job.spec.team].deadline_jobs += bool(job.deadline_at)
        if before is None or before.median_seconds != job.median_seconds:
            self.late.discard(job.job)
        self.jobs[job.job] = job
        self._put_key(job, shape_queue)

    def remove_job(self, job):
        """Forget a job's waiting tasks."""
        waiting = self.jobs.pop(job, None)
        if waiting is None:
            return
        team = self.teams[waiting.spec.team]
        team.deadline_jobs -= bool(waiting.deadline_at)
        self.late.discard(job)
        self.predicted_late.discard(job)
        self._keys.pop(job)
        shape_queue = self._shape_queues.pop(job)
        shape_queue.remove(job)
        if len(shape_queue):
            return
        del team.shape_queues[shape_queue.shape.key]
        shape_queue.shape.teams.discard(team.team)
        if not shape_queue.shape.teams:
            del self.shapes[shape_queue.shape.key]

    def put_running(self, job, tasks):
        """Take all tasks of a job that hold capacity."""
        for task in self.running.pop(job, {}).values():
            del self.by_worker[task.worker][task.key]
            self.teams[task.team].adjust_use(
                task.amounts, -1, self.fleet.cell_capacity_list
            )
        if tasks:
            self.running[job] = {task.index: task for task in tasks}
        for task in tasks:
            self.by_worker.setdefault(task.worker, {})[task.key] = task
            self.teams[task.team].adjust_use(
                task.amounts, 1, self.fleet.cell_capacity_list
            )

    def add_running(self, task):
        """Take one more task that holds capacity."""
        self.running.setdefault(task.job, {})[task.index] = task
        self.by_worker.setdefault(task.worker, {})[task.key] = task
        self.teams[task.team].adjust_use(task.amounts, 1, self.fleet.cell_capacity_list)

    def take_tasks(self, job, count):
        """Take the first waiting tasks of a job; return their indices."""
        waiting = self.jobs[job]
        taken = waiting.indices[:count]
        waiting.indices = waiting.indices[count:]
        if waiting.indices:
            self._put_key(waiting, self._shape_queues[job])
        else:
            self.remove_job(job)
        return taken

    def mark_late(self, job):
        """Let a late job give way to those that can be in time.

        Declared run times are often far off, so they alone hold no job back.
        """
        self.late.add(job)
        self._put_key(self.jobs[job], self._shape_queues[job])

    def get_key(self, job):
        """Return the `OrderKey` of a waiting job."""
        return self._keys[job]

    def get_shape_queue(self, job):
        """Return the lane of a waiting job."""
        return self._shape_queues[job]

    def list_rows(self, job):
        """Return the rows that hold tasks of a job, ordered."""
        rows = self.fleet.rows
        tasks = self.running.get(job, {}).values()
        return sorted(rows[task.worker] for task in tasks if task.worker in rows)

    def count_waves(self, job):
        """Return the runs one after the other that the waiting tasks need."""
        fair_share = self.teams[job.spec.team].fair_share
        if len(job.indices) == 1:
            return 1.0
        if not fair_share or not self.fleet.names:
            return 1.0
        need = Amounts.of(job.spec.template.resources)
        share = float((np.array(need) / self.fleet.cell_capacity).max())
        at_once = max(1.0, fair_share / share) if share else float(len(job.indices))
        return max(1.0, len(job.indices) / at_once)

    def update_shares(self, now):
        """Account for shares, about once a second."""
        if now - self._shared_at < SHARE_UPDATE_SECONDS:
            return
        self._shared_at = now
        teams = {
            name: (team.weight, team.used, team.sum_waiting())
            for name, team in self.teams.items()
        }
        window = self.share_window_seconds
        self.ledger.advance(now, window, teams, self.fleet.cell_capacity)
        for name, team in self.teams.items():
            team.deficit = self.ledger.deficits[name]
            team.fair_share = self.ledger.fair_shares[name]
            team.update_dominant_share(self.fleet.cell_capacity_list)

    def _put_key(self, job, shape_queue):
        waves = self.count_waves(job)
        is_deprioritized = job.has_run_history and job.job in self.late
        key = make_order_key(job, waves, is_deprioritized)
        self._keys[job.job] = key
        shape_queue.put(key, len(job.indices))

    def _ensure_shape_queue(self, team, key):
        shape_queues = self.teams[team].shape_queues
        if key not in shape_queues:
            shape = self.shapes.get(key)
            if shape is None:
                shape = self.shapes[key] = Shape(key)
            shape.teams.add(team)
            shape_queues[key] = ShapeQueue(shape)
        return shape_queues[key]
