"""Stored copies, and ends of copies that are not stored yet; without members."""

import orjson
import pytest

from cactustiller.cell import ListedEnd, Listing, RunEnd
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.copies import make_copy
from cactustiller.cell.records.progress import (
    COPIES_KEY,
    decode_progress,
    encode_progress,
)
from cactustiller.cell.records.runs import JobRun, RunPhase
from cactustiller.cell.records.workers import WorkerInfo
from cactustiller.model import Amounts, WorkerId
from standins.fleet import make_job


def end_run(engine, worker, task, run, end=RunEnd.DONE):
    ended = (ListedEnd(worker.processed_through + 1, task, run, end, ""),)
    engine.apply_listing(worker, Listing(50_000, 1, (), ended), 50.0, 50.0)


@pytest.mark.parametrize("first", ["w1", "w2"])
def test_no_end_is_acknowledged_before_the_success_is_stored(first):
    # The owner may be lost before it is stored, together with the other worker.
    engine = Engine(lambda: 50.0, lambda: 50_000)
    job, step = make_job_run()
    add_copy(step.tasks[0])
    engine.add_job(job.spec, encode_progress(job))
    engine.update_workers(
        {
            WorkerId(name): WorkerInfo(
                WorkerId(name), f"{name}:1", "recon", "z", Amounts(32_000, 65_536, 0)
            )
            for name in ("w1", "w2")
        }
    )
    for worker in engine.workers.values():
        worker.is_reachable = worker.is_synchronized = True
    engine.collect(96)
    name = step.tasks[0].name
    workers = [engine.workers["w1"], engine.workers["w2"]]
    order = workers if first == "w1" else workers[::-1]
    for worker in order:
        end_run(engine, worker, name, 1 + workers.index(worker))
    engine.acknowledge_ends()
    assert [worker.acked_through for worker in workers] == [0, 0]
    engine.confirm_batch(engine.collect(96))
    engine.acknowledge_ends()
    assert [worker.acked_through for worker in workers] == [1, 1]


# Rows


def make_job_run():
    job = JobRun(make_job(count=3, allows_copies=True))
    step = job.open_occurrence(0)[0]
    for task in step.tasks:
        task.phase, task.run, task.worker = RunPhase.RUNNING, 1, WorkerId("w1")
    step.pending_count = 0
    return job, step


def add_copy(task, worker="w2"):
    copy = make_copy(task)
    copy.phase, copy.run, copy.worker = RunPhase.RUNNING, 2, WorkerId(worker)
    task.copy_run = 2
    return copy


def test_a_copy_is_restored_from_its_row():
    job, step = make_job_run()
    copy = add_copy(step.tasks[1])
    copy.incarnation, step.tasks[1].incarnation = 7, 5
    (restored,) = decode_progress(job.spec, encode_progress(job)).iterate_steps()
    assert [run.run for run in restored.iterate_runs()] == [1, 1, 2, 1]
    copy = restored.tasks[1].copy
    assert (copy.worker, copy.phase, copy.incarnation) == ("w2", RunPhase.ASSIGNED, 7)
    assert restored.tasks[1].copy_run == 2
    assert copy.original is restored.tasks[1]


def test_a_row_without_copies_is_as_before():
    job, _ = make_job_run()
    assert orjson.loads(encode_progress(job)) == [
        0,
        0,
        0,
        0,
        [[0, [[0, [[1, 0, "w1", ""]] * 3]]]],
    ]


def test_the_previous_release_can_read_a_row_with_a_copy():
    # It takes exactly two fields after the occurrences: crashes and the start of each
    # worker process by its id, and looks up ids only.
    job, step = make_job_run()
    add_copy(step.tasks[1])
    fields = orjson.loads(encode_progress(job))
    assert len(fields) == 7
    assert fields[5] == []
    assert set(fields[6]) == {COPIES_KEY}
    tasks = fields[4][0][1][0][1]
    assert tasks == [[1, 0, "w1", ""]] * 3


def test_a_row_of_an_earlier_release_has_no_copies():
    job, _ = make_job_run()
    row = orjson.dumps([1, 0, 0, 1, [[0, [[0, [[1, 0, "w1", ""], 0, 1]]]]]])
    (step,) = decode_progress(job.spec, row).iterate_steps()
    assert [task.copy for task in step.tasks] == [None] * 3
