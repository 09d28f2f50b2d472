"""Jobs and tasks of a home as read from their rows.

A job is set aside if its row or that of one of its tasks is malformed: without the row,
a task that may be running would be placed again.
"""

from typing import NamedTuple

from cactustiller.model import JobRecord, TaskRecord
from cactustiller.ports import decode_rows, report_unreadable

from .recorder import job_row_key, task_row_key


class LoadedJobs(NamedTuple):
    """Jobs with their tasks, and the key of an unreadable row by job set aside."""

    jobs: list
    unreadable: dict


def load_jobs(home, job_rows, task_rows):
    """Return the `LoadedJobs` of a home; malformed rows are logged one by one."""
    step = f"recover {home}"
    records, bad_jobs = decode_rows(
        job_rows, JobRecord, step, lambda record: job_row_key(home, record.job)
    )
    tasks, bad_tasks = decode_rows(
        task_rows,
        TaskRecord,
        step,
        lambda task: task_row_key(home, task.job, task.index),
    )
    unreadable = {_find_job(row.key): row.key for row in bad_jobs + bad_tasks}
    by_job = {}
    for task in tasks:
        by_job.setdefault(task.job, []).append(task)
    jobs = []
    for record in records:
        found = by_job.get(record.job, [])
        for task in found:
            reason = _find_fault(task, record)
            if reason:
                key = task_row_key(home, task.job, task.index)
                report_unreadable(key, step, reason)
                unreadable[record.job] = key
        if record.job not in unreadable:
            jobs.append((record, found))
    return LoadedJobs(jobs, unreadable)


def _find_job(key):
    """Return the job in the key of a job's or a task's row."""
    return "/".join(key.split("/")[2:3])


def _find_fault(task, record):
    """Return why a task's record cannot belong to its job, or an empty string."""
    if not 0 <= task.index < record.spec.task_count:
        return f"index: the job has {record.spec.task_count} tasks"
    if task.state.holds_capacity and not (task.worker and task.shard and task.attempt):
        return "the task holds capacity without worker, shard and attempt"
    return ""
