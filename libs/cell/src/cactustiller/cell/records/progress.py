"""Stored form of the progress of jobs: one row for each job."""

import orjson

from cactustiller.model import JobState, WorkerId

from .copies import decode_copies, encode_copies
from .runs import JobRun, RunPhase

# Rows of earlier releases, and of jobs that need no more, end after these fields.
FIELDS_WITHOUT_CRASHES = 5
# Copies are an entry among the incarnations, since the previous release ignores unknown
# keys there but rejects rows with more fields. No worker has this id.
COPIES_KEY = "*copies"
# Progress rows hold the position of the state in this tuple.
STATES = (
    JobState.WAITING,
    JobState.RUNNING,
    JobState.SUCCEEDED,
    JobState.FAILED,
    JobState.CANCELLED,
)


def encode_progress(job, has_checkpoints=True):
    """Return the encoded progress of a job, with or without checkpoints.

    That of a final job holds only its state and end.
    """
    if job.state.is_final:
        return orjson.dumps([STATES.index(job.state), job.ended_ms])
    occurrences = [
        [
            number,
            [
                [step.last_failed_run, _encode_tasks(step, has_checkpoints)]
                for step in steps
            ],
        ]
        for number, steps in job.occurrences.items()
    ]
    fields = [
        STATES.index(job.state),
        job.ended_ms,
        job.finished_occurrences,
        int(job.has_started),
        occurrences,
    ]
    crashes, incarnations = _encode_crashes(job), _encode_incarnations(job)
    copies = encode_copies(job)
    if copies:
        incarnations[COPIES_KEY] = copies
    if crashes or incarnations:
        # Earlier releases ignore these fields.
        fields += [crashes, incarnations]
    return orjson.dumps(fields)


def _encode_crashes(job):
    """Encode the tasks that met crashes as position and counts."""
    return [
        [number, position, task.index, task.crashes, task.charges]
        for number, steps in job.occurrences.items()
        for position, step in enumerate(steps)
        for task in step.tasks
        if task.crashes and task.phase is not RunPhase.SUCCEEDED
    ]


def _encode_incarnations(job):
    """Encode the start of each worker process that may have runs of the job."""
    return {
        run.worker: run.incarnation
        for step in job.iterate_steps()
        for run in step.iterate_runs()
        if run.holds_capacity and run.incarnation
    }


def _encode_tasks(step, has_checkpoints):
    """Encode each task as 0 (no run yet), 1 (succeeded) or the fields of its run."""
    tasks = []
    for task in step.tasks:
        if task.phase is RunPhase.SUCCEEDED:
            tasks.append(1)
        elif not task.run:
            tasks.append(0)
        else:
            checkpoint = task.checkpoint if has_checkpoints else ""
            tasks.append([task.run, task.failures, task.worker, checkpoint])
    return tasks


def decode_state(data):
    """Return the `JobState` in the first progress row of a job."""
    return STATES[orjson.loads(data)[0]]


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
        job = JobRun(spec, state=STATES[fields[0]], ended_ms=fields[1])
        if job.state.is_final:
            return job
        job.finished_occurrences = fields[2]
        job.has_started = bool(fields[3])
        for number, steps in fields[4]:
            _decode_steps(job, job.open_occurrence(number), steps)
        if len(fields) > FIELDS_WITHOUT_CRASHES:
            _decode_crashes(job, *fields[FIELDS_WITHOUT_CRASHES:])
        return job
    except (TypeError, ValueError, LookupError, AttributeError) as error:
        raise ValueError(f"invalid progress of job {spec.job}: {error}") from error


def _decode_crashes(job, crashes, incarnations):
    for number, position, index, count, start_count in crashes:
        task = job.occurrences[number][position].tasks[index]
        task.crashes, task.charges = count, start_count
        if start_count:
            task.step.suspects.add(task)
    decode_copies(job, incarnations.get(COPIES_KEY, ()))
    for step in job.iterate_steps():
        for run in step.iterate_runs():
            run.incarnation = incarnations.get(run.worker, 0)


def _decode_steps(job, steps, rows):
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
        if step.is_done:
            job.complete_step(step)
