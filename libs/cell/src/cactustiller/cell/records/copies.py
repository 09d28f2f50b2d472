"""Copies of tasks: second runs of the same task on another worker; no I/O.

A copy is a `TaskRun` with the name and step of its task and a run of its own. Workers'
reports and the engine handle it like the run of any task, until it ends: `settle_done`,
`drop_copy` and `promote_copy` are what its end, or that of the first run, means for the
task.
"""

from enum import StrEnum

from cactustiller.model import WorkerId

from ..reporting.events import Event, log_event
from .runs import RunPhase, TaskRun


class CopyOutcome(StrEnum):
    """What became of a copy."""

    WON = "won"
    LOST = "lost"
    ENDED = "ended"
    PROMOTED = "promoted"


def make_copy(task):
    """Return a new copy of a task, without a run, and attach it to the task."""
    copy = TaskRun(
        task.step,
        task.index,
        task.name,
        failures=task.failures,
        checkpoint=task.checkpoint,
        crashes=task.crashes,
        original=task,
    )
    task.copy = copy
    return copy


def find_next_run(task):
    """Return the next run number of a task or copy, higher than all earlier ones."""
    owner = task.original or task
    return max(owner.run, owner.copy_run) + 1


def settle_done(run):
    """Return the task that a successful run completes, and the `CopyOutcome` or None.

    The other run of the task is marked to be stopped and counts as succeeded, so that
    its end changes nothing. Its capacity is released when its worker reports the end.
    """
    task = run.original or run
    copy = task.copy
    if copy is None:
        return task, None
    other = copy if run is task else task
    other.is_stopping = True
    copy.phase = RunPhase.SUCCEEDED
    task.copy = None
    outcome = CopyOutcome.LOST if run is task else CopyOutcome.WON
    _log_settled(copy, outcome)
    return task, outcome


def drop_copy(copy):
    """Detach a copy whose run has certainly ended; the first run goes on."""
    task = copy.original
    task.copy = None
    task.has_had_copy |= bool(copy.started_at)
    task.crashes = max(task.crashes, copy.crashes)
    task.step.suspects.discard(copy)
    copy.phase, copy.worker = RunPhase.WAITING, WorkerId("")
    _log_settled(copy, CopyOutcome.ENDED)
    return CopyOutcome.ENDED


def promote_copy(task):
    """Make a copy the run of its task, after the first run has certainly ended.

    The copy replaces the task in its step, so that orders in flight for it stay valid
    and those for the first run change nothing.
    """
    copy, step = task.copy, task.step
    copy.original = None
    copy.copy_run = task.copy_run
    copy.failures = task.failures
    copy.crashes, copy.charges = task.crashes, task.charges
    if task.progress > copy.progress and task.checkpoint:
        copy.checkpoint = task.checkpoint
    if task in step.suspects:
        step.suspects.discard(task)
        step.suspects.add(copy)
    step.tasks[task.index] = copy
    task.copy = None
    task.phase, task.worker = RunPhase.WAITING, WorkerId("")
    _log_settled(copy, CopyOutcome.PROMOTED)
    return CopyOutcome.PROMOTED


def encode_copies(job):
    """Encode each copy as position, run number and worker.

    A copy that has ended has no worker; its number must not be used again.
    """
    return [
        [number, position, task.index, task.copy_run, _find_worker(task)]
        for number, steps in job.occurrences.items()
        for position, step in enumerate(steps)
        for task in step.tasks
        if task.phase is not RunPhase.SUCCEEDED and task.copy_run > task.run
    ]


def decode_copies(job, entries):
    """Restore what `encode_copies` returned; a copy may or may not have started."""
    for number, position, index, run, worker in entries:
        task = job.occurrences[number][position].tasks[index]
        task.copy_run = run
        if worker and task.holds_capacity:
            copy = make_copy(task)
            copy.run, copy.worker = run, WorkerId(worker)
            copy.phase, copy.is_start_sent = RunPhase.ASSIGNED, True


def _find_worker(task):
    return task.copy.worker if task.copy is not None else ""


def _log_settled(copy, outcome):
    log_event(
        Event.COPY_SETTLED,
        job=copy.step.job.spec.job,
        task=copy.name,
        run=copy.run,
        worker=copy.worker,
        outcome=outcome.value,
    )
