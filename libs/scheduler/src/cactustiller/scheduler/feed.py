"""Feed of changes from homes, workers and peers to the planner."""

from math import inf

import structlog

from cactustiller.model import (
    JobState,
    Resources,
    RunState,
    Urgency,
    WorkloadKind,
)
from cactustiller.policy import (
    MEDIAN_QUANTILE,
    Amounts,
    Health,
    Planner,
    RunningTask,
    TeamSnapshot,
    WaitingJob,
    WorkerHealth,
    find_infeasible_reason,
    get_policy,
)
from cactustiller.settings import ResolvedValues

from .digests import UsageDigests
from .views import UNUSABLE

SETTINGS_REFRESH_SECONDS = 0.5
DEFAULT_VALUES = ResolvedValues()
PROBATION_DIVISOR = 8
MAX_AVOIDED_WORKERS = 8
REORDER_RATIO = 1.25

log = structlog.get_logger(__name__)


class PlannerFeed:
    """Keeps the state of a planner up to date.

    Parameters
    ----------
    member : Member
    homes : dict of PartitionId to Home
    view : CellView
    clock : WallClock
    find_values : callable
        Returns the `ResolvedValues` of a team and queue, None if unknown.
    """

    def __init__(self, member, homes, view, clock, find_values):
        self.planner = Planner()
        self.health = WorkerHealth()
        self._homes = homes
        self._view = view
        self._clock = clock
        self._find_values = find_values
        self._digests = UsageDigests(
            member, self.planner, clock, self._make_remote_team
        )
        self._tracked_homes = {}
        self._placing_tasks = {}
        self._delayed_jobs = set()
        self._unhealthy_workers = set()
        self._unknown_teams = set()
        self._values_updated_at = -inf

    def update(self):
        """Pass all changes since the last call to the planner."""
        now = self._clock.now()
        self._update_homes()
        for home in self._tracked_homes.values():
            self._process_ended_runs(home, now)
            changed = sorted(home.changed_jobs)
            home.changed_jobs.clear()
            for job in changed:
                self.update_job(home, job)
        for home, job in list(self._delayed_jobs):
            self.update_job(home, job)
        self._update_workers(now)
        if now - self._values_updated_at >= SETTINGS_REFRESH_SECONDS:
            self._values_updated_at = now
            self._update_values()

    def find(self, job):
        """Return the home and the entry of a job, None if it is unknown."""
        for home in self._tracked_homes.values():
            entry = home.jobs.get(job)
            if entry is not None:
                return home, entry
        return None

    def mark_placing(self, home, entry, run, shard):
        """Record a placement that is in progress."""
        self._placing_tasks[(run.job, run.index)] = self._make_running(
            home, entry, run.index, run.attempt, run.worker, shard, self._clock.now()
        )

    def mark_placement_ended(self, home, runs):
        """Record that placements were committed or have failed."""
        for run in runs:
            self._placing_tasks.pop((run.job, run.index), None)
            home.changed_jobs.add(run.job)

    def find_infeasible_reason(self, spec):
        """Return why no listed worker could ever run a job, or an empty string."""
        values = self._find_values(spec.team, spec.queue) or DEFAULT_VALUES
        job = WaitingJob(
            job="",
            spec=spec,
            indices=tuple(range(spec.task_count)),
            submitted_at=0.0,
            spread=values.spread,
            colocate=values.colocate,
        )
        self._update_workers(self._clock.now())
        return find_infeasible_reason(job, self.planner.state.fleet)

    def receive_usage(self, message):
        """Process the `PublishUsage` of a peer."""
        self._digests.receive(message, self._list_local_teams())

    def list_usage(self, is_full, members):
        """Return the `PublishUsage` of this member, None if nothing changed."""
        return self._digests.make(is_full, members, self._list_local_teams())

    def update_job(self, home, job):
        """Pass a job's pending and running tasks to the planner."""
        state = self.planner.state
        entry = home.jobs.get(job)
        self._delayed_jobs.discard((home, job))
        if entry is None or (entry.record.state.is_final and entry.is_over):
            state.remove_job(job)
            state.put_running(job, [])
            return
        spec = entry.record.spec
        now = self._clock.now()
        found = self._find_values(spec.team, spec.queue)
        values = found or DEFAULT_VALUES
        is_known = spec.team in state.teams and spec.team not in self._unknown_teams
        if not is_known or state.teams[spec.team].is_remote:
            state.put_team(_make_team(spec.team, values))
        state.put_running(job, self._list_running(home, entry, values))
        if found is None:
            # Tasks of a team may not be placed while its limits are unknown.
            self._unknown_teams.add(spec.team)
            self._delayed_jobs.add((home, job))
            state.remove_job(job)
            return
        self._unknown_teams.discard(spec.team)
        if entry.record.state is JobState.CANCELLED:
            state.remove_job(job)
            return
        ready = entry.list_eligible(now)
        if len(ready) < len(entry.waiting):
            self._delayed_jobs.add((home, job))
        state.put_job(_make_waiting(home, entry, ready, values))
        if job not in state.predicted_late and job not in self.planner.parked:
            entry.notice = ""

    def _update_homes(self):
        recovered = {h.home: h for h in self._homes.values() if h.is_recovered}
        for name, home in list(self._tracked_homes.items()):
            if recovered.get(name) is not home:
                self._remove_home(home)
                del self._tracked_homes[name]
        for name, home in recovered.items():
            if name not in self._tracked_homes:
                self._tracked_homes[name] = home
                home.changed_jobs.update(home.jobs)

    def _remove_home(self, home):
        state = self.planner.state
        self._delayed_jobs = {
            pair for pair in self._delayed_jobs if pair[0] is not home
        }
        for job in home.jobs:
            state.remove_job(job)
            state.put_running(job, [])
        for team in {entry.record.spec.team for entry in home.jobs.values()}:
            state.remove_team(team)

    def _list_running(self, home, entry, values):
        tasks = [
            self._make_running(
                home,
                entry,
                task.index,
                task.attempt,
                task.worker,
                task.shard,
                task.changed_at,
                values,
            )
            for task in entry.list_active()
        ]
        for index in entry.placing:
            tasks.append(self._placing_tasks[(entry.job, index)])
        return tasks

    def _make_running(
        self, home, entry, index, attempt, worker, shard, started_at, values=None
    ):
        spec = entry.record.spec
        is_preemptible = False
        if values is not None and get_policy(spec.kind).is_preemptible:
            task = entry.tasks.get(index)
            stops = task.preemptions if task else 0
            is_preemptible = values.preemptible and stops < values.max_preemptions
        is_service = spec.kind is WorkloadKind.SERVICE
        runs_for = inf if is_service else home.run_times.predict(spec)
        return RunningTask(
            job=entry.job,
            index=index,
            attempt=attempt,
            team=spec.team,
            worker=worker,
            shard=shard,
            amounts=Amounts.of(spec.template.resources),
            urgency=spec.urgency,
            is_preemptible=is_preemptible and spec.urgency is not Urgency.URGENT,
            started_at=started_at,
            expected_end=started_at + runs_for,
        )

    def _update_workers(self, now):
        state = self.planner.state
        changed, self._view.changed = self._view.changed, set()
        for worker in changed | self._unhealthy_workers:
            snapshot = self._view.find_worker(worker)
            if snapshot is None:
                state.fleet.remove_worker(worker)
                self._unhealthy_workers.discard(worker)
                continue
            health = self.health.find_health(worker, now)
            if health is Health.GOOD:
                self._unhealthy_workers.discard(worker)
            elif health is Health.QUARANTINED:
                snapshot.free = UNUSABLE
            else:
                snapshot.free = _limit_free(snapshot)
            state.fleet.put_worker(snapshot)

    def _process_ended_runs(self, home, now):
        """Update run time estimates and worker health from ended runs of a home."""
        ended, home.ended_runs = home.ended_runs, []
        for entry, worker, state in ended:
            spec = entry.record.spec
            if state is RunState.SUCCEEDED:
                self._reorder_waiting(home, spec)
            elif state is not RunState.FAILED:
                continue
            failed = state is RunState.FAILED
            if self.health.record_end(worker, spec, entry.job, failed, now):
                self._report_health_change(worker, now)

    def _report_health_change(self, worker, now):
        health = self.health.find_health(worker, now)
        self._unhealthy_workers.add(worker)
        if health is Health.QUARANTINED:
            evidence = self.health.describe(worker, now)
            log.warning("worker_quarantined", worker=worker, evidence=evidence)
        else:
            log.info("worker_health_changed", worker=worker, health=health.value)

    def _reorder_waiting(self, home, spec):
        """Mark pending jobs as changed if their predicted run time has changed.

        The planner uses the prediction to order pending jobs.
        """
        predicted = home.run_times.predict(spec)
        state = self.planner.state
        team = state.teams.get(spec.team)
        for shape_queue in team.shape_queues.values() if team else ():
            for key in shape_queue:
                job = state.jobs[key.job]
                same = (job.spec.queue, job.spec.name) == (spec.queue, spec.name)
                factor = (predicted + 1.0) / (job.p90_seconds + 1.0)
                if same and not 1 / REORDER_RATIO <= factor <= REORDER_RATIO:
                    home.changed_jobs.add(key.job)

    def _update_values(self):
        """Pass changed settings of all teams to the planner."""
        state = self.planner.state
        for name, team in state.teams.items():
            values = self._find_values(name, "")
            if values is None:
                continue
            state.share_window_seconds = values.share_window_seconds
            if team.is_remote:
                team.weight = values.share_weight
            else:
                state.put_team(_make_team(name, values))

    def _list_local_teams(self):
        return [
            team for team in self.planner.state.teams.values() if not team.is_remote
        ]

    def _make_remote_team(self, usage):
        values = self._find_values(usage.team, "") or DEFAULT_VALUES
        return TeamSnapshot(
            team=usage.team,
            share_weight=values.share_weight,
            used=usage.used,
            waiting=usage.waiting,
            is_remote=True,
        )


