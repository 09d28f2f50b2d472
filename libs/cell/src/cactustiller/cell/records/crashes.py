"""Attribution of worker crashes to tasks, and what follows for them; no I/O.

Answers tasks that crash each worker that starts them, beside many that do not. The runs
started shortly before a crash become suspects. Suspects are started again one at a time
for each step, on workers where nothing else starts meanwhile, so that the next crash
has one cause. The job of a task that caused two crashes is given up; the other suspects
are cleared as soon as they run for longer than the probation.
"""

from typing import NamedTuple

from .runs import JobRun, TaskRun
from .workers import WorkerLoss

# A run is a suspect if its worker crashed within this time from its start, and proven
# if its worker reported it as running later than that.
PROBATION_SECONDS = 0.5
# Crashes after which a task is given up, if it was the cause of the last one, or
# whatever caused them. Callers are promised at most two starts after three crashes.
ATTRIBUTED_CRASHES_TO_GIVE_UP = 2
CRASHES_TO_GIVE_UP = 4


class CrashReport(NamedTuple):
    """Outcome of `charge_crash`.

    Attributes
    ----------
    suspects : list of TaskRun
        Tasks that were started shortly before the crash.
    culprit : TaskRun or None
        Task that caused the crash, if that is known.
    failed_jobs : list of JobRun
        Jobs with a task to give up.
    charged : list of TaskRun
        Tasks that count the crash.
    """

    suspects: list[TaskRun]
    culprit: TaskRun | None
    failed_jobs: list[JobRun]
    charged: list[TaskRun]


def is_crash(worker, loss):
    """Return whether a loss of a worker's runs may have been caused by one of them.

    A draining worker exits on its own, and a silent one that is still listed runs on.
    """
    is_gone = loss in (WorkerLoss.RESTARTED, WorkerLoss.GONE)
    return is_gone and not worker.info.is_draining


def charge_crash(worker, tasks):
    """Charge a worker's crash to the tasks whose runs it had.

    Parameters
    ----------
    worker : Worker
    tasks : list of TaskRun
        Tasks whose latest run was lost with the worker.

    Returns
    -------
    CrashReport
    """
    isolated = [task for task in tasks if task.is_isolated and task.start_sent_at]
    if isolated:
        # Nothing was started on the worker after these, so one of them is the cause.
        suspects, charged = isolated, isolated
    else:
        suspects = [task for task in tasks if _is_fresh(task, worker)]
        charged = tasks
    for task in charged:
        task.crashes += 1
    for task in suspects:
        task.start_crashes += 1
        task.step.suspects.add(task)
    is_certain = len({task.step.job.spec.job for task in isolated}) == 1
    failed = {
        task.step.job.spec.job: task.step.job
        for task in charged
        if _is_given_up(task, is_certain)
    }
    culprit = isolated[0] if is_certain else None
    return CrashReport(suspects, culprit, list(failed.values()), charged)


def _is_given_up(task, is_certain):
    # A service meets crashes that it did not cause for as long as it lives.
    if task.crashes >= CRASHES_TO_GIVE_UP and not task.step.spec.is_service:
        return True
    return is_certain and task.start_crashes >= ATTRIBUTED_CRASHES_TO_GIVE_UP


def _is_fresh(task, worker):
    """Return whether a run was started shortly before its worker was last alive."""
    if not task.is_start_sent:
        return False
    if not task.start_sent_at:
        # A previous owner sent the start, and the worker has not reported the run.
        return not task.started_at
    return task.start_sent_at > worker.alive_at - PROBATION_SECONDS


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
        for name in ("failures", "crashes", "start_crashes")
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
        task.start_crashes = 0
        task.step.suspects.discard(task)
