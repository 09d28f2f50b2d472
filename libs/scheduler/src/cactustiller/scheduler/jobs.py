"""In-memory state of a home's jobs, and state transitions of their tasks."""

from bisect import insort
from dataclasses import dataclass, field

from cactustiller.model import (
    NO_RESOURCES,
    Attempt,
    JobId,
    JobRecord,
    JobState,
    Resources,
    RunState,
    TaskRecord,
    TaskState,
    WorkerId,
    WorkloadKind,
)
from cactustiller.model.messages import JobView, TaskView

MIN_RESTART_DELAY_SECONDS = 0.5
MAX_RESTART_DELAY_SECONDS = 60.0
# A task may crash the workers that start it, so it fails once this many restarted while
# they had it. Most tasks on a restarted worker did not cause that.
MAX_WORKER_CRASHES = 4


@dataclass
class TeamUsage:
    """Resources and number of the tasks of a team that hold capacity."""

    used: Resources = NO_RESOURCES
    tasks: int = 0

    def count(self, resources, change):
        """Add `change` tasks of this size, which may be negative, to the usage."""
        self.tasks += change
        if change > 0:
            self.used = self.used + resources.times(change)
        elif change < 0:
            self.used = self.used - resources.times(-change)


@dataclass
class JobEntry:
    """One job and its tasks.

    Parameters
    ----------
    record : JobRecord
    tasks : dict of int to TaskRecord
        Tasks that have been assigned at least once, by index.
    waiting : list of int
        Sorted indices of the pending tasks.
    placing : set of int
        Indices of the tasks whose placement is in progress.
    restart_at : dict of int to float
        Wall-clock seconds before which a failed task is not placed again, by index.
    failed_on : set of WorkerId
        Workers on which a task of the job has failed.
    changed_jobs : set of JobId
        Receives the job's id when its tasks change; shared by all jobs of the home.
    notice : str
        Message for the submitter while the job is pending.
    usage : TeamUsage
        Usage of the job's team; shared by all jobs of the team.
    active_count : int
        Number of tasks that are assigned, running or being placed.
    first_start_seconds, last_start_seconds : float
        Seconds from submission to the first and to the latest start of a task; -1
        before the first start.
    """

    record: JobRecord
    tasks: dict[int, TaskRecord] = field(default_factory=dict)
    waiting: list[int] = field(default_factory=list)
    placing: set[int] = field(default_factory=set)
    usage: TeamUsage = field(default_factory=TeamUsage)
    active_count: int = 0
    restart_at: dict[int, float] = field(default_factory=dict)
    failed_on: set[WorkerId] = field(default_factory=set)
    changed_jobs: set[JobId] = field(default_factory=set)
    notice: str = ""
    first_start_seconds: float = -1.0
    last_start_seconds: float = -1.0

    @classmethod
    def recover(cls, record, tasks, usage=None, changed_jobs=None):
        """Return the entry of a job that is read from its rows."""
        entry = cls(record, usage=usage or TeamUsage())
        if changed_jobs is not None:
            entry.changed_jobs = changed_jobs
        entry.changed_jobs.add(record.job)
        for task in tasks:
            entry.set_task(task)
        if not record.state.is_final:
            states = {task.index: task.state for task in tasks}
            entry.waiting = [
                index
                for index in range(record.spec.task_count)
                if states.get(index, TaskState.WAITING) is TaskState.WAITING
            ]
        return entry

    @property
    def job(self):
        """Id of the job."""
        return self.record.job

    @property
    def has_active_tasks(self):
        """Whether a task holds capacity or is being placed."""
        return self.active_count > 0

    @property
    def is_over(self):
        """Whether the job has ended and none of its tasks holds capacity."""
        return self.record.state.is_final and not self.has_active_tasks

    def set_task(self, task):
        """Set a task's record and update the usage of its team."""
        previous = self.tasks.get(task.index)
        was_active = previous is not None and previous.state.holds_capacity
        self.tasks[task.index] = task
        self._count_active(task.state.holds_capacity - was_active)

    def assign(self, task):
        """Set the record of a task whose assignment is committed."""
        if task.index in self.placing:
            self.placing.discard(task.index)
            self._count_active(-1)
        self.set_task(task)

    def _count_active(self, change):
        self.changed_jobs.add(self.job)
        self.active_count += change
        self.usage.count(self.record.spec.template.resources, change)

    def list_active(self):
        """Return the tasks that are assigned or running."""
        return [task for task in self.tasks.values() if task.state.holds_capacity]

    def list_eligible(self, now):
        """Return the indices of tasks that may be placed at wall-clock time `now`."""
        if not self.restart_at:
            return tuple(self.waiting)
        return tuple(
            index for index in self.waiting if self.restart_at.get(index, 0.0) <= now
        )

    def begin_placing(self, index):
        """Move a pending task to the tasks being placed."""
        self.waiting.remove(index)
        self.placing.add(index)
        self._count_active(1)

    def requeue(self, index):
        """Make a task pending again; does not do so if the job has ended."""
        self.changed_jobs.add(self.job)
        if index in self.placing:
            self.placing.discard(index)
            self._count_active(-1)
        if not self.record.state.is_final:
            insort(self.waiting, index)

    def next_attempt(self, index):
        """Return the number of the task's next attempt, from 1."""
        task = self.tasks.get(index)
        return Attempt(task.attempt + 1 if task else 1)

    def count(self, state):
        """Return the number of tasks in a state."""
        return sum(task.state is state for task in self.tasks.values())

    def record_start(self, now):
        """Record that a task started at wall-clock time `now`."""
        seconds = max(0.0, now - self.record.submitted_at)
        if self.first_start_seconds < 0:
            self.first_start_seconds = seconds
        self.last_start_seconds = seconds

    def make_view(self, detail):
        """Return the `JobView` for the submitter; `detail` adds the tasks."""
        record = self.record
        is_final = record.state.is_final
        succeeded = max(record.succeeded, self.count(TaskState.SUCCEEDED))
        failed = max(record.failed, self.count(TaskState.FAILED))
        assigned = self.count(TaskState.ASSIGNED)
        running = self.count(TaskState.RUNNING)
        rest = record.spec.task_count - succeeded - failed - assigned - running
        return JobView(
            job=record.job,
            spec=record.spec,
            state=self.find_state(),
            reason=record.reason or ("" if is_final else self.notice),
            submitted_at=record.submitted_at,
            ended_at=record.ended_at,
            waiting=0 if is_final else rest,
            assigned=assigned,
            running=running,
            succeeded=succeeded,
            failed=failed,
            cancelled=rest if is_final else 0,
            first_start_seconds=self.first_start_seconds,
            last_start_seconds=self.last_start_seconds,
            tasks=[_view_task(task) for task in self.tasks.values()] if detail else [],
        )

    def find_state(self):
        """Return the job's state as shown to its submitter."""
        if self.record.state.is_final:
            return self.record.state
        return JobState.RUNNING if self.list_active() else JobState.WAITING


