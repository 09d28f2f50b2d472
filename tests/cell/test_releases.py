"""Evidence on which the runs of a worker are released."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.runs import RunEnd, RunPhase
from cactustiller.cell.records.workers import WorkerLoss
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.workers import WorkerTrouble
from tests.cell.builders import make_worker
from tests.cell.release_builders import (
    BORN_MS,
    FORMER_BORN_MS,
    NOW,
    START_SENT_AT,
    list_end,
    list_runs,
    make_sent_run,
)


def test_log_lines_of_a_release_tell_its_evidence():
    # Guards against a release in the log that can't be told from one for another cause.
    engine, worker, _ = make_sent_run(is_reported=True)
    with capture_logs() as lines:
        engine.apply_listing(worker, list_runs(), NOW, NOW)
    restart, loss = (
        next(line for line in lines if line["event"] == event)
        for event in ("worker_reborn", "run_lost")
    )
    assert restart["evidence"] == "report"
    assert restart["former_born_ms"] == FORMER_BORN_MS
    assert restart["born_ms"] == BORN_MS
    assert loss["silent_seconds"] == NOW - START_SENT_AT


@pytest.mark.looptime
async def test_task_that_was_done_behind_a_cut_is_not_started_again():
    # Guards against a second run after the end `done` of a run whose lease had expired
    # for the owner was listed, ignored and acknowledged.
    async with FleetCell(workers=1) as cell:
        spec = make_job(estimate_ms=3000)
        await cell.submit(spec, seconds=3.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        cell.workers["w0"].trouble = WorkerTrouble.CUT_OFF
        await asyncio.sleep(9.0)
        cell.workers["w0"].trouble = WorkerTrouble.NONE
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert cell.audit.count_starts(f"{spec.job}.0.0.0") == 1


@pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.LEASE_EXPIRED])
def test_other_ends_of_a_released_run_change_nothing(end):
    # Guards against attempts that are counted twice: by the loss and by the late end.
    engine, worker, task = make_sent_run(is_reported=True)
    engine._drop_all_runs(worker, WorkerLoss.SILENT)
    engine.apply_listing(worker, list_end(task, end, born_ms=FORMER_BORN_MS), NOW, NOW)
    assert task.phase is RunPhase.WAITING
    assert task.failures == 0


def test_late_end_of_a_run_that_has_a_successor_changes_nothing():
    # Guards against a task that counts as done while its next run goes on.
    engine, worker, task = make_sent_run(is_reported=True)
    report = list_end(task, born_ms=FORMER_BORN_MS)
    engine._drop_all_runs(worker, WorkerLoss.SILENT)
    task.run, task.phase = 2, RunPhase.RUNNING
    engine.apply_listing(worker, report, NOW, NOW)
    assert task.phase is RunPhase.RUNNING


def test_late_end_is_acknowledged_once_its_effect_is_stored():
    # Guards against an end that is forgotten by its worker before it is stored.
    engine, worker, task = make_sent_run(is_reported=True)
    engine._drop_all_runs(worker, WorkerLoss.SILENT)
    engine.apply_listing(worker, list_end(task, born_ms=FORMER_BORN_MS), NOW, NOW)
    assert task.phase is RunPhase.SUCCEEDED
    engine.acknowledge_ends()
    assert worker.acked_through == 0
    engine.collect(10)
    engine.acknowledge_ends()
    assert worker.acked_through == 1


def test_placement_of_a_released_run_starts_nothing():
    # Guards against two starts with the same run number: a placement that waits for a
    # batch loses its worker, and its task is placed again before that batch is stored.
    engine = Engine(lambda: NOW, lambda: 1000)
    for name in ("w0", "w1"):
        engine.workers[name] = make_worker(name, born_ms=FORMER_BORN_MS)
    engine.add_job(make_job())
    engine.plan()
    (first,) = engine._unstored_placements
    assert not engine.collect(0).placements
    engine.apply_listing(first.worker, list_runs(), NOW, NOW)
    first.worker.avoided_until = NOW + 1
    engine.plan()
    first.worker.avoided_until = 0.0
    starts = engine.confirm_batch(engine.collect(10))
    (other,) = (w for w in engine.workers.values() if w is not first.worker)
    assert [(start.worker, start.task.run) for start in starts] == [(other, 2)]


def test_task_that_is_placed_twice_on_its_worker_is_started_once():
    # Guards against two starts of one run: the answer that one was refused would
    # release the run that the other one has started.
    engine = Engine(lambda: NOW, lambda: 1000)
    engine.workers["w0"] = worker = make_worker("w0", born_ms=FORMER_BORN_MS)
    engine.add_job(make_job())
    engine.plan()
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    engine.plan()
    starts = engine.confirm_batch(engine.collect(10))
    assert [start.task.run for start in starts] == [2]
