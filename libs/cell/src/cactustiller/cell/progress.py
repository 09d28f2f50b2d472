"""Stored form of the progress of jobs: one row for each job."""

import orjson

from cactustiller.model import JobState, WorkerId

from .runs import JobRun, RunPhase

# Progress rows hold the position of the state in this tuple.
_STATES = (
    JobState.WAITING,
    JobState.RUNNING,
    JobState.SUCCEEDED,
    JobState.FAILED,
    JobState.CANCELLED,
)


def encode_progress(job):
    """Return the encoded progress row of a job.

    The row of a final job holds only its state and end.
    """
    if job.state.is_final:
        return orjson.dumps([_STATES.index(job.state), job.ended_ms])
    occurrences = [
        [number, [[step.last_failed_run, _encode_tasks(step)] for step in steps]]
        for number, steps in job.occurrences.items()
    ]
    fields = [_STATES.index(job.state), job.ended_ms, job.finished_occurrences]
    return orjson.dumps([*fields, int(job.has_started), occurrences])


def _encode_tasks(step):
    """Encode each task as 0 (no run yet), 1 (succeeded) or the fields of its run."""
    tasks = []
    for task in step.tasks:
        if task.phase is RunPhase.SUCCEEDED:
            tasks.append(1)
        elif not task.run:
            tasks.append(0)
        else:
            tasks.append([task.run, task.failures, task.worker, task.checkpoint])
    return tasks


def decode_state(data):
    """Return the `JobState` in a progress row."""
    return _STATES[orjson.loads(data)[0]]


def decode_progress(spec, data):
    """Return the `JobRun` of a spec and its progress row.

    Tasks with a worker are restored as assigned, since the row does not state whether
    they run; the worker's report does.

    Raises
    ------
    ValueError
        If the row was not written by `encode_progress`.
    """
    try:
        fields = orjson.loads(data)
        job = JobRun(spec, state=_STATES[fields[0]], ended_ms=fields[1])
        if job.state.is_final:
            return job
        job.finished_occurrences = fields[2]
        job.has_started = bool(fields[3])
        for number, steps in fields[4]:
            _decode_steps(job.open_occurrence(number), steps)
        return job
    except (TypeError, ValueError, IndexError) as error:
        raise ValueError(f"invalid progress of job {spec.job}: {error}") from error


def _decode_steps(steps, rows):
    for step, (last_failed_run, tasks) in zip(steps, rows, strict=True):
        step.last_failed_run = last_failed_run
        for task, fields in zip(step.tasks, tasks, strict=True):
            if fields == 0:
                continue
            step.pending_count -= 1
            if fields == 1:
                task.phase = RunPhase.SUCCEEDED
                step.succeeded_count += 1
                continue
            task.run, task.failures, worker, task.checkpoint = fields
            task.worker = WorkerId(worker)
            if worker:
                task.phase = RunPhase.ASSIGNED
                task.is_start_sent = True
            else:
                step.pending_count += 1
