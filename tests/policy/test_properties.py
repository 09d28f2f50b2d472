"""Properties that hold for every placement decision."""

from collections import Counter
from copy import deepcopy

from hypothesis import given, settings
from hypothesis import strategies as st

from cactustiller.model import Urgency, WorkloadKind
from cactustiller.policy import (
    Amounts,
    Snapshot,
    TeamSnapshot,
    make_planner,
    plan_placements,
)

from .builders import NOW, make_job, make_resources, make_worker

workers = st.lists(
    st.builds(
        make_worker,
        name=st.integers(0, 9).map("w-{}".format),
        cpu=st.integers(1, 16).map(lambda n: n * 1000),
        memory=st.integers(1, 16).map(lambda n: n * 1024),
        rack=st.sampled_from(["r1", "r2"]),
        zone=st.sampled_from("ab"),
    ),
    max_size=6,
    unique_by=lambda worker: worker.worker,
)
jobs = st.lists(
    st.builds(
        make_job,
        name=st.integers(0, 99).map("j-{}".format),
        team=st.sampled_from(["t-0", "t-1", "t-2"]),
        tasks=st.integers(1, 5),
        kind=st.sampled_from(WorkloadKind),
        urgency=st.sampled_from(Urgency),
        resources=st.builds(
            make_resources,
            cpu=st.integers(0, 8).map(lambda n: n * 1000),
            memory=st.integers(0, 8).map(lambda n: n * 1024),
        ),
        submitted_at=st.floats(NOW - 2000, NOW),
        spread=st.sampled_from(["none", "rack", "zone"]),
        colocate=st.sampled_from(["none", "rack"]),
    ),
    max_size=8,
    unique_by=lambda job: job.job,
)
limits = st.lists(st.integers(0, 4), min_size=3, max_size=3)


def make_snapshot(workers, jobs, limits):
    teams = {
        f"t-{number}": TeamSnapshot(f"t-{number}", number + 1.0, limit_tasks=limit)
        for number, limit in enumerate(limits)
    }
    return Snapshot(NOW, workers, jobs, teams)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(workers, jobs, limits)
def test_plan_keeps_capacity_limits_and_wholes(workers, jobs, limits):
    snapshot = make_snapshot(workers, deepcopy(jobs), limits)
    plan = plan_placements(snapshot)
    by_job = {job.job: job for job in jobs}
    used = {worker.worker: Amounts() for worker in workers}
    by_team = Counter()
    placed = Counter()
    for item in plan.placements:
        spec = by_job[item.job].spec
        used[item.worker] = used[item.worker].plus(Amounts.of(spec.template.resources))
        by_team[spec.team] += 1
        placed[item.job] += 1
    assert len({(p.job, p.index) for p in plan.placements}) == len(plan.placements)
    for worker in workers:
        total = Amounts.of(worker.total)
        assert all(
            have <= most for have, most in zip(used[worker.worker], total, strict=True)
        )
    for number, limit in enumerate(limits):
        assert not limit or by_team[f"t-{number}"] <= limit
    for job in jobs:
        if job.spec.kind is WorkloadKind.ALL_AT_ONCE:
            assert placed[job.job] in (0, len(job.indices))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(workers, jobs, limits, st.randoms(use_true_random=False))
def test_plan_depends_on_the_snapshot_only(workers, jobs, limits, random):
    first = plan_placements(make_snapshot(workers, deepcopy(jobs), limits))
    shuffled = random.sample(workers, len(workers)), random.sample(jobs, len(jobs))
    second = plan_placements(make_snapshot(*deepcopy(shuffled), limits))
    assert first.placements == second.placements


@settings(max_examples=60, deadline=None, derandomize=True)
@given(workers, jobs, limits, st.randoms(use_true_random=False))
def test_changed_planner_plans_as_a_new_one(workers, jobs, limits, random):
    planner = make_planner(make_snapshot([], [], limits))
    extra = make_worker("w-extra")
    planner.state.fleet.put_worker(extra)
    for job in random.sample(jobs, len(jobs)):
        planner.state.put_job(deepcopy(job))
        planner.state.remove_job(job.job)
        planner.state.put_job(deepcopy(job))
    for worker in workers:
        planner.state.fleet.put_worker(worker)
    planner.state.fleet.remove_worker("w-extra")
    fresh = plan_placements(make_snapshot(workers, deepcopy(jobs), limits))
    assert planner.plan(NOW).placements == fresh.placements
