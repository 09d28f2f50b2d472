"""Workers, the runs that may be on them, and what teams use."""

from cactustiller.model import Amounts

from .desired import Team
from .events import Event, log_event
from .runs import RunPhase
from .workers import CLOCK_DRIFT, Worker, WorkerInfo

# Longest time without the store for which a former owner may go on renewing leases.
MAX_OWNER_SECONDS_WITHOUT_STORE = 10.0
# Lease that each call to a worker grants: outlasts a takeover (about 3 s) and is
# short enough that work of a lost worker is run again within its objective.
LEASE_SECONDS = 6.0
PREVIOUS_OWNER_LEASE_SECONDS = MAX_OWNER_SECONDS_WITHOUT_STORE + LEASE_SECONDS * (
    1 + 2 * CLOCK_DRIFT
)


class CapacityTracker:
    """Room of the workers and of the teams' limits.

    A run counts from its placement until its worker lists its end, starts a new life,
    or surely has no lease any more.

    Parameters
    ----------
    clock : callable
        Seconds of the loop.
    """

    def __init__(self, clock):
        self.jobs = {}
        self.workers = {}
        self._clock = clock
        self._used = {}
        self._runs_of_unknown_workers = {}

    def update_workers(self, infos):
        """Take the list of workers.

        Parameters
        ----------
        infos : dict of WorkerId to WorkerInfo
        """
        for worker_id, info in infos.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = Worker(info, draining_since=self._clock())
                self.workers[worker_id] = worker
                self._adopt_runs(worker)
            else:
                self._update_info(worker, info)
            worker.is_listed = True
        for worker_id, worker in list(self.workers.items()):
            if worker_id in infos:
                continue
            worker.is_listed = False
            if not (worker.runs or worker.orphaned_runs or worker.is_reachable):
                del self.workers[worker_id]

    def _update_info(self, worker, info):
        previous = worker.info
        for index, name in enumerate(("free_cpu", "free_memory", "free_accelerators")):
            change = info.capacity[index] - previous.capacity[index]
            setattr(worker, name, getattr(worker, name) + change)
        if info.is_draining and not previous.is_draining:
            worker.draining_since = self._clock()
        worker.info = info
        if info.born_ms and worker.born_ms and info.born_ms > worker.born_ms:
            self._end_incarnation(worker, info.born_ms)

    def _adopt_runs(self, worker):
        """Count the runs that were stored for a worker before it was known."""
        for task in self._runs_of_unknown_workers.pop(worker.info.worker, ()):
            if task.holds_capacity and task.worker == worker.info.worker:
                self._add_run(worker, task)
        if worker.runs:
            worker.lease_ends_at = self._clock() + PREVIOUS_OWNER_LEASE_SECONDS

    def add_unlisted_workers(self):
        """Keep a place for workers that have runs but are not listed any more."""
        for worker_id in list(self._runs_of_unknown_workers):
            info = WorkerInfo(worker_id, "", "", "", Amounts())
            worker = Worker(info, is_listed=False)
            self.workers[worker_id] = worker
            self._adopt_runs(worker)

    def expire_leases(self):
        """Give up the runs of workers whose leases have surely lapsed."""
        now = self._clock()
        for worker in self.workers.values():
            if worker.is_reachable or not (worker.runs or worker.orphaned_runs):
                continue
            # A worker that announced its leave, is off the list and has no listener
            # has left, and what ran there ended with it.
            has_left = (
                worker.info.is_draining
                and not worker.is_listed
                and worker.refuses_connections
            )
            if has_left or now > worker.lease_ends_at:
                log_event(
                    Event.LEASE_EXPIRED,
                    worker=worker.info.worker,
                    runs=len(worker.runs),
                    late_seconds=round(now - worker.lease_ends_at, 3),
                )
                self._drop_all_runs(worker)

    def _drop_all_runs(self, worker):
        for key in list(worker.orphaned_runs):
            self._drop_orphaned_run(worker, key)
        for task, run in list(worker.runs.values()):
            self._release_capacity(worker, task)
            if task.run == run and task.phase is not RunPhase.SUCCEEDED:
                self._requeue(task)

    def _end_incarnation(self, worker, born_ms):
        log_event(
            Event.WORKER_RESTARTED,
            worker=worker.info.worker,
            born_ms=born_ms,
            runs=len(worker.runs),
        )
        worker.born_ms = born_ms
        worker.reset_incarnation()
        self._drop_all_runs(worker)

    def _restore_run(self, task):
        """Count a run that was stored before this term."""
        worker = self.workers.get(task.worker)
        if worker is not None:
            self._add_run(worker, task)
        else:
            self._runs_of_unknown_workers.setdefault(task.worker, []).append(task)
        self._add_team_usage(task.step.job.spec.team, task.step.spec.amounts)

    def _add_run(self, worker, task):
        worker.runs[task.name] = (task, task.run)
        worker.take_capacity(task.step.spec.counted)

    def _release_capacity(self, worker, task):
        if worker.runs.pop(task.name, None) is not None:
            worker.release_capacity(task.step.spec.counted)
            self._add_team_usage(task.step.job.spec.team, task.step.spec.amounts, -1)

    def _add_team_usage(self, team, amounts, sign=1):
        used = self._used.get(team, Amounts())
        self._used[team] = used.plus(amounts, sign)

    def _count_team_fits(self, team, amounts, max_count):
        limit = self.desired.teams.get(team, Team(team)).limit
        used = self._used.get(team, Amounts())
        for needed, allowed, taken in zip(amounts, limit, used, strict=True):
            if needed and allowed:
                max_count = min(max_count, (allowed - taken) // needed)
        return max(0, max_count)

    def _update_orphaned_runs(self, worker, active):
        """Count the runs on a worker that nobody asks for, until they are gone.

        They are left from jobs that are over, or were started late.
        """
        listed = set()
        for run in active:
            tracked = worker.runs.get(run.task)
            if tracked is None or tracked[1] != run.run:
                listed.add((run.task, run.run))
        for key in worker.orphaned_runs.keys() - listed:
            self._drop_orphaned_run(worker, key)
        for key in listed - worker.orphaned_runs.keys():
            team, counted, amounts = self._find_task_amounts(worker, key[0])
            worker.orphaned_runs[key] = (team, counted, amounts)
            worker.take_capacity(counted)
            self._add_team_usage(team, amounts)

    def _drop_orphaned_run(self, worker, key):
        team, counted, amounts = worker.orphaned_runs.pop(key)
        worker.release_capacity(counted)
        self._add_team_usage(team, amounts, -1)

    def _find_task_amounts(self, worker, name):
        """Return the team of a task, the room that it takes and its amounts."""
        job, _, rest = name.partition(".")
        known = self.jobs.get(job)
        try:
            step = known.spec.steps[int(rest.split(".")[1])]
            return known.spec.team, step.counted, step.amounts
        except (AttributeError, IndexError, ValueError):
            # A run of no known job may need all that the worker has.
            return "", worker.info.capacity, Amounts()

    def _requeue(self, task):
        """Let a task wait again whose run has surely ended."""
        raise NotImplementedError
