"""All-at-once and large work: claims, backfill and no starvation."""

from cactustiller.model import WorkloadKind
from cactustiller.policy import Amounts, Claim

from .builders import (
    NOW,
    make_job,
    make_planner,
    make_resources,
    make_running,
    make_worker,
)


def make_gang_job(name="whole", tasks=2, cpu=8000, **changes):
    return make_job(
        name,
        changes.pop("team", "t-1"),
        tasks,
        kind=WorkloadKind.ALL_AT_ONCE,
        resources=make_resources(cpu, 1024),
        **changes,
    )


def make_half_full(*jobs):
    """Return a planner with one free worker and one that is busy for 100 s."""
    busy = make_running(
        amounts=Amounts(8000, 1024, 0), worker="w-1", expected_end=NOW + 100
    )
    free = make_resources(0, 15_360)
    workers = [make_worker("w-0"), make_worker("w-1", free=free)]
    return make_planner(workers, jobs, running=[busy])


def test_claim_keeps_capacity_and_short_work_fills_it():
    planner = make_half_full(make_gang_job())
    assert not planner.plan(NOW).placements
    claim = planner.claims.own["whole"]
    assert claim.start_at == NOW + 100
    planner.state.put_job(make_job("long", p90_seconds=500.0))
    planner.state.put_job(make_job("short", p90_seconds=50.0))
    plan = planner.plan(NOW + 1)
    assert [item.job for item in plan.placements] == ["short"]


def test_claimed_work_starts_all_at_once_when_capacity_is_free():
    planner = make_half_full(make_gang_job())
    planner.plan(NOW)
    planner.state.put_running("r-0", [])
    planner.state.fleet.put_worker(make_worker("w-1"))
    plan = planner.plan(NOW + 100)
    assert [item.job for item in plan.placements] == ["whole", "whole"]
    assert not planner.claims.own


def test_filling_work_that_overruns_is_stopped():
    planner = make_half_full(make_gang_job())
    planner.plan(NOW)
    planner.state.put_job(make_job("short", p90_seconds=50.0))
    planner.plan(NOW + 1)
    overrun = make_running("short", worker="w-0", expected_end=NOW + 51)
    planner.state.put_running("short", [overrun])
    stopped = planner.plan(NOW + 102).preemptions
    assert [item.task.key for item in stopped] == [("short", 0)]


def test_two_large_jobs_run_one_after_the_other():
    jobs = [make_gang_job("a", team="t-1"), make_gang_job("b", team="t-2")]
    workers = [make_worker("w-0"), make_worker("w-1")]
    planner = make_planner(workers, jobs)
    first = {item.job for item in planner.plan(NOW).placements}
    assert len(first) == 1
    (done,) = first
    planner.state.put_running(done, [])
    for worker in workers:
        planner.state.fleet.put_worker(worker)
    second = {item.job for item in planner.plan(NOW + 5).placements}
    assert first | second == {"a", "b"}


def test_claims_of_a_peer_that_came_first_are_respected():
    planner = make_half_full(make_gang_job(tasks=1))
    peer = Claim("peer", since=NOW - 5, start_at=NOW + 60)
    peer.reserved = {"w-0": Amounts(8000, 1024, 0)}
    planner.claims.peers = [peer]
    assert not planner.plan(NOW).placements


def test_large_task_does_not_starve_behind_small_ones():
    large = make_job("large", "t-1", resources=make_resources(8000))
    running = [make_running("r", index=n, expected_end=NOW + 60 * n) for n in range(8)]
    planner = make_planner([make_worker(free=make_resources(0))], [large], (), running)
    state = planner.state
    state.put_job(make_job("small", tasks=99, p90_seconds=480.0))
    started = []
    for step in range(40):
        now = NOW + 60 * step
        ended = [
            (job, index)
            for job, tasks in state.running.items()
            for index, task in tasks.items()
            if task.expected_end <= now
        ]
        for job, index in ended:
            rest = [t for t in state.running[job].values() if t.index != index]
            state.put_running(job, rest)
        busy = sum(len(tasks) for tasks in state.running.values())
        free = make_resources(8000 - 1000 * busy, 16_384 - 1024 * busy)
        state.fleet.put_worker(make_worker(free=free))
        started += [item.job for item in planner.plan(now).placements]
        if "large" in started:
            break
    assert "large" in started
    assert len(started) > 8
