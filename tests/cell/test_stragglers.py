"""Decision when a run is so late that a copy is worthwhile, and the copies budget."""

import random

import pytest

from cactustiller.cell.decisions.observation import RunObserver
from cactustiller.cell.decisions.stragglers import (
    MAX_SAMPLES_PER_STEP,
    CopiesBudget,
    RunTimes,
    find_late_runs,
)
from cactustiller.cell.records.runs import RunEnd, RunPhase
from cactustiller.model import Amounts

from .builders import SERVICE, make_step, make_worker

STARTED_AT = 100.0
MAX_ATTEMPTS = 3
REPORT_SECONDS = 0.25


def make_running_step(count=20, **changes):
    """Return a step whose tasks have just started, on a worker each."""
    step = make_step(count=count, **{"allows_copies": True} | changes)
    for task in step.tasks:
        task.phase, task.run, task.worker = RunPhase.RUNNING, 1, f"w{task.index}"
        task.start_sent_at = task.started_at = task.progressed_at = STARTED_AT
    step.pending_count = 0
    return step


def replay(step, seconds, until=60.0):
    """Report the progress of a step's tasks; return when each is found to be late.

    Parameters
    ----------
    step : StepRun
    seconds : list of float
        Duration of each task.
    """
    times = RunTimes()
    found = {}
    elapsed = 0.0
    while elapsed < until:
        elapsed += REPORT_SECONDS
        now = STARTED_AT + elapsed
        for task, duration in zip(step.tasks, seconds, strict=True):
            if task.phase is not RunPhase.RUNNING:
                continue
            if elapsed >= duration:
                times.record_run_end(task, None, RunEnd.DONE, now)
                task.phase = RunPhase.SUCCEEDED
                continue
            progress = int(100 * elapsed / duration)
            if progress > task.progress:
                task.progress, task.progressed_at = progress, now
        for late in find_late_runs(step, MAX_ATTEMPTS, now):
            found.setdefault(late.task.index, elapsed)
    return found


@pytest.mark.parametrize("estimate_ms", [200, 1000, 2000, 20_000])
def test_a_task_that_takes_seven_times_as_long_is_found_early(estimate_ms):
    # The estimate is off by up to 90 %, so the other tasks of the step have to decide.
    step = make_running_step(estimate_ms=estimate_ms)
    seconds = [2.0] * 20
    seconds[7] = 14.0
    found = replay(step, seconds)
    assert list(found) == [7]
    assert found[7] <= 2.0


@pytest.mark.parametrize("seed", range(20))
def test_ordinary_differences_of_run_time_cause_no_copy(seed):
    # Speeds of the workers are between 0.55 and 1.2 of the nominal one.
    chance = random.Random(seed)
    step = make_running_step()
    found = replay(step, [4.0 / chance.uniform(0.55, 1.2) for _ in range(20)])
    assert found == {}


@pytest.mark.parametrize("seed", range(20))
def test_a_straggler_among_workers_of_different_speeds_is_found(seed):
    chance = random.Random(seed)
    step = make_running_step()
    seconds = [4.0 / chance.uniform(0.55, 1.2) for _ in range(20)]
    seconds[3] = 28.0
    found = replay(step, seconds)
    assert list(found) == [3]
    assert found[3] <= 8.0


def test_a_few_tasks_are_compared_with_a_generous_estimate():
    # With two tasks it is not known which of them is the normal one.
    step = make_running_step(count=2, estimate_ms=1000)
    assert replay(step, [1.8, 2.5]) == {}
    step = make_running_step(count=2, estimate_ms=1000)
    assert list(replay(step, [1.0, 7.0])) == [1]


def test_a_step_without_samples_and_estimate_has_no_late_runs():
    assert replay(make_running_step(count=2, estimate_ms=0), [1.0, 50.0]) == {}


def test_short_tasks_are_not_copied():
    # A start and the transaction before it take longer than a copy would gain.
    step = make_running_step(estimate_ms=100)
    assert replay(step, [0.2] * 19 + [0.7]) == {}


def test_a_run_without_progress_is_late_by_its_age():
    step = make_running_step()
    for task in step.tasks[1:]:
        task.progress, task.progressed_at = 50, STARTED_AT + 1.0
    (late,) = find_late_runs(step, MAX_ATTEMPTS, STARTED_AT + 5.0)
    assert late.task is step.tasks[0]
    assert find_late_runs(step, MAX_ATTEMPTS, STARTED_AT + 3.0) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"allows_copies": False},
        {"is_gang": True},
        {"is_service": True},
        {"fills": True},
    ],
)
def test_some_steps_are_never_copied(changes):
    step = make_running_step(**changes)
    assert replay(step, [2.0] * 19 + [14.0]) == {}


def mark_suspect(task):
    task.step.suspects.add(task)


@pytest.mark.parametrize(
    "change",
    [
        lambda task: setattr(task, "is_stopping", True),
        lambda task: setattr(task, "copy", object()),
        lambda task: setattr(task, "has_had_copy", True),
        lambda task: setattr(task, "crashes", 1),
        lambda task: setattr(task, "failures", MAX_ATTEMPTS - 1),
        mark_suspect,
    ],
)
def test_some_tasks_are_never_copied(change):
    step = make_running_step()
    change(step.tasks[-1])
    assert replay(step, [2.0] * 19 + [14.0]) == {}


def test_runs_taken_over_from_another_owner_are_no_samples():
    # They seem to have started at the takeover; from their progress alone they would
    # seem far faster than they are, and all new runs late.
    step = make_running_step(estimate_ms=10_000)
    for task in step.tasks[:10]:
        task.start_sent_at = 0.0
        task.progress, task.progressed_at = 90, STARTED_AT + 0.5
    for task in step.tasks[10:]:
        task.progress, task.progressed_at = 10, STARTED_AT + 1.0
    assert find_late_runs(step, MAX_ATTEMPTS, STARTED_AT + 1.0) == []
    times = RunTimes()
    times.record_run_end(step.tasks[0], None, RunEnd.DONE, STARTED_AT + 0.6)
    assert step.run_seconds == []


def test_run_times_are_bounded_and_only_those_of_successes():
    step = make_running_step(count=2)
    times: RunObserver = RunTimes()
    times.record_run_end(step.tasks[0], None, RunEnd.FAILED, STARTED_AT + 1.0)
    assert step.run_seconds == []
    for _ in range(MAX_SAMPLES_PER_STEP + 5):
        times.record_run_end(step.tasks[0], None, RunEnd.DONE, STARTED_AT + 1.0)
    assert step.run_seconds == [1.0] * MAX_SAMPLES_PER_STEP


def test_the_budget_bounds_the_copies_of_a_team_and_of_all():
    # 8 workers of 25 cores: 8 cores for all copies, 4 for those of a team.
    budget = CopiesBudget([make_worker(f"w{n}", cpu=25_000) for n in range(8)])
    amounts = Amounts(2_000, 100, 0)
    for team in ("a", "b"):
        for _ in range(2):
            assert budget.allows(team, SERVICE, amounts)
            budget.take(team, SERVICE, amounts)
        assert not budget.allows(team, SERVICE, amounts)
    assert not budget.allows("c", SERVICE, amounts)


def test_no_copy_fits_into_a_cell_without_workers():
    assert not CopiesBudget([]).allows("a", SERVICE, Amounts(1, 1, 0))
