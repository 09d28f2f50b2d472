"""Urgent jobs on a full cell."""

from cactustiller.model import Urgency
from cactustiller.policy import explain_waiting

from .builders import NOW, make_job, make_planner, make_running, make_worker

FULL = make_worker().free.with_changes(cpu_millis=0)


def make_full(running, urgent=1, **changes):
    jobs = [make_job("urgent", "t-1", urgent, urgency=Urgency.URGENT, **changes)]
    return make_planner([make_worker(free=FULL)], jobs, running=running)


def test_urgent_job_preempts_the_newest_idle_task():
    running = [
        make_running("idle", index=0, urgency=Urgency.IDLE, started_at=NOW - 50),
        make_running("idle", index=1, urgency=Urgency.IDLE, started_at=NOW - 5),
        make_running("normal", index=0, started_at=NOW),
    ]
    planner = make_full(running)
    plan = planner.plan(NOW)
    assert [item.task.key for item in plan.preemptions] == [("idle", 1)]
    assert "stopped" in explain_waiting(planner, "urgent", NOW)[0]
    assert not planner.plan(NOW + 0.1).preemptions


def test_freed_capacity_is_reserved_for_the_urgent_job():
    planner = make_full([make_running()])
    planner.plan(NOW)
    planner.state.put_job(make_job("batch", "t-0", submitted_at=0.0))
    planner.state.put_running("r-0", [])
    free = FULL.with_changes(cpu_millis=1000)
    planner.state.fleet.put_worker(make_worker(free=free))
    plan = planner.plan(NOW + 0.5)
    assert [item.job for item in plan.placements] == ["urgent"]


def test_tasks_that_are_not_preemptible_keep_running():
    protected = [
        make_running(is_preemptible=False),
        make_running("u", urgency=Urgency.URGENT),
    ]
    assert not make_full(protected).plan(NOW).preemptions


def test_preemptions_stay_within_the_budget():
    running = [make_running(index=n) for n in range(40)]
    planner = make_full(running, urgent=40)
    planner.state.fleet.put_worker(make_worker(cpu=64_000, free=FULL))
    stopped = 0
    for step in range(40):
        stopped += len(planner.plan(NOW + step).preemptions)
    assert stopped == 8
