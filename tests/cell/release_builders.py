"""Builders of an engine with one run on a worker, and of reports about it."""

from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.listings import ListedEnd, ListedRun, Listing
from cactustiller.cell.records.runs import RunEnd, RunPhase
from standins.fleet import make_job
from tests.cell.builders import make_worker

FORMER_BORN_MS = 5000
BORN_MS = 9000
START_SENT_AT = 90.0
NOW = 100.0


def make_sent_run(is_reported=False, is_confirmed=False, now=NOW):
    """Return an engine, its worker and a task whose start was sent there.

    Parameters
    ----------
    is_reported : bool
        The worker has listed the run.
    is_confirmed : bool
        The start was answered.
    """
    engine = Engine(lambda: now, lambda: 1000)
    worker = make_worker("w0", born_ms=FORMER_BORN_MS, alive_at=START_SENT_AT)
    engine.workers["w0"] = worker
    engine.add_job(make_job())
    (step,) = engine.find_eligible_steps()
    task = step.tasks[0]
    task.phase, task.worker, task.run = RunPhase.ASSIGNED, worker.info.worker, 1
    task.incarnation = FORMER_BORN_MS
    task.is_start_sent, task.start_sent_at = True, START_SENT_AT
    step.pending_count -= 1
    engine._add_run(worker, task)
    if is_confirmed:
        engine.confirm_start(task, 1, START_SENT_AT)
    if is_reported:
        report = list_runs(task, born_ms=FORMER_BORN_MS)
        engine.apply_listing(worker, report, START_SENT_AT, START_SENT_AT)
    return engine, worker, task


def list_runs(*tasks, born_ms=BORN_MS):
    """Return a report of active runs."""
    active = tuple(ListedRun(task.name, task.run, "", 0, 0) for task in tasks)
    return Listing(1, born_ms, active, ())


def list_end(task, end=RunEnd.DONE, number=1, born_ms=BORN_MS):
    """Return a report of one end."""
    return Listing(1, born_ms, (), (ListedEnd(number, task.name, task.run, end, ""),))
