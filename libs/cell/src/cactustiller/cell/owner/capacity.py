"""Free capacity of the workers, and the usage that counts against team limits.

A worker may continue its runs only while it holds a lease, which each call of the owner
renews. Once the lease has certainly expired, the runs have ended.
"""

from itertools import islice

from cactustiller.model import Amounts

from ..decisions.zones import ZoneEvacuations
from ..records.crashes import (
    charge_crash,
    describe_crash,
    find_charges_to_give_up,
    is_crash,
)
from ..records.desired import DesiredState, Team
from ..records.runs import RunPhase
from ..records.workers import CLOCK_DRIFT, Worker, WorkerInfo, WorkerLoss
from ..reporting.events import Event, log_event

# Maximum time for which an owner that cannot reach the store keeps renewing leases.
MAX_OWNER_SECONDS_WITHOUT_STORE = 10.0
# Lease granted by each call to a worker. It outlasts a takeover by a new owner (about
# 3 s) and is short enough that the tasks of a lost worker can run elsewhere within
# their objectives.
LEASE_SECONDS = 6.0
# Suspects named in the log line of a crash.
MAX_LOGGED_TASKS = 10
# Time after which every lease of a previous owner has expired, clock drift included.
PREVIOUS_OWNER_LEASE_SECONDS = MAX_OWNER_SECONDS_WITHOUT_STORE + LEASE_SECONDS * (
    1 + 2 * CLOCK_DRIFT
)