def _make_team(team, values):
    return TeamSnapshot(
        team=team,
        share_weight=values.share_weight,
        limit=Resources(
            cpu_millis=values.limit_cpu_millis,
            memory_mib=values.limit_memory_mib,
            accelerators=values.limit_accelerators,
        ),
        limit_tasks=values.limit_tasks,
    )


def _make_waiting(home, entry, ready, values):
    record = entry.record
    spec = record.spec
    is_service = spec.kind is WorkloadKind.SERVICE
    times = home.run_times
    return WaitingJob(
        job=record.job,
        spec=spec,
        indices=ready,
        submitted_at=record.submitted_at,
        deadline_at=record.submitted_at + spec.deadline_seconds
        if spec.deadline_seconds
        else 0.0,
        spread=values.spread,
        colocate=values.colocate,
        ageing_seconds=values.ageing_seconds,
        avoided_workers=frozenset(sorted(entry.failed_on)[:MAX_AVOIDED_WORKERS]),
        p90_seconds=0.0 if is_service else times.predict(spec),
        median_seconds=0.0 if is_service else times.predict(spec, MEDIAN_QUANTILE),
        has_run_history=times.has_history(spec),
    )


def _limit_free(snapshot):
    """Return the free capacity to offer of a worker on probation."""
    part = (amount // PROBATION_DIVISOR for amount in Amounts.of(snapshot.total))
    free = Amounts.of(snapshot.free)
    cpu, memory, accelerators = map(min, free, part)
    return Resources.model_construct(
        cpu_millis=cpu, memory_mib=memory, accelerators=accelerators
    )
