"""Progress of jobs: occurrences, steps and task runs.

A job has one occurrence of its steps, or several if it recurs. A step is a number of
identical tasks, and a run is one attempt to execute a task on a worker.
"""

from dataclasses import dataclass, field
from enum import Enum

from cactustiller.model import JobState, WorkerId

from .specs import JobSpec, StepSpec
from .step_graph import StepGraph, build_step_graph


class RunPhase(Enum):
    """Phase of a task's latest run.

    A waiting task is pending: it has no run on a worker. An assigned run has been
    placed; a running one has been accepted by its worker.
    """

    WAITING = "waiting"
    ASSIGNED = "assigned"
    RUNNING = "running"
    SUCCEEDED = "succeeded"


class RunEnd(Enum):
    """How a run ended, as reported by its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "gangBroken"
    GANG_INCOMPLETE = "gangIncomplete"


@dataclass(slots=True, eq=False)
class TaskRun:
    """Task and the state of its latest run; times are event loop seconds.

    Attributes
    ----------
    run : int
        Number of the latest run; 0 before the first.
    failures : int
        Failed runs so far.
    worker : WorkerId
        Worker where the latest run may be; empty if it is certainly on none.
    checkpoint : str
        Latest checkpoint reported, from which the next run resumes.
    incarnation : int
        Start of the worker process that the latest run was placed on, in Unix
        milliseconds; 0 if unknown.
    crashes, charges : int
        Workers that crashed while they had a run of the task, and those crashes that
        are evidence against it since it was last proven.
    is_start_sent : bool
        The start was sent and may be unanswered.
    start_sent_at : float
        When the start was sent; 0 if a previous owner sent it.
    is_start_unanswered : bool
        The start got no answer, so it may still be carried out.
    is_stopping : bool
        The run is to be stopped.
    stop_acked_at : float
        When the worker acknowledged a stop; 0 before that.
    started_at : float
        When the run was first known to be running; 0 before that.
    progress, progressed_at : int, float
        Last reported percentage, -1 before the first, and when it last increased.
    ticket : str
        Approval ticket sent with the start; empty if none is needed.
    latency_ratio : float
        Latest tail latency of a serving task, divided by its target.
    pace : int or None
        Last acknowledged speed limit, in percent, of a filling task, which uses the
        spare CPU beside serving tasks; None if unknown.
    pace_sent_at : float
        When a pace was last sent.
    copy : TaskRun or None
        Second run of the same task on another worker, which has the same name.
    original : TaskRun or None
        Task of which this is a copy; None for a task.
    copy_run : int
        Highest run number of any copy; 0 before the first.
    has_had_copy : bool
        The latest run had a copy that ran and has ended.
    """

    step: "StepRun"
    index: int
    name: str
    phase: RunPhase = RunPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: WorkerId = WorkerId("")
    checkpoint: str = ""
    incarnation: int = 0
    crashes: int = 0
    charges: int = 0
    is_start_sent: bool = False
    start_sent_at: float = 0.0
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
    copy: "TaskRun | None" = None
    original: "TaskRun | None" = None
    copy_run: int = 0
    has_had_copy: bool = False

    @property
    def holds_capacity(self):
        """Whether a run may use capacity on a worker."""
        return self.phase in (RunPhase.ASSIGNED, RunPhase.RUNNING)

    @property
    def is_reported(self):
        """Whether its worker has listed the run as active."""
        return self.progress >= 0

    @property
    def is_isolated(self):
        """Whether nothing else is started on the worker of the run for now."""
        return self.holds_capacity and self in self.step.suspects


@dataclass(slots=True, eq=False)
class StepRun:
    """Step of one occurrence of a job.

    Attributes
    ----------
    pending_count : int
        Number of tasks to be placed.
    blocker_count : int
        Number of earlier steps to be done before this one is eligible.
    last_failed_run : int
        Latest run of a gang that counted as a failed attempt.
    broken_run : int
        Latest run of a gang of which the members are stopped, since one has ended.
    approved : dict of WorkerId to str, or None
        Approval tickets by worker; None before the first answer.
    approved_until : dict of WorkerId to float
        Event loop time until which each ticket is valid.
    has_approval_call : bool
        An approval call is in flight.
    asked_workers : set of WorkerId
        Workers named in approval calls so far. A refusal of a worker is final.
    preferred_workers : set of WorkerId
        Workers to name first in the next approval call.
    eligible_at : float
        Event loop time at which the step became eligible.
    eligible_number : int
        Number that rises with each step that becomes eligible.
    retry_at : float
        Event loop time before which the step is not placed again.
    failed_on : set of WorkerId
        Workers on which a run of the step failed or stalled; others are preferred.
    next_preemption_at : float
        Event loop time before which no other runs are preempted for the step.
    suspects : set of TaskRun
        Tasks that may have crashed their workers and are started apart.
    run_seconds : list of float
        Run times of tasks that succeeded, if the step allows copies.
    """

    job: "JobRun"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[TaskRun] = field(default_factory=list)
    pending_count: int = 0
    succeeded_count: int = 0
    blocker_count: int = 0
    last_failed_run: int = 0
    broken_run: int = 0
    approved: dict | None = None
    approved_until: dict = field(default_factory=dict)
    has_approval_call: bool = False
    asked_workers: set = field(default_factory=set)
    preferred_workers: set = field(default_factory=set)
    eligible_at: float = 0.0
    eligible_number: int = 0
    retry_at: float = 0.0
    failed_on: set = field(default_factory=set)
    next_preemption_at: float = 0.0
    suspects: set = field(default_factory=set)
    run_seconds: list = field(default_factory=list)

    @property
    def name(self):
        """Name of the step in approval calls."""
        return f"{self.job.spec.job}.{self.occurrence}.{self.number}"

    @property
    def is_done(self):
        """Whether all tasks have succeeded."""
        return self.succeeded_count == self.spec.count

    @property
    def is_eligible(self):
        """Whether tasks are pending and all earlier steps that it follows are done."""
        return self.pending_count > 0 and not self.blocker_count

    def iterate_runs(self):
        """Yield the latest run of each task, and its copy if it has one."""
        for task in self.tasks:
            yield task
            if task.copy is not None:
                yield task.copy

    def succeed(self, task):
        """Mark a task as succeeded; return whether the step is done by that.

        A gang succeeds as a whole once one of its tasks has succeeded.
        """
        if self.is_done:
            return False
        for member in self.tasks if self.spec.is_gang else [task]:
            if member.phase is RunPhase.WAITING:
                self.pending_count -= 1
            if member.phase is not RunPhase.SUCCEEDED:
                member.phase = RunPhase.SUCCEEDED
                self.succeeded_count += 1
                self.suspects.discard(member)
        return self.is_done

    def forget_approval(self, worker):
        """Forget what was answered for a worker, whose next incarnation may differ."""
        self.asked_workers.discard(worker)
        self.approved_until.pop(worker, None)
        if self.approved is not None:
            self.approved.pop(worker, None)


@dataclass(slots=True, eq=False)
class JobRun:
    """Accepted job with its progress.

    Attributes
    ----------
    occurrences : dict of int to list of StepRun
        Steps of the open occurrences, which are due and not complete.
    unfinished_counts : dict of int to int
        Number of steps that are not done of each open occurrence.
    has_started : bool
        At least one task has started.
    ended_ms : int
        Unix milliseconds of its end; 0 before it.
    is_over_share : bool
        The job exceeded its team's share when it was added.
    further_rows : int
        Rows in the store beside the first one of its progress.
    """

    spec: JobSpec
    state: JobState = JobState.WAITING
    occurrences: dict = field(default_factory=dict)
    unfinished_counts: dict = field(default_factory=dict)
    finished_occurrences: int = 0
    has_started: bool = False
    ended_ms: int = 0
    is_over_share: bool = False
    further_rows: int = 0
    _graph: StepGraph | None = None

    @property
    def graph(self):
        """Dependencies between the steps."""
        if self._graph is None:
            self._graph = build_step_graph(self.spec.steps)
        return self._graph

    def open_occurrence(self, number):
        """Create the steps of an occurrence that is due."""
        steps = []
        blocker_counts = self.graph.blocker_counts
        for position, spec in enumerate(self.spec.steps):
            step = StepRun(
                self,
                number,
                position,
                spec,
                pending_count=spec.count,
                blocker_count=blocker_counts[position],
            )
            prefix = f"{self.spec.job}.{number}.{position}."
            step.tasks = [
                TaskRun(step, index, f"{prefix}{index}") for index in range(spec.count)
            ]
            steps.append(step)
        self.occurrences[number] = steps
        self.unfinished_counts[number] = len(steps)
        return steps

    def find_task(self, name):
        """Return the task with a name, or None."""
        try:
            _, number, position, index = name.split(".")
            return self.occurrences[int(number)][int(position)].tasks[int(index)]
        except (KeyError, IndexError, ValueError):
            return None

    def clear_occurrences(self):
        """Remove the steps of a job that needs them no more."""
        self.occurrences.clear()
        self.unfinished_counts.clear()
        self._graph = None

    def iterate_steps(self):
        """Yield every step of the open occurrences."""
        for steps in self.occurrences.values():
            yield from steps

    def find_eligible(self):
        """Return the steps with pending tasks whose dependencies have succeeded."""
        return [step for step in self.iterate_steps() if step.is_eligible]

    def is_complete(self):
        """Return whether every task of every occurrence has succeeded."""
        expected = max(1, self.spec.repeat_count)
        return self.finished_occurrences == expected

    def complete_step(self, step):
        """Record that a step is done; return the steps that waited for it alone.

        An occurrence of which all steps are done is removed and counted.
        """
        number = step.occurrence
        steps = self.occurrences.get(number)
        if steps is None:
            return []
        self.unfinished_counts[number] -= 1
        if not self.unfinished_counts[number]:
            del self.occurrences[number], self.unfinished_counts[number]
            self.finished_occurrences += 1
        unblocked = []
        for position in self.graph.dependents[step.number]:
            later = steps[position]
            later.blocker_count -= 1
            if later.is_eligible:
                unblocked.append(later)
        return unblocked
