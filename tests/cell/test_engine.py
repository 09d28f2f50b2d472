"""State of the engine, without members or a store."""

import pytest

from cactustiller.cell import ListedEnd, Listing, RunEnd
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.progress import encode_progress
from cactustiller.cell.records.runs import JobRun, RunPhase
from cactustiller.cell.records.workers import WorkerInfo
from cactustiller.model import Amounts, JobState, WorkerId
from standins.fleet import make_job

NOW = 50.0


def make_engine():
    return Engine(lambda: NOW, lambda: NOW * 1000)


def make_infos(count):
    capacity = Amounts(32_000, 65_536, 0)
    return {
        WorkerId(f"w{index}"): WorkerInfo(
            WorkerId(f"w{index}"), f"w{index}:1", "recon", "z", capacity
        )
        for index in range(count)
    }


def load_running_job(engine, number, worker, count=2):
    spec = make_job(number, count=count)
    job = JobRun(spec)
    for task in job.open_occurrence(0)[0].tasks:
        task.run, task.worker, task.phase = 1, WorkerId(worker), RunPhase.RUNNING
    engine.add_job(spec, encode_progress(job))


def test_stored_runs_use_capacity_before_their_worker_answers():
    engine = make_engine()
    load_running_job(engine, 1, "w1")
    engine.update_workers(make_infos(2))
    assert engine.workers["w1"].free_cpu == 30_000
    assert engine.workers["w0"].free_cpu == 32_000
    assert engine.workers["w1"].lease_ends_at > NOW + 15


def test_an_unlisted_worker_keeps_its_runs():
    engine = make_engine()
    load_running_job(engine, 1, "gone")
    engine.update_workers(make_infos(2))
    engine.add_unlisted_workers()
    assert len(engine.workers["gone"].runs) == 2
    assert not engine.workers["gone"].is_listed


def test_new_workers_do_not_cause_a_scan_of_all_jobs(monkeypatch):
    # With 176 workers and 1,500 jobs, a scan of all jobs per worker took longer than a
    # takeover, so each new owner lost the cell while loading.
    engine = make_engine()
    for number in range(1, 51):
        load_running_job(engine, number, f"w{number}")
    scanned = []
    iterate_steps = JobRun.iterate_steps
    monkeypatch.setattr(
        JobRun, "iterate_steps", lambda job: scanned.append(job) or iterate_steps(job)
    )
    engine.update_workers(make_infos(100))
    engine.add_unlisted_workers()
    assert scanned == []
    assert sum(len(worker.runs) for worker in engine.workers.values()) == 100


def make_busy_engine(jobs, workers=4):
    """Return an engine whose jobs are new and were placed in one round."""
    engine = make_engine()
    engine.update_workers(make_infos(workers))
    for worker in engine.workers.values():
        worker.is_reachable = worker.is_synchronized = True
    for number in range(1, jobs + 1):
        engine.add_job(make_job(number, cpu=500), is_stored=False)
    engine.plan()
    return engine


def test_a_batch_respects_its_size_limit_and_leaves_the_rest_pending():
    engine = make_busy_engine(40)
    ids = list(engine.jobs)
    batch = engine.collect(60, ids)
    assert batch.new_jobs == ids[:30] == list(batch.rows)
    assert len(batch.placements) == 30
    batch = engine.collect(60, ids[30:])
    assert batch.new_jobs == ids[30:] == list(batch.rows)
    assert len(batch.placements) == 10
    assert not engine.unstored_job_count


def test_progress_is_never_stored_before_its_job():
    engine = make_busy_engine(4)
    ids = list(engine.jobs)
    for job in ids:
        engine.cancel_job(job)
    batch = engine.collect(6, ids)
    assert set(batch.rows) <= set(batch.new_jobs)
    later = engine.collect(60, ids[len(batch.new_jobs) :])
    assert set(batch.rows) | set(later.rows) == set(ids)


def test_a_dropped_job_leaves_nothing_to_store():
    engine = make_busy_engine(2)
    for job in list(engine.jobs):
        engine.drop_job(job)
    engine.collect(96)
    assert not engine.unstored_job_count


def end_run(engine, worker, number, task, run, end=RunEnd.DONE):
    ended = (ListedEnd(number, task, run, end, ""),)
    engine.apply_listing(worker, Listing(50_000, 1, (), ended), NOW, NOW)


def test_ends_are_acknowledged_in_order_once_their_rows_are_stored():
    engine = make_busy_engine(3, workers=1)
    (worker,) = engine.workers.values()
    first = engine.collect(96, engine.jobs)
    engine.confirm_batch(first)
    jobs = list(engine.jobs)
    for number, job in enumerate(jobs, 1):
        end_run(engine, worker, number, f"{job}.0.0.0", 1)
    # A fourth end, of a run of an unknown job.
    end_run(engine, worker, 4, f"{'f' * 16}.0.0.0", 1)
    engine._dirty.discard(jobs[0])
    engine.acknowledge_ends()
    assert worker.acked_through == 1
    engine.confirm_batch(engine.collect(96))
    engine.acknowledge_ends()
    assert worker.acked_through == worker.processed_through == 4


def test_a_start_decided_before_its_worker_was_lost_is_not_sent():
    engine = make_busy_engine(2, workers=1)
    batch = engine.collect(96, engine.jobs)
    next(iter(engine.workers.values())).is_reachable = False
    assert engine.confirm_batch(batch) == []
    assert all(not worker.runs for worker in engine.workers.values())


def test_a_removed_job_leaves_nothing_to_store():
    engine = make_busy_engine(1)
    (job,) = engine.jobs
    engine.cancel_job(job)
    engine.confirm_batch(engine.collect(96, [job]))
    # A run of the job is handled after the job's end, then the job is removed.
    engine._update_eligible(engine.jobs[job])
    del engine.jobs[job]
    engine.collect(96)
    assert not engine.unstored_job_count


@pytest.mark.parametrize("end", [RunEnd.DONE, RunEnd.FAILED])
def test_an_end_after_the_cancellation_leaves_the_job_cancelled(end):
    # The stop may reach the worker after the last run has ended. Callers that were
    # shown a cancelled job must not see it succeed or fail later.
    engine = make_busy_engine(1, workers=1)
    (job,) = engine.jobs.values()
    engine.confirm_batch(engine.collect(60, [job.spec.job]))
    (task,) = job.occurrences[0][0].tasks
    task.failures = job.spec.rules.max_attempts - 1
    engine.cancel_job(job.spec.job)
    end_run(engine, engine.workers["w0"], 1, task.name, 1, end)
    assert job.state is JobState.CANCELLED
    assert not engine.workers["w0"].runs
