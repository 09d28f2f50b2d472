"""Progress of a job: occurrences, steps and the runs of their tasks."""

from dataclasses import dataclass, field
from enum import Enum

import orjson

from cactustiller.model import JobState, WorkerId

from .specs import JobSpec, StepSpec


class RunPhase(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    SUCCEEDED = "succeeded"


class RunEnd(Enum):
    """How a run ended, as its worker lists it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "gangBroken"
    GANG_INCOMPLETE = "gangIncomplete"


@dataclass(slots=True, eq=False)
class TaskRun:
    """Task with its latest run.

    Attributes
    ----------
    run : int
        Number of the latest run; 0 before the first.
    worker : WorkerId
        Worker where the latest run may be; empty where it surely is not.
    is_sent : bool
        The start was sent, perhaps without an answer.
    is_unanswered : bool
        The start got no answer, so it may still be carried out.
    is_stopping : bool
        The run is to be stopped.
    stopped_at : float
        When its worker answered a stop; 0 before that.
    progress, progressed_at : int, float
        Last percentage listed, and when it last rose.
    tail : float
        Latest tail latency of a serving task, as a part of its target.
    pace : int or None
        Percent that the worker was told for a filling task; None where unknown.
    paced_at : float
        When its worker was told a pace last.
    """

    step: "StepRun"
    index: int
    name: str
    phase: RunPhase = RunPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: WorkerId = WorkerId("")
    checkpoint: str = ""
    is_start_sent: bool = False
    is_start_unanswered: bool = False
    is_stopping: bool = False
    stop_acked_at: float = 0.0
    started_at: float = 0.0
    progress: int = -1
    progressed_at: float = 0.0
    ticket: str = ""
    latency_ratio: float = 0.0
    pace: int | None = None
    pace_sent_at: float = float("-inf")

    @property
    def holds_capacity(self):
        """Whether a run may be on a worker."""
        return self.phase in (RunPhase.ASSIGNED, RunPhase.RUNNING)


@dataclass(slots=True, eq=False)
class StepRun:
    """Step of one occurrence of a job.

    Attributes
    ----------
    failed_run : int
        Latest run of a gang that counted as a failed attempt.
    approved : dict of WorkerId to str, or None
        Tickets by worker; None before the first answer.
    approved_until : dict of WorkerId to float
        Time until which each ticket is valid.
    is_asking : bool
        A call for approval is on its way.
    failed_on : set of WorkerId
        Workers where a run failed or stood still; others go first.
    preempts_at : float
        Earliest time at which others are preempted for it again.
    asked : set of WorkerId
        Workers named in calls so far; the answer for a worker never changes.
    """

    job: "JobRun"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[TaskRun] = field(default_factory=list)
    pending_count: int = 0
    succeeded_count: int = 0
    last_failed_run: int = 0
    approved: dict | None = None
    approved_until: dict = field(default_factory=dict)
    has_approval_call: bool = False
    asked_workers: set = field(default_factory=set)
    eligible_at: float = 0.0
    retry_at: float = 0.0
    failed_on: set = field(default_factory=set)
    next_preemption_at: float = 0.0

    @property
    def name(self):
        """Name under which approval is asked."""
        return f"{self.job.spec.job}.{self.occurrence}.{self.number}"

    @property
    def is_done(self):
        """Whether all tasks have succeeded."""
        return self.succeeded_count == self.spec.count


@dataclass(slots=True, eq=False)
class JobRun:
    """Accepted job with its progress.

    Attributes
    ----------
    occurrences : dict of int to list of StepRun
        Those that are due and not all done, and those before them.
    has_started : bool
        A task has started.
    ended_ms : int
        Unix milliseconds of its end; 0 before it.
    """

    spec: JobSpec
    state: JobState = JobState.WAITING
    occurrences: dict = field(default_factory=dict)
    finished_occurrences: int = 0
    has_started: bool = False
    ended_ms: int = 0
    is_over_share: bool = False

    def open_occurrence(self, number):
        """Create the steps of an occurrence that is due."""
        steps = []
        for position, spec in enumerate(self.spec.steps):
            step = StepRun(self, number, position, spec, pending_count=spec.count)
            prefix = f"{self.spec.job}.{number}.{position}."
            step.tasks = [
                TaskRun(step, index, f"{prefix}{index}") for index in range(spec.count)
            ]
            steps.append(step)
        self.occurrences[number] = steps
        return steps

    def find_task(self, name):
        """Return the task of a name, or None."""
        try:
            _, number, position, index = name.split(".")
            return self.occurrences[int(number)][int(position)].tasks[int(index)]
        except (KeyError, IndexError, ValueError):
            return None

    def iterate_steps(self):
        """Yield every step of the open occurrences."""
        for steps in self.occurrences.values():
            yield from steps

    def find_eligible(self):
        """Return the steps with waiting tasks whose earlier steps are done."""
        return [
            step
            for steps in self.occurrences.values()
            for step in steps
            if step.pending_count and all(steps[i].is_done for i in step.spec.after)
        ]

    def is_complete(self):
        """Return whether every task of every occurrence has succeeded."""
        expected = max(1, self.spec.repeat_count)
        return self.finished_occurrences == expected

    def close_finished(self):
        """Drop the occurrences whose steps are all done."""
        for number in list(self.occurrences):
            if all(step.is_done for step in self.occurrences[number]):
                del self.occurrences[number]
                self.finished_occurrences += 1


_STATES = (
    JobState.WAITING,
    JobState.RUNNING,
    JobState.SUCCEEDED,
    JobState.FAILED,
    JobState.CANCELLED,
)


def encode_progress(job):
    """Return the text of a job's progress row."""
    if job.state.is_final:
        return orjson.dumps([_STATES.index(job.state), job.ended_ms])
    occurrences = [
        [number, [[step.last_failed_run, _encode_tasks(step)] for step in steps]]
        for number, steps in job.occurrences.items()
    ]
    fields = [_STATES.index(job.state), job.ended_ms, job.finished_occurrences]
    return orjson.dumps([*fields, int(job.has_started), occurrences])


def _encode_tasks(step):
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

    Tasks with a worker come back as assigned: only the worker can tell more.

    Raises
    ------
    ValueError
        If the row is not one that `encode_progress` wrote.
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
        raise ValueError(f"progress of job {spec.job}: {error}") from error


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
