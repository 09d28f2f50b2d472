"""The policy library, fed as the scheduler feeds it."""

from math import inf

from cactustiller.model import RunState, Urgency, WorkloadKind
from cactustiller.policy import (
    MEDIAN_QUANTILE,
    Health,
    Planner,
    RunningTask,
    RunTimes,
    TeamSnapshot,
    WaitingJob,
    WorkerHealth,
    get_policy,
)

MAX_PREEMPTIONS = 3
PROBATION_DIVISOR = 8


class PlannerScheduler:
    """One planner for all teams."""

    name = "cactustiller"

    def __init__(self, workers, weights):
        self._planner = Planner()
        self._state = self._planner.state
        self._workers = {worker.worker: worker for worker in workers}
        self._health = WorkerHealth()
        self._run_times = RunTimes()
        self._unhealthy = set()
        self._jobs = {}
        self.late_seconds = {}
        for worker in workers:
            self._state.fleet.put_worker(worker)
        for team, weight in weights.items():
            self._state.put_team(TeamSnapshot(team, weight))
        self._state.fleet.refresh()

    def put(self, job, now):
        """Take a job whose tasks have changed."""
        self._jobs[job.name] = job
        tasks = [self._make_running(run) for run in job.running.values()]
        self._state.put_running(job.name, tasks)
        spec = job.spec
        is_service = spec.kind is WorkloadKind.SERVICE
        times = self._run_times
        self._state.put_job(
            WaitingJob(
                job=job.name,
                spec=spec,
                indices=tuple(job.waiting),
                submitted_at=job.submitted_at,
                deadline_at=job.deadline_at,
                avoided_workers=frozenset(job.failed_on),
                p90_seconds=0.0 if is_service else times.predict(spec),
                median_seconds=0.0
                if is_service
                else times.predict(spec, MEDIAN_QUANTILE),
                has_run_history=times.has_history(spec),
            )
        )

    def end(self, run, state, now):
        """Take the end of a run."""
        fleet = self._state.fleet
        row = fleet.rows[run.worker]
        free = fleet.free[:, row] + run.job.amounts
        snapshot = self._workers[run.worker]
        snapshot.free = snapshot.free + run.job.spec.template.resources
        fleet.free[:, row] = free
        if state is RunState.SUCCEEDED:
            self._run_times.record(run.job.spec, now - run.started_at)
        elif state is RunState.STOPPED:
            self._run_times.record_stopped(run.job.spec, now - run.started_at)
        if state in (RunState.SUCCEEDED, RunState.FAILED):
            failed = state is RunState.FAILED
            spec, job = run.job.spec, run.job.name
            if self._health.record_end(run.worker, spec, job, failed, now):
                self._unhealthy.add(run.worker)

    def decide(self, now):
        """Return placements as (job, index, worker) and the runs to stop."""
        self._limit_unhealthy(now)
        placed, stopped = [], []
        while True:
            plan = self._planner.plan(now)
            for item in plan.placements:
                job = self._jobs[item.job]
                snapshot = self._workers[item.worker]
                snapshot.free = snapshot.free - job.spec.template.resources
                placed.append((job, item.index, item.worker))
            for item in plan.preemptions:
                job = self._jobs[item.task.job]
                stopped.append(job.running[item.task.index])
            for item in plan.late:
                self.late_seconds.setdefault(item.job, now)
            if not plan.is_truncated:
                return placed, stopped

    def _limit_unhealthy(self, now):
        fleet = self._state.fleet
        for worker in sorted(self._unhealthy):
            row = fleet.rows[worker]
            health = self._health.find_health(worker, now)
            free = self._workers[worker].free
            amounts = [free.cpu_millis, free.memory_mib, free.accelerators]
            if health is Health.QUARANTINED:
                amounts = [-1, -1, -1]
            elif health is Health.PROBATION:
                parts = fleet.total[:, row] // PROBATION_DIVISOR
                amounts = [min(a, int(b)) for a, b in zip(amounts, parts, strict=True)]
            else:
                self._unhealthy.discard(worker)
            fleet.free[:, row] = amounts

    def _make_running(self, run):
        spec = run.job.spec
        is_service = spec.kind is WorkloadKind.SERVICE
        expected_seconds = inf if is_service else self._run_times.predict(spec)
        stops = run.job.preemptions.get(run.index, 0)
        may_stop = get_policy(spec.kind).is_preemptible and stops < MAX_PREEMPTIONS
        return RunningTask(
            job=run.job.name,
            index=run.index,
            attempt=run.attempt,
            team=spec.team,
            worker=run.worker,
            shard="",
            amounts=run.job.amounts,
            urgency=spec.urgency,
            is_preemptible=may_stop and spec.urgency is not Urgency.URGENT,
            started_at=run.started_at,
            expected_end=run.started_at + expected_seconds,
        )
