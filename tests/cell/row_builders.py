"""Builders of jobs whose progress is large."""

from dataclasses import replace

from cactustiller.cell.owner.row_groups import find_progress_limits
from cactustiller.cell.ports import Row
from cactustiller.cell.records.progress import decode_progress
from cactustiller.cell.records.progress_rows import (
    ProgressRows,
    make_progress_puts,
)
from cactustiller.cell.records.runs import JobRun, RunPhase
from cactustiller.cell.records.specs import MAX_TASKS_PER_JOB
from cactustiller.model import WorkerId
from standins.fleet import make_job


def make_running_job(occurrences=1, steps=1, checkpoint="", worker="w{}", **step):
    """Return a job of the most tasks, all of which run, and have failed before.

    Parameters
    ----------
    checkpoint, worker : str
        Texts in which ``{}`` stands for the number of the task.
    """
    count = MAX_TASKS_PER_JOB // (occurrences * steps)
    spec = make_job(count=count, **step)
    repeat_count = occurrences if occurrences > 1 else 0
    job = JobRun(replace(spec, steps=spec.steps * steps, repeat_count=repeat_count))
    number = 0
    for occurrence in range(occurrences):
        for step_run in job.open_occurrence(occurrence):
            step_run.pending_count = 0
            for task in step_run.tasks:
                number += 1
                task.phase, task.run, task.failures = RunPhase.RUNNING, 12, 3
                task.worker = WorkerId(worker.format(number))
                task.checkpoint = checkpoint.format(number)
                task.incarnation = 1_780_000_000_000 + number
    return job


def make_puts(job, max_row_bytes):
    """Return the rows with which an owner stores a job's progress."""
    return make_progress_puts(job, *find_progress_limits(max_row_bytes))


def apply_puts(rows, puts):
    """Apply puts to a dict of the rows in a store."""
    for key, value in puts.items():
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = value


def read_back(job, rows):
    """Return the job that the next owner makes of the rows in a store."""
    stored = ProgressRows(Row(key, value, 1) for key, value in rows.items())
    data, count = stored.find(job.spec.job)
    decoded = decode_progress(job.spec, data)
    decoded.further_rows = count
    return decoded


def list_runs(job):
    """Return the runs of a job's tasks as the store knows them."""
    return [
        (task.name, task.run, task.failures, task.worker, task.checkpoint)
        for step in job.iterate_steps()
        for task in step.tasks
    ]
