"""Detection of stalled runs and exclusion of failing workers."""

import pytest

from cactustiller.cell.decisions.health import (
    FAILED_JOBS_TO_AVOID,
    is_stalled,
    outlives_worker,
    record_failure,
    record_success,
)
from cactustiller.cell.records.runs import RunPhase

from .builders import make_step, make_worker


def make_running(progress=40, progressed_at=10.0, **changes):
    task = make_step(count=2, estimate_ms=1000, **changes).tasks[0]
    task.phase, task.run, task.started_at = RunPhase.RUNNING, 1, 9.0
    task.progress, task.progressed_at = progress, progressed_at
    return task


@pytest.mark.parametrize(
    ("listed_at", "stalled"), [(10.5, False), (11.2, False), (11.3, True)]
)
def test_a_run_stalls_by_the_last_report_of_its_worker(listed_at, stalled):
    assert is_stalled(make_running(), make_worker(listed_at=listed_at)) is stalled


def test_a_gang_member_that_waits_for_the_others_is_not_stalled():
    # Otherwise gangs are stopped shortly before their end; it happened to 61 gangs on a
    # larger site.
    task = make_running(progress=100, is_gang=True)
    assert not is_stalled(task, make_worker(listed_at=20.0))


def test_a_service_never_stalls():
    assert not is_stalled(make_running(is_service=True), make_worker(listed_at=90.0))


def test_a_worker_is_avoided_after_failures_of_several_jobs():
    worker, others = make_worker("w0"), [make_worker(f"w{i}") for i in range(1, 6)]
    workers = [worker, *others]
    for number in range(FAILED_JOBS_TO_AVOID):
        task = make_step(number + 1).tasks[0]
        avoided = record_failure(worker, task, workers, now=5.0)
    assert avoided
    assert not worker.is_schedulable(5.1)
    assert worker.is_schedulable(30.0)


def test_failures_of_a_single_job_do_not_exclude_a_worker():
    worker = make_worker("w0")
    task = make_step().tasks[0]
    for _ in range(10):
        assert not record_failure(worker, task, [worker], now=5.0)


def test_a_success_resets_the_failures_of_a_worker():
    worker = make_worker("w0")
    for number in range(FAILED_JOBS_TO_AVOID - 1):
        record_failure(worker, make_step(number + 1).tasks[0], [worker], 5.0)
    record_success(worker)
    assert not record_failure(worker, make_step(9).tasks[0], [worker], 5.0)


def test_no_more_than_a_third_of_the_workers_is_avoided():
    workers = [make_worker(f"w{index}") for index in range(6)]
    for worker in workers:
        for number in range(FAILED_JOBS_TO_AVOID):
            record_failure(worker, make_step(number + 1).tasks[0], workers, 5.0)
    assert sum(not worker.is_schedulable(5.1) for worker in workers) == 2


@pytest.mark.parametrize(("leaves_at", "cut"), [(11.0, True), (12.5, False)])
def test_a_run_whose_expected_end_is_after_the_leave_outlives_its_worker(
    leaves_at, cut
):
    # 40% in one second gives an end at 11.5; workers stay up half a second longer.
    task = make_running(progress=40, progressed_at=10.0)
    assert outlives_worker(task, leaves_at - 0.1, now=10.2) is cut
