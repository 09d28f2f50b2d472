"""Rejection of jobs that certainly start too late, on a full cell."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell import Acceptance
from cactustiller.cell.decisions.admission_control import (
    Backlog,
    Rejection,
    find_min_wait_ms,
    find_rejection,
)
from cactustiller.cell.decisions.ordering import find_start_limits
from cactustiller.cell.ports import make_job_key
from cactustiller.cell.records.runs import JobRun
from cactustiller.cell.records.specs import encode_job
from cactustiller.model import JobState, TeamId
from standins.fleet import FleetCell, make_job, make_queue

NOW_MS = 0.0
CAPACITY = 32_000
# Three times the objective of 0 ms plus twice the path of 1 s, less the path: a step
# has value for 5 s.
QUEUE = make_queue("urgent", objective_ms=0.0)
USEFUL_MS = 5_000.0


def make_waiting(count=100, team="team", queue=QUEUE, **changes):
    """Return waiting steps, of 100 core-seconds each by their estimates."""
    steps = []
    for number in range(count):
        spec = make_job(number, queue, **{"count": 100, "cpu": 1000} | changes)
        step = open_step(spec, team)
        steps.append((step, queue.rules, find_start_limits(step, queue.rules)))
    return steps


def open_step(spec, team="team"):
    object.__setattr__(spec, "team", TeamId(team))
    return JobRun(spec).open_occurrence(0)[0]


def decide(waiting, queue=QUEUE, capacity=CAPACITY, limits=None, now=NOW_MS, **changes):
    step = open_step(make_job(9_999, queue, **changes))
    limits = limits or {}
    return find_rejection(
        step,
        queue.rules,
        waiting,
        capacity,
        lambda team: (limits.get(team, 0), team in limits),
        now,
    )


def test_a_job_behind_far_more_work_than_can_be_done_is_rejected():
    rejection = decide(make_waiting(100))
    # 1,700 core-seconds on 32 cores, of which a tenth is certain, less 1 s, exceed the
    # time of the job; the rest is not examined.
    assert rejection.wait_ms == pytest.approx(0.1 * (1_700_000 / 32 - 1_000))
    assert rejection.useful_ms == USEFUL_MS


def test_a_job_is_admitted_if_estimates_that_are_ten_times_too_long_allow_it():
    # 1,600 core-seconds take 50 s by the estimates, but perhaps only 5 s.
    assert decide(make_waiting(16)) is None
    assert decide(make_waiting(17)) is not None


@pytest.mark.parametrize(
    "changes",
    [
        # Larger tasks: the job may fit where they do not.
        {"cpu": 2000},
        {"is_gang": True},
        {"fills": True},
        {"is_service": True},
        {"max_per_worker": 1},
        {"required_label": "a"},
    ],
)
def test_work_that_the_job_may_pass_is_not_counted(changes):
    assert decide(make_waiting(1_000, **changes)) is None


def test_work_that_loses_its_value_before_the_job_is_not_counted():
    waiting = make_waiting(1_000)
    # The job was accepted 1 ms later than the others, which are dropped before it.
    step = open_step(make_job(9_999, QUEUE))
    object.__setattr__(step.job.spec, "accepted_ms", 1)
    rejection = find_rejection(
        step, QUEUE.rules, waiting, CAPACITY, lambda team: (0, False), 1.0
    )
    assert rejection is None


def test_batch_work_does_not_keep_urgent_jobs_out():
    batch = make_queue("batch", priority=2, objective_ms=60_000.0)
    assert decide(make_waiting(1_000, queue=batch)) is None


def test_urgent_work_with_a_longer_objective_keeps_batch_jobs_out():
    urgent = make_queue("urgent", objective_ms=60_000.0)
    batch = make_queue("batch", priority=2, objective_ms=0.0)
    assert decide(make_waiting(100, queue=urgent), queue=batch) is not None


def test_work_of_other_limited_teams_is_not_counted():
    waiting = make_waiting(1_000, team="other")
    assert decide(waiting, limits={"other": 1_000}) is None
    assert decide(waiting) is not None


def test_the_limit_of_the_own_team_counts():
    # Two steps take 200 s by the estimates on the one core of the team.
    waiting = make_waiting(2)
    assert decide(waiting) is None
    assert decide(waiting, limits={"team": 1_000}) is not None


def test_a_cell_without_workers_rejects_nothing():
    assert decide(make_waiting(1_000), capacity=0) is None
    assert find_min_wait_ms(Backlog(1e9, 1.0), 0) == 0.0


URGENT = make_queue("urgent", objective_ms=60_000.0)
BATCH = make_queue("batch", priority=2, objective_ms=0.0)


async def fill(cell, member):
    """Submit far more urgent work than the cell can run while a batch job has value."""
    for number in range(1, 81):
        spec = make_job(number, URGENT, count=100, cpu=4000)
        assert await cell.submit(spec, 1.0, member) is Acceptance.ACCEPTED


@pytest.mark.looptime
async def test_a_rejected_job_is_not_stored_and_never_runs():
    async with FleetCell(members=3, workers=1, queues=[URGENT, BATCH]) as cell:
        owner = cell.find_owner()
        member = next(name for name in cell.members if name != owner)
        spec = make_job(500, BATCH, cpu=4000)
        await fill(cell, member)
        await asyncio.sleep(1.0)
        for name in (member, owner):
            answer = await cell.submit_fully(spec, 1.0, name)
            assert answer.outcome is Acceptance.REFUSED
            assert answer.retry_after == 1
        assert make_job_key(spec.job) not in cell.store.rows
        assert spec.job not in cell.find_engine().jobs
        # Urgent work is still admitted.
        urgent = make_job(501, URGENT, cpu=4000)
        assert await cell.submit(urgent, 1.0, member) is Acceptance.ACCEPTED
        await asyncio.sleep(15.0)
        assert [t for t, _, _ in cell.audit.starts if t.startswith(spec.job)] == []


@pytest.mark.looptime
async def test_a_job_whose_row_is_stored_is_not_rejected():
    async with FleetCell(members=3, workers=1, queues=[URGENT, BATCH]) as cell:
        owner = cell.find_owner()
        member = next(name for name in cell.members if name != owner)
        await fill(cell, member)
        await asyncio.sleep(1.0)
        # Stored by another member; the owner's feed of rows is deaf to it.
        cell.stores[owner].is_deaf = True
        spec = make_job(500, BATCH, cpu=4000)
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        row = encode_job(replace(spec, accepted_ms=now_ms))
        cell.store.put(make_job_key(spec.job), row)
        assert await cell.submit(spec, 1.0, member) is Acceptance.ACCEPTED


@pytest.mark.looptime
async def test_a_cell_with_a_short_queue_rejects_nothing():
    async with FleetCell(members=3, workers=1, queues=[URGENT, BATCH]) as cell:
        for number in range(1, 31):
            spec = make_job(number, URGENT, count=10, cpu=4000)
            assert await cell.submit(spec, 1.0) is Acceptance.ACCEPTED
        spec = make_job(500, BATCH, cpu=4000)
        assert await cell.submit(spec, 1.0) is Acceptance.ACCEPTED


@pytest.mark.looptime
async def test_a_job_accepted_by_another_try_meanwhile_is_not_rejected(monkeypatch):
    # While the owner looks for a stored row, another try of the same caller may be
    # accepted. "Not run" would then be false.
    async with FleetCell(members=1, workers=1) as cell:
        (name,) = cell.members
        owner, _, _ = cell.members[name]._find_owner()
        spec = make_job(1)
        read = owner._ports.store.read
        checks = []

        async def read_beside_another_try(*args):
            answer = await read(*args)
            if not checks:
                checks.append(True)
                assert await cell.submit(spec, 0.2) is Acceptance.ACCEPTED
            return answer

        monkeypatch.setattr(owner._admission, "is_needed", lambda: not checks)
        monkeypatch.setattr(
            owner._admission, "find_rejection", lambda spec: Rejection(9000.0, 1000.0)
        )
        monkeypatch.setattr(owner._ports.store, "read", read_beside_another_try)
        assert await cell.submit(spec, 0.2) is Acceptance.ACCEPTED
        assert checks
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
