"""Builders of workers, jobs, teams and planners for the tests of the policy."""

from math import inf

from cactustiller.model import JobSpec, Resources, TaskTemplate, Urgency, WorkloadKind
from cactustiller.policy import (
    Amounts,
    Planner,
    RunningTask,
    TeamSnapshot,
    WaitingJob,
    WorkerSnapshot,
)

NOW = 10_000.0


def make_resources(cpu=1000, memory=1024, accelerators=0):
    return Resources(cpu_millis=cpu, memory_mib=memory, accelerators=accelerators)


def make_worker(name="w-0", cpu=8000, memory=16_384, free=None, **changes):
    total = make_resources(cpu, memory, changes.pop("accelerators", 0))
    fields = {
        "worker": name,
        "shard": "shard-1",
        "zone": "a",
        "rack": "r1",
        "make": "amd",
        "attributes": {"make": "amd"},
        "total": total,
        "free": total if free is None else free,
    }
    return WorkerSnapshot(**(fields | changes))


def make_job(name="j-0", team="t-0", tasks=1, **changes):
    spec = JobSpec(
        name=changes.pop("program", "build"),
        team=team,
        queue="q",
        kind=changes.pop("kind", WorkloadKind.BATCH),
        urgency=changes.pop("urgency", Urgency.NORMAL),
        task_count=max(1, tasks),
        template=TaskTemplate(
            resources=changes.pop("resources", make_resources()),
            required=changes.pop("required", {}),
            preferred=changes.pop("preferred", {}),
        ),
    )
    fields = {
        "submitted_at": NOW,
        "p90_seconds": 60.0,
        "median_seconds": 60.0,
    }
    return WaitingJob(name, spec, tuple(range(tasks)), **(fields | changes))


def make_running(name="r-0", team="t-0", worker="w-0", index=0, **changes):
    fields = {
        "attempt": 1,
        "shard": "shard-1",
        "amounts": Amounts(1000, 1024, 0),
        "urgency": Urgency.NORMAL,
        "is_preemptible": True,
        "started_at": NOW,
        "expected_end": inf,
    }
    return RunningTask(
        job=name, index=index, team=team, worker=worker, **(fields | changes)
    )


def make_planner(workers=(), jobs=(), teams=(), running=()):
    """Return a planner; teams that are not given have default values."""
    planner = Planner()
    names = {job.spec.team for job in jobs} | {task.team for task in running}
    names -= {team.team for team in teams}
    for team in (*teams, *(TeamSnapshot(name) for name in sorted(names))):
        planner.state.put_team(team)
    for worker in workers:
        planner.state.fleet.put_worker(worker)
    planner.state.fleet.refresh()
    by_job = {}
    for task in running:
        by_job.setdefault(task.job, []).append(task)
    for job, tasks in by_job.items():
        planner.state.put_running(job, tasks)
    for job in jobs:
        planner.state.put_job(job)
    return planner


def list_placed(plan):
    return [(item.job, item.index, item.worker) for item in plan.placements]
