"""Order, limits, scoring, parking and deadlines of placement decisions."""

from cactustiller.model import Urgency, WorkloadKind
from cactustiller.policy import TeamSnapshot, explain_waiting

from .builders import (
    NOW,
    list_placed,
    make_job,
    make_planner,
    make_resources,
    make_running,
    make_worker,
)


def test_limit_below_use_starts_and_preempts_nothing():
    running = [make_running(index=n) for n in range(4)]
    team = TeamSnapshot("t-0", limit_tasks=6)
    planner = make_planner([make_worker()], [make_job(tasks=4)], [team], running)
    planner.state.put_team(TeamSnapshot("t-0", limit_tasks=2))
    plan = planner.plan(NOW)
    assert not plan.placements
    assert not plan.preemptions
    assert "team's limit: it holds 4 of 2" in explain_waiting(planner, "j-0", NOW)[0]
    planner.state.put_team(TeamSnapshot("t-0", limit_tasks=5))
    assert len(planner.plan(NOW).placements) == 1


def test_infeasible_job_is_parked_with_nearest_worker_and_blocks_nothing():
    huge = make_job("huge", resources=make_resources(9000), submitted_at=NOW - 9e3)
    planner = make_planner([make_worker()], [huge, make_job("small")])
    plan = planner.plan(NOW)
    assert list_placed(plan) == [("small", 0, "w-0")]
    assert "the nearest is w-0: cpu_millis 8000 of 9000" in plan.parked[0].reason
    assert "parked" in explain_waiting(planner, "huge", NOW)[0]
    planner.state.fleet.put_worker(make_worker("w-1", cpu=16_000))
    plan = planner.plan(NOW + 1)
    assert plan.unparked == []
    assert list_placed(plan) == [("huge", 0, "w-1")]


def test_job_is_parked_when_its_only_eligible_worker_is_removed():
    workers = [make_worker("w-0"), make_worker("w-1", attributes={"disk": "fast"})]
    job = make_job(required={"disk": "fast"}, submitted_at=NOW)
    planner = make_planner(workers, [job])
    planner.state.fleet.remove_worker("w-1")
    parked = planner.plan(NOW).parked
    assert "disk is not set, not fast" in parked[0].reason


def test_service_spreads_over_racks_and_batch_packs():
    workers = [
        make_worker(f"w-{n}", rack=f"r{n % 2}", zone="ab"[n % 2]) for n in range(4)
    ]
    service = make_planner(workers, [make_job(tasks=4, kind=WorkloadKind.SERVICE)])
    assert len({p.worker for p in service.plan(NOW).placements}) == 4
    batch = make_planner(workers, [make_job(tasks=4)])
    assert len({p.worker for p in batch.plan(NOW).placements}) == 1


def test_colocated_gang_is_placed_in_one_rack():
    workers = [
        make_worker(f"w-{n}", cpu=2000, rack="r1" if n < 3 else "r2") for n in range(5)
    ]
    job = make_job(tasks=4, kind=WorkloadKind.ALL_AT_ONCE, colocate="rack")
    plan = make_planner(workers, [job]).plan(NOW)
    assert {p.worker for p in plan.placements} == {"w-3", "w-4"}


def test_worker_with_accelerators_is_left_for_tasks_that_need_them():
    workers = [make_worker("w-0", accelerators=4), make_worker("w-1")]
    plan = make_planner(workers, [make_job()]).plan(NOW)
    assert plan.placements[0].worker == "w-1"


def test_worker_where_the_job_failed_is_avoided_if_another_is_eligible():
    workers = [make_worker("w-0"), make_worker("w-1")]
    job = make_job(tasks=2, avoided_workers=frozenset({"w-0"}))
    plan = make_planner(workers, [job]).plan(NOW)
    assert {p.worker for p in plan.placements} == {"w-1"}
    only = make_job(avoided_workers=frozenset({"w-0"}))
    assert make_planner(workers[:1], [only]).plan(NOW).placements


def test_least_slack_goes_first_and_late_jobs_go_last():
    worker = make_worker(cpu=1000)
    far = make_job("far", deadline_at=NOW + 5000)
    near = make_job("near", deadline_at=NOW + 100)
    late = make_job("late", deadline_at=NOW + 30)
    planner = make_planner([worker], [far, late, near])
    plan = planner.plan(NOW)
    assert list_placed(plan) == [("near", 0, "w-0")]
    assert [(item.job, item.finish_at) for item in plan.late] == [("late", NOW + 60)]
    assert "predicted not to be met" in "".join(explain_waiting(planner, "late", NOW))


def test_old_job_goes_before_new_job_with_a_distant_deadline():
    old = make_job("old", submitted_at=NOW - 650)
    new = make_job("new", deadline_at=NOW + 3000)
    plan = make_planner([make_worker(cpu=1000)], [new, old]).plan(NOW)
    assert plan.placements[0].job == "old"


def test_aged_idle_job_competes_with_normal_jobs():
    idle = make_job("idle", urgency=Urgency.IDLE, submitted_at=NOW - 3700)
    fresh = make_job("fresh")
    plan = make_planner([make_worker(cpu=1000)], [idle, fresh]).plan(NOW)
    assert plan.placements[0].job == "idle"


def test_deadlines_missed_because_of_the_jobs_ahead_are_reported():
    full = make_worker(cpu=1000, free=make_resources(0, 0))
    jobs = [make_job(f"j-{n}", deadline_at=NOW + 400 + n) for n in range(9)]
    running = [make_running("r")]
    planner = make_planner([full], jobs, running=running)
    late = planner.plan(NOW).late
    assert [item.job for item in late] == ["j-6", "j-7", "j-8"]
    assert late[0].finish_at == NOW + 420
