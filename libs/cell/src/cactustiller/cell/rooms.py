"""Workers, the runs that may be on them, and what teams use."""

from cactustiller.model import Amounts

from .desired import Team
from .events import Event, log_event
from .runs import RunPhase
from .workers import CLOCK_DRIFT, Worker, WorkerInfo

# Longest time without the store for which a former owner may go on renewing leases.
OWNER_WITHOUT_STORE_SECONDS = 10.0
# Lease that each call to a worker grants: outlasts a takeover (about 3 s) and is
# short enough that work of a lost worker is run again within its objective.
LEASE_SECONDS = 6.0
FORMER_LEASE_SECONDS = OWNER_WITHOUT_STORE_SECONDS + LEASE_SECONDS * (
    1 + 2 * CLOCK_DRIFT
)


class Rooms:
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
        self._homeless = {}

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
                self._adopt_holdings(worker)
            else:
                self._replace_info(worker, info)
            worker.is_listed = True
        for worker_id, worker in list(self.workers.items()):
            if worker_id in infos:
                continue
            worker.is_listed = False
            if not (worker.runs or worker.strays or worker.is_reachable):
                del self.workers[worker_id]

    def _replace_info(self, worker, info):
        before = worker.info
        for index, name in enumerate(("free_cpu", "free_memory", "free_accelerators")):
            change = info.capacity[index] - before.capacity[index]
            setattr(worker, name, getattr(worker, name) + change)
        if info.is_draining and not before.is_draining:
            worker.draining_since = self._clock()
        worker.info = info
        if info.born_ms and worker.born_ms and info.born_ms > worker.born_ms:
            self._end_life(worker, info.born_ms)

    def _adopt_holdings(self, worker):
        """Count the runs that were stored for a worker before it was known."""
        for task in self._homeless.pop(worker.info.worker, ()):
            if task.holds_room and task.worker == worker.info.worker:
                self._count_on(worker, task)
        if worker.runs:
            worker.lease_ends_at = self._clock() + FORMER_LEASE_SECONDS

    def adopt_missing_workers(self):
        """Keep a place for workers that have runs but are not listed any more."""
        for worker_id in list(self._homeless):
            info = WorkerInfo(worker_id, "", "", "", Amounts())
            worker = Worker(info, is_listed=False)
            self.workers[worker_id] = worker
            self._adopt_holdings(worker)

    def expire_leases(self):
        """Give up the runs of workers whose leases have surely lapsed."""
        now = self._clock()
        for worker in self.workers.values():
            if worker.is_reachable or not (worker.runs or worker.strays):
                continue
            # A worker that announced its leave, is off the list and has no listener
            # has left, and what ran there ended with it.
            has_left = (
                worker.info.is_draining and not worker.is_listed and worker.is_refusing
            )
            if has_left or now > worker.lease_ends_at:
                log_event(
                    Event.LEASE_EXPIRED,
                    worker=worker.info.worker,
                    runs=len(worker.runs),
                    late_seconds=round(now - worker.lease_ends_at, 3),
                )
                self._lose_runs(worker)

    def _lose_runs(self, worker):
        for key in list(worker.strays):
            self._drop_stray(worker, key)
        for task, run in list(worker.runs.values()):
            self._release(worker, task)
            if task.run == run and task.phase is not RunPhase.SUCCEEDED:
                self._requeue(task)

    def _end_life(self, worker, born_ms):
        log_event(
            Event.WORKER_RESTARTED,
            worker=worker.info.worker,
            born_ms=born_ms,
            runs=len(worker.runs),
        )
        worker.born_ms = born_ms
        worker.forget_life()
        self._lose_runs(worker)

    def _hold(self, task):
        """Count a run that was stored before this term."""
        worker = self.workers.get(task.worker)
        if worker is not None:
            self._count_on(worker, task)
        else:
            self._homeless.setdefault(task.worker, []).append(task)
        self._take_for_team(task.step.job.spec.team, task.step.spec.amounts)

    def _count_on(self, worker, task):
        worker.runs[task.name] = (task, task.run)
        worker.take(task.step.spec.counted)

    def _release(self, worker, task):
        if worker.runs.pop(task.name, None) is not None:
            worker.give_back(task.step.spec.counted)
            self._take_for_team(task.step.job.spec.team, task.step.spec.amounts, -1)

    def _take_for_team(self, team, amounts, sign=1):
        used = self._used.get(team, Amounts())
        self._used[team] = used.plus(amounts, sign)

    def _find_team_room(self, team, amounts, most):
        limit = self.desired.teams.get(team, Team(team)).limit
        used = self._used.get(team, Amounts())
        for needed, allowed, taken in zip(amounts, limit, used, strict=True):
            if needed and allowed:
                most = min(most, (allowed - taken) // needed)
        return max(0, most)

    def _count_strays(self, worker, active):
        """Count the runs on a worker that nobody asks for, until they are gone.

        They are left from jobs that are over, or were started late.
        """
        listed = set()
        for run in active:
            held = worker.runs.get(run.task)
            if held is None or held[1] != run.run:
                listed.add((run.task, run.run))
        for key in worker.strays.keys() - listed:
            self._drop_stray(worker, key)
        for key in listed - worker.strays.keys():
            team, counted, amounts = self._find_amounts(worker, key[0])
            worker.strays[key] = (team, counted, amounts)
            worker.take(counted)
            self._take_for_team(team, amounts)

    def _drop_stray(self, worker, key):
        team, counted, amounts = worker.strays.pop(key)
        worker.give_back(counted)
        self._take_for_team(team, amounts, -1)

    def _find_amounts(self, worker, name):
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