class CapacityTracker:
    """Tracks the capacity used on workers and by teams.

    A run is counted from its placement until its worker has reported its end, has
    restarted, or has certainly lost its lease.

    Parameters
    ----------
    clock : callable
        Returns the monotonic time of the event loop in seconds.
    """

    def __init__(self, clock):
        self.jobs = {}
        self.workers = {}
        self.desired = DesiredState()
        self._clock = clock
        self._used = {}
        self._runs_of_unknown_workers = {}
        self._evacuations = ZoneEvacuations()
        # Tasks that may have crashed their workers; includes some that are cleared.
        self._suspects = set()
        self._chance_crash_at = float("-inf")

    def update_workers(self, infos):
        """Apply the list of workers: add, update and remove workers.

        A worker that is no longer listed is removed once it is unreachable and has no
        runs.

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
                self._apply_entry(worker)
            elif info is not worker.info:
                previous = worker.info
                self._update_info(worker, info)
                self._apply_entry(worker, previous.cold_ms)
            worker.is_listed = True
        for worker_id, worker in list(self.workers.items()):
            if worker_id in infos:
                continue
            worker.is_listed = False
            if not (worker.runs or worker.orphaned_runs or worker.is_reachable):
                del self.workers[worker_id]

    def find_rules(self, job):
        """Return the current rules of a job's queue.

        If the queue no longer exists, these are its rules at the job's acceptance.
        """
        queue = self.desired.queues.get(job.spec.queue)
        return queue.rules if queue else job.spec.rules

    def apply_desired(self, desired):
        """Apply a desired state if its version is newer."""
        if desired.version > self.desired.version:
            self.desired = desired

    def evacuate_zones(self, zones):
        """Place no new tasks on the workers of the given zones, a frozenset of str."""
        self._evacuations.apply(zones, self.workers.values())

    def _apply_entry(self, worker, previous_cold_ms=0):
        """Apply what a new entry says of a worker's zone and of its start."""
        self._evacuations.mark(worker)
        # Entries are decoded anew whenever one of the list changes.
        if worker.info.cold_ms != previous_cold_ms:
            worker.cold_until = self._clock() + worker.info.cold_ms / 1000

    def _update_info(self, worker, info):
        """Apply a changed list entry; a newer start time means a restart."""
        previous = worker.info
        for index, name in enumerate(("free_cpu", "free_memory", "free_accelerators")):
            change = info.capacity[index] - previous.capacity[index]
            setattr(worker, name, getattr(worker, name) + change)
        if info.is_draining and not previous.is_draining:
            worker.draining_since = self._clock()
        worker.info = info
        if info.born_ms and worker.born_ms and info.born_ms > worker.born_ms:
            self._end_incarnation(worker, info.born_ms, "entry")

    def _adopt_runs(self, worker):
        """Count the stored runs of a worker that was unknown when they were loaded."""
        for task in self._runs_of_unknown_workers.pop(worker.info.worker, ()):
            if task.holds_capacity and task.worker == worker.info.worker:
                self._add_run(worker, task)
        if worker.runs:
            worker.lease_ends_at = self._clock() + PREVIOUS_OWNER_LEASE_SECONDS

    def add_unlisted_workers(self):
        """Add the workers that have stored runs but are no longer listed.

        They have no address and no capacity; they hold the runs until their leases
        expire.
        """
        for worker_id in list(self._runs_of_unknown_workers):
            info = WorkerInfo(worker_id, "", "", "", Amounts())
            worker = Worker(info, is_listed=False)
            self.workers[worker_id] = worker
            self._adopt_runs(worker)

    def expire_leases(self):
        """Release the runs of workers whose leases have certainly expired.

        Their tasks become pending again.
        """
        now = self._clock()
        for worker in self.workers.values():
            if worker.is_reachable or not (worker.runs or worker.orphaned_runs):
                continue
            # Nothing else shows that the runs have ended: behind a cut, connections can
            # be refused and the entry can expire, too.
            lease_ends_at = worker.find_lease_end()
            if now > lease_ends_at:
                loss = _classify_silence(worker)
                log_event(
                    Event.LEASE_EXPIRED,
                    worker=worker.info.worker,
                    loss=loss.value,
                    runs=len(worker.runs),
                    late_seconds=round(now - lease_ends_at, 3),
                    silent_seconds=worker.measure_silence(now),
                )
                self._drop_all_runs(worker, loss)

    def _drop_all_runs(self, worker, loss, kept=()):
        """Release all runs of a worker but `kept`; make their tasks pending again."""
        for key in list(worker.orphaned_runs):
            self._drop_orphaned_run(worker, key)
        self._drop_runs(worker, list(worker.runs.values()), loss, kept)

    def _drop_runs(self, worker, runs, loss, kept=()):
        """Release some runs of a worker and make their tasks pending again.

        `runs` and `kept` are pairs of a task and a run number. A crash is charged to
        the runs that are kept, too.
        """
        now = self._clock()
        lost = [
            task
            for task, run in runs
            if task.run == run and task.phase is not RunPhase.SUCCEEDED
        ]
        failed_jobs = self._charge_loss(worker, lost, loss)
        for task, run in runs:
            if (task, run) in kept:
                continue
            self._remove_run(worker, task)
            if task.run == run and task.phase is not RunPhase.SUCCEEDED:
                log_event(
                    Event.RUN_LOST,
                    job=task.step.job.spec.job,
                    task=task.name,
                    run=run,
                    worker=worker.info.worker,
                    loss=loss.value,
                    silent_seconds=worker.measure_silence(now),
                    seconds=round(now - task.started_at, 3)
                    if task.started_at
                    else None,
                )
                self._requeue(task)
        for job in failed_jobs:
            self._give_up(job)

    def _charge_loss(self, worker, tasks, loss):
        """Charge a crash of a worker to the tasks; return the jobs to give up."""
        if not is_crash(worker, loss):
            return []
        now = self._clock()
        needed = find_charges_to_give_up(self._chance_crash_at, now)
        report = charge_crash(worker, tasks, needed)
        # Of a worker that never answered, nobody knows what was started there.
        if worker.alive_at and report.is_chance:
            self._chance_crash_at = now
        if not tasks:
            return []
        self._suspects.update(report.suspects)
        log_event(
            Event.WORKER_CRASHED,
            worker=worker.info.worker,
            loss=loss.value,
            runs=len(tasks),
            suspects={
                task.name: round(worker.broke_at - task.start_sent_at, 3)
                for task in report.suspects[:MAX_LOGGED_TASKS]
            },
            culprit=report.culprit.name if report.culprit else None,
            charges=max((task.charges for task in report.suspects), default=0),
            needed_charges=needed,
            spared={
                task.name: doubt.value
                for task, doubt in islice(report.doubts.items(), MAX_LOGGED_TASKS)
            },
            **describe_crash(worker, loss, now),
        )
        return report.failed_jobs

    def _give_up(self, job):
        """Fail a job with a task that crashes its workers."""
        raise NotImplementedError

    def _end_incarnation(self, worker, born_ms, evidence):
        """Handle a worker's restart, which ended the runs of its former process."""
        raise NotImplementedError

    def _find_isolated_workers(self):
        """Return the ids of the workers on which a suspect is on probation.

        One that cannot be reached gets no runs anyway, and would take the place of one
        for another suspect.
        """
        self._suspects = {
            task
            for task in self._suspects
            if task in task.step.suspects and not task.step.job.state.is_final
        }
        isolated = {task.worker for task in self._suspects if task.is_isolated}
        workers = self.workers
        return {w for w in isolated if w in workers and workers[w].is_reachable}

    def _restore_run(self, task):
        """Count a run that a previous owner stored, for its worker and team."""
        worker = self.workers.get(task.worker)
        if worker is not None:
            self._add_run(worker, task)
        else:
            self._runs_of_unknown_workers.setdefault(task.worker, []).append(task)
        self._add_team_usage(task.step.job.spec.team, task.step.spec.amounts)

    def _add_run(self, worker, task):
        """Count a run against its worker's capacity, but not its team's limit."""
        worker.runs[task.name] = (task, task.run)
        worker.take_capacity(task.step.spec.counted)

    def _remove_run(self, worker, task):
        """Release the worker capacity and team usage of a run, if still counted."""
        if worker.runs.pop(task.name, None) is not None:
            worker.release_capacity(task.step.spec.counted)
            self._add_team_usage(task.step.job.spec.team, task.step.spec.amounts, -1)

    def _add_team_usage(self, team, amounts, sign=1):
        used = self._used.get(team, Amounts())
        self._used[team] = used.plus(amounts, sign)

    def _count_team_fits(self, team, amounts, max_count):
        """Return how many tasks fit under a team's limit, at most `max_count`."""
        limit = self.desired.teams.get(team, Team(team)).limit
        used = self._used.get(team, Amounts())
        for needed, allowed, in_use in zip(amounts, limit, used, strict=True):
            if needed and allowed:
                max_count = min(max_count, (allowed - in_use) // needed)
        return max(0, max_count)

    def _update_orphaned_runs(self, worker, active):
        """Update the orphaned runs of a worker, which match no current placement.

        They belong to jobs that have ended, or were started by a delayed call. They use
        capacity until they end.
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
        """Return a task's team, the amounts counted on its worker, and its amounts."""
        job, _, rest = name.partition(".")
        known_job = self.jobs.get(job)
        try:
            step = known_job.spec.steps[int(rest.split(".")[1])]
            return known_job.spec.team, step.counted, step.amounts
        except (AttributeError, IndexError, ValueError):
            # A run of an unknown job may use the whole capacity of the worker.
            return "", worker.info.capacity, Amounts()

    def _requeue(self, task):
        """Make a task pending again after its run has certainly ended."""
        raise NotImplementedError


def _classify_silence(worker):
    """Return the loss of a worker that has not answered for as long as its lease."""
    if worker.refuses_connections and not worker.is_listed:
        return WorkerLoss.LEFT if worker.info.is_draining else WorkerLoss.GONE
    if worker.refuses_connections or not worker.is_listed:
        return WorkerLoss.GONE
    return WorkerLoss.SILENT
