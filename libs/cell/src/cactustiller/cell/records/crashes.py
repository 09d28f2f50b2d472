"""Attribution of worker crashes to tasks, and what follows for them; no I/O.

Answers tasks that crash each worker that starts them, beside workers that crash by
chance. A crash is evidence against a task only if it was seen to follow the start: the
worker answered the start, or had just answered another call, and its connections broke
shortly afterwards. The runs for which this holds become suspects. Suspects are started
again one at a time for each step, on workers where nothing else starts meanwhile, so
that the next crash has one cause. The job of a task with enough evidence against it is
given up; suspects are cleared as soon as they run for longer than the probation. All
other losses, however many, never fail a job.
"""

from enum import StrEnum
from typing import NamedTuple

from .runs import JobRun, TaskRun
from .workers import WorkerLoss

# A suspect is cleared if its worker reported it as running later than this after its
# start.
PROBATION_SECONDS = 0.5
# Time from sending a start to the break of connections within which the run may have
# been the cause. A task that crashes its worker does so 10 ms after its start, and
# the break shows 10 to 28 ms after sending; the rest is for owners that notice late.
MAX_CRASH_SECONDS = 0.1
# Crashes charged to a task after which its job is given up. Of the first, other runs
# may have been the cause. While workers crash by chance, one more is needed, since two
# such crashes may happen near starts of one task. Callers are promised at most two
# starts after three crashes.
CHARGES_TO_GIVE_UP = 2
CHARGES_TO_GIVE_UP_AMONG_CHANCE_CRASHES = 3
# Workers count as crashing by chance for this time after a crash not due to a start.
CHANCE_CRASH_SECONDS = 30.0


class Doubt(StrEnum):
    """Why a crash is no evidence against a run."""

    BREAK_UNSEEN = "break unseen"
    NOT_SENT = "not sent"
    PREVIOUS_OWNER = "start of a previous owner"
    STARTED_EARLIER = "started earlier"
    START_UNANSWERED = "start unanswered"


# Of the others, nobody knows whether the run was the cause.
CERTAIN_DOUBTS = frozenset({Doubt.BREAK_UNSEEN, Doubt.STARTED_EARLIER})


class CrashReport(NamedTuple):
    """Outcome of `charge_crash`.

    Attributes
    ----------
    suspects : list of TaskRun
        Tasks that the crash is evidence against.
    culprit : TaskRun or None
        Task that caused the crash, if only one job's can have.
    failed_jobs : list of JobRun
        Jobs with a task to give up.
    doubts : dict of TaskRun to Doubt
        The other tasks, and why they are not charged.
    is_chance : bool
        No start can have caused the crash.
    """

    suspects: list[TaskRun]
    culprit: TaskRun | None
    failed_jobs: list[JobRun]
    doubts: dict[TaskRun, Doubt]
    is_chance: bool


def is_crash(worker, loss):
    """Return whether a loss of a worker's runs may have been caused by one of them.

    A draining worker exits on its own, and a silent one that is still listed runs on.
    """
    is_gone = loss in (WorkerLoss.RESTARTED, WorkerLoss.GONE)
    return is_gone and not worker.info.is_draining


def find_charges_to_give_up(chance_crash_at, now):
    """Return the charges after which a job is given up.

    `chance_crash_at` is the time of the last crash that no start explains.
    """
    if now < chance_crash_at + CHANCE_CRASH_SECONDS:
        return CHARGES_TO_GIVE_UP_AMONG_CHANCE_CRASHES
    return CHARGES_TO_GIVE_UP


def charge_crash(worker, tasks, charges_to_give_up=CHARGES_TO_GIVE_UP):
    """Charge a worker's crash to the tasks that it is evidence against.

    Parameters
    ----------
    worker : Worker
    tasks : list of TaskRun
        Tasks whose latest run was lost with the worker.

    Returns
    -------
    CrashReport
    """
    found = {task: _find_doubt(task, worker) for task in tasks}
    suspects = [task for task, doubt in found.items() if doubt is None]
    jobs = {task.step.job.spec.job for task in suspects}
    is_certain = len(jobs) == 1
    for task in tasks:
        task.crashes += 1
    for task in suspects:
        # A task that is beside the cause more than once is not charged again.
        task.charges = task.charges + 1 if is_certain else max(task.charges, 1)
        task.step.suspects.add(task)
    is_given_up = any(task.charges >= charges_to_give_up for task in suspects)
    return CrashReport(
        suspects,
        suspects[0] if is_certain else None,
        [suspects[0].step.job] if is_certain and is_given_up else [],
        {task: doubt for task, doubt in found.items() if doubt is not None},
        is_chance=CERTAIN_DOUBTS.issuperset(found.values()),
    )


def _find_doubt(task, worker):
    """Return why the crash is no evidence against a run, or None if it is."""
    if not worker.broke_at:
        return Doubt.BREAK_UNSEEN
    if not task.is_start_sent or task.start_sent_at > worker.broke_at:
        return Doubt.NOT_SENT
    if not task.start_sent_at:
        return Doubt.PREVIOUS_OWNER
    if task.start_sent_at < worker.broke_at - MAX_CRASH_SECONDS:
        return Doubt.STARTED_EARLIER
    # The worker may have crashed before an unanswered start reached it.
    was_alive = worker.alive_at >= task.start_sent_at - MAX_CRASH_SECONDS
    if not task.started_at and not was_alive:
        return Doubt.START_UNANSWERED
    return None


def describe_crash(worker, loss, now):
    """Return how the end of a worker was observed, as fields of a log line.

    Times are seconds before `now`, event loop time; None if there was no such moment.
    """
    if worker.broke_at:
        observed = "connection broke"
    elif loss is WorkerLoss.RESTARTED:
        observed = "restart seen"
    else:
        observed = "silence"
    return {
        "observed": observed,
        "broke_seconds": _find_age(worker.broke_at, now),
        "alive_seconds": _find_age(worker.alive_at, now),
    }


def _find_age(moment, now):
    return round(now - moment, 3) if moment else None


def count_losses(job):
    """Return the highest counts of a job's tasks, as fields of a log line."""
    tasks = [task for step in job.iterate_steps() for task in step.iterate_runs()]
    return {
        name: max((getattr(task, name) for task in tasks), default=0)
        for name in ("failures", "crashes", "charges")
    }


def prove_run(task, sent_at):
    """Clear a suspect whose worker reports its run past the probation.

    Parameters
    ----------
    task : TaskRun
    sent_at : float
        Event loop time at which the report was requested.
    """
    if sent_at >= task.start_sent_at + PROBATION_SECONDS:
        task.charges = 0
        task.step.suspects.discard(task)
