"""Wait of calls to workers: idle, busy and suspect ones."""

import pytest

from cactustiller.cell.decisions.polling import (
    MAX_WAIT_MS,
    MIN_WAIT_MS,
    MIN_WAIT_MS_PER_WORKER,
    choose_wait_ms,
)
from cactustiller.cell.records.runs import RunPhase

from .builders import make_step, make_worker


def add_run(worker, progressed_at, number=1, **changes):
    task = make_step(number, count=1, **changes).tasks[0]
    task.run, task.phase = 1, RunPhase.RUNNING
    task.started_at = task.progressed_at = progressed_at
    worker.runs[task.name] = (task, task.run)
    return task


def test_a_call_to_an_idle_worker_waits_longest():
    assert choose_wait_ms(make_worker(), 24, now=10.0) == MAX_WAIT_MS


def test_a_call_to_a_busy_worker_ends_when_a_run_may_have_stalled():
    worker = make_worker()
    add_run(worker, 9.0, estimate_ms=4000)
    add_run(worker, 9.8, number=2, estimate_ms=1000)
    # 1.2 s and 5% of 4 s after its last progress.
    assert choose_wait_ms(worker, 24, now=9.0) == 1400
    assert choose_wait_ms(worker, 24, now=9.6) == 800


def test_an_overdue_run_is_checked_at_the_shortest_interval():
    worker = make_worker()
    add_run(worker, 5.0)
    assert choose_wait_ms(worker, 24, now=10.0) == MIN_WAIT_MS


def test_a_worker_with_failures_is_checked_often():
    assert choose_wait_ms(make_worker(failures=1), 24, now=10.0) == MIN_WAIT_MS


def test_latencies_beside_filling_tasks_are_read_often():
    worker = make_worker()
    add_run(worker, 9.9, fills=True)
    assert choose_wait_ms(worker, 24, now=10.0) == MIN_WAIT_MS


@pytest.mark.parametrize("changes", [{"is_service": True}, {"progress": 100}])
def test_a_run_that_cannot_stall_does_not_shorten_the_wait(changes):
    worker = make_worker()
    progress = changes.pop("progress", 0)
    add_run(worker, 5.0, **changes).progress = progress
    assert choose_wait_ms(worker, 24, now=10.0) == MAX_WAIT_MS


def test_a_large_cell_is_limited_in_calls():
    suspect = make_worker(failures=1)
    assert choose_wait_ms(suspect, 270, 10.0) == 270 * MIN_WAIT_MS_PER_WORKER
    assert choose_wait_ms(suspect, 1000, 10.0) == MAX_WAIT_MS