def end_task(record, task, report, now):
    """Return the task's record after the end of an attempt.

    An attempt that was stopped or whose lease expired is repeated and does not count
    as a failure. A service is always restarted. A failed attempt of any other job is
    repeated until the job's limit of failures is reached, and one whose worker
    restarted until that limit is.
    """
    spec = record.spec
    failures = task.failures + (report.state is RunState.FAILED)
    crashes = task.crashes + (report.state is RunState.CRASHED)
    if record.state is JobState.CANCELLED:
        state = TaskState.CANCELLED
    elif spec.kind is WorkloadKind.SERVICE:
        state = TaskState.WAITING
    elif report.state is RunState.SUCCEEDED:
        state = TaskState.SUCCEEDED
    elif (report.state is RunState.FAILED and failures >= spec.max_attempts) or (
        report.state is RunState.CRASHED and crashes >= MAX_WORKER_CRASHES
    ):
        state = TaskState.FAILED
    else:
        state = TaskState.WAITING
    has_succeeded = report.state is RunState.SUCCEEDED
    return task.with_changes(
        state=state,
        failures=failures,
        crashes=crashes,
        preemptions=task.preemptions + (report.state is RunState.STOPPED),
        run_seconds=report.run_seconds if has_succeeded else 0.0,
        changed_at=now,
        reason=report.reason,
    )


def find_restart_delay(failures):
    """Return the exponential restart delay in seconds after a number of failures."""
    if failures == 0:
        return 0.0
    doubled = MIN_RESTART_DELAY_SECONDS * 2 ** min(failures - 1, 10)
    return min(MAX_RESTART_DELAY_SECONDS, doubled)


def finish_job(record, tasks, now):
    """Return the job's final record if all its tasks have ended, else None."""
    if record.spec.kind is WorkloadKind.SERVICE and not record.state.is_final:
        return None
    states = [task.state for task in tasks.values()]
    succeeded = states.count(TaskState.SUCCEEDED)
    failed = states.count(TaskState.FAILED)
    if succeeded + failed < record.spec.task_count:
        return None
    state = JobState.FAILED if failed else JobState.SUCCEEDED
    reasons = [task.reason for task in tasks.values() if task.state is TaskState.FAILED]
    return record.with_changes(
        state=state,
        succeeded=succeeded,
        failed=failed,
        ended_at=now,
        run_seconds=max((task.run_seconds for task in tasks.values()), default=0.0),
        reason=reasons[0] if reasons else "",
    )


def _view_task(task):
    return TaskView(
        index=task.index,
        state=task.state,
        attempt=task.attempt,
        worker=task.worker,
        reason=task.reason,
    )
