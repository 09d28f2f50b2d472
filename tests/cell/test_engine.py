"""The engine's state, without members or a store."""

from cactustiller.cell.engine import Engine
from cactustiller.cell.runs import JobRun, RunPhase, encode_progress
from cactustiller.cell.workers import WorkerInfo
from cactustiller.model import Amounts, WorkerId
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


def test_stored_runs_take_room_before_their_worker_answers():
    engine = make_engine()
    load_running_job(engine, 1, "w1")
    engine.update_workers(make_infos(2))
    assert engine.workers["w1"].free_cpu == 30_000
    assert engine.workers["w0"].free_cpu == 32_000
    assert engine.workers["w1"].lease_ends_at > NOW + 15


def test_a_worker_that_is_not_listed_keeps_its_runs():
    engine = make_engine()
    load_running_job(engine, 1, "gone")
    engine.update_workers(make_infos(2))
    engine.adopt_missing_workers()
    assert len(engine.workers["gone"].runs) == 2
    assert not engine.workers["gone"].is_listed


def test_many_workers_are_taken_without_a_pass_over_all_jobs(monkeypatch):
    # At 176 workers a pass over 1,500 jobs for each took longer than a takeover, so
    # one owner after another gave up.
    engine = make_engine()
    for number in range(1, 51):
        load_running_job(engine, number, f"w{number}")
    passes = []
    walk = JobRun.iterate_steps
    monkeypatch.setattr(
        JobRun, "iterate_steps", lambda job: passes.append(job) or walk(job)
    )
    engine.update_workers(make_infos(100))
    engine.adopt_missing_workers()
    assert passes == []
    assert sum(len(worker.runs) for worker in engine.workers.values()) == 100
