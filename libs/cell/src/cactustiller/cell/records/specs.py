"""Specifications of submitted jobs, and their stored form."""

from dataclasses import dataclass

import orjson

from cactustiller.model import (
    NO_AMOUNTS,
    Amounts,
    JobId,
    QueueName,
    ServiceName,
    TeamId,
)

MAX_TASKS_PER_JOB = 2000


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Step of a job, with `count` identical tasks.

    Attributes
    ----------
    amounts : Amounts
        Resources requested by each task.
    estimate_ms : int
        Estimated duration of a task.
    after : tuple of int
        Positions of earlier steps whose tasks must all have succeeded.
    is_gang : bool
        The tasks start together and end together: one that succeeds completes the step,
        and one that fails or is stopped restarts all.
    is_tightly_coupled : bool
        The tasks slow down when they run on more than one rack.
    required_label, data_rack : str
        Label that a worker must have; rack that stores the data, whose workers are
        preferred unless the step is a gang. Empty for none.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    has_checkpoints : bool
        The tasks save a checkpoint when they are stopped and resume from it.
    is_service : bool
        The tasks run until the job is cancelled.
    latency_target_ms : int
        Target tail latency; 0 for none. Tasks with a target are called serving tasks.
    fills : bool
        The tasks use spare CPU, which is not counted against a worker's capacity; they
        are called filling tasks.
    max_unavailable : int
        Maximum number of tasks of a service step that the scheduler may make
        unavailable at once.
    """

    count: int
    amounts: Amounts = NO_AMOUNTS
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_tightly_coupled: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    has_checkpoints: bool = False
    allows_copies: bool = False
    is_service: bool = False
    image: str = ""
    latency_target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def counted(self):
        """Amounts of one task that count against a worker's capacity."""
        if self.fills:
            return Amounts(0, self.amounts[1], self.amounts[2])
        return self.amounts


@dataclass(frozen=True, slots=True)
class QueueRules:
    """Scheduling rules that a queue's definition sets for its jobs.

    Attributes
    ----------
    service : ServiceName
        Service whose workers run the jobs.
    priority : int
        0 is the highest priority and marks urgent work.
    max_attempts : int
        Failed runs of a task after which its job fails.
    slack_factor : float
        The objective is this factor times the critical path plus `objective_ms`.
    needs_approval : bool
        An approval service decides which workers may run a step.
    approval_ms, approval_worker_ms : float
        Expected duration of an approval call, per call and per worker named in it.
    """

    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    objective_ms: float = 0.0
    needs_approval: bool = False
    approval_ms: float = 0.0
    approval_worker_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Accepted job; times are Unix milliseconds.

    Attributes
    ----------
    rules : QueueRules
        The queue's rules at acceptance, used only if the queue no longer exists.
    first_run_ms, interval_ms : int
        Time of a recurring job's first occurrence, and interval between occurrences.
    repeat_count : int
        Number of occurrences of a recurring job; 0 for a job that does not recur.
    """

    job: JobId
    queue: QueueName
    team: TeamId
    payload: str
    steps: tuple[StepSpec, ...]
    rules: QueueRules
    accepted_ms: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0


def check_spec(spec):
    """Check that a job can be scheduled, whatever the size of the cell.

    Raises
    ------
    ValueError
        Names the first value that is out of range.
    """
    if not spec.steps:
        raise ValueError("a job needs at least one step")
    task_count = sum(step.count for step in spec.steps)
    if task_count > MAX_TASKS_PER_JOB:
        raise ValueError(f"{task_count} tasks exceed {MAX_TASKS_PER_JOB}")
    for position, step in enumerate(spec.steps):
        if step.count < 1:
            raise ValueError(f"step {position}: needs at least one task")
        if min(step.amounts) < 0 or min(step.estimate_ms, step.max_per_worker) < 0:
            raise ValueError(f"step {position}: negative amount, estimate or limit")
        if not all(0 <= earlier < position for earlier in step.after):
            raise ValueError(f"step {position}: may only follow earlier steps")
    if min(spec.first_run_ms, spec.interval_ms, spec.repeat_count) < 0:
        raise ValueError("negative time or number of occurrences")


_STEP_DEFAULTS = StepSpec(count=1)
_STEP_FIELDS = tuple(
    name for name in StepSpec.__dataclass_fields__ if name not in ("count", "amounts")
)
_RULE_FIELDS = tuple(QueueRules.__dataclass_fields__)


def encode_job(spec):
    """Return the encoded row of a job, without step fields that have their default."""
    steps = []
    for step in spec.steps:
        extra = {
            name: getattr(step, name)
            for name in _STEP_FIELDS
            if getattr(step, name) != getattr(_STEP_DEFAULTS, name)
        }
        steps.append([step.count, *step.amounts, extra])
    times = [spec.accepted_ms, spec.first_run_ms, spec.interval_ms, spec.repeat_count]
    rules = [getattr(spec.rules, name) for name in _RULE_FIELDS]
    fields = [spec.queue, spec.team, spec.payload, steps, rules, times]
    return orjson.dumps(fields)


def decode_job(job, data):
    """Return the `JobSpec` in a row.

    Raises
    ------
    ValueError
        If the row was not written by `encode_job`.
    """
    try:
        queue, team, payload, steps, rules, times = orjson.loads(data)
        spec = JobSpec(
            job=job,
            queue=queue,
            team=team,
            payload=payload,
            steps=tuple(_decode_step(step) for step in steps),
            rules=QueueRules(*rules),
            accepted_ms=times[0],
            first_run_ms=times[1],
            interval_ms=times[2],
            repeat_count=times[3],
        )
        check_spec(spec)
    except (TypeError, ValueError, IndexError, AttributeError) as error:
        raise ValueError(f"invalid row of job {job}: {error}") from error
    return spec


def _decode_step(fields):
    count, cpu, memory, accelerators, extra = fields
    if "after" in extra:
        extra["after"] = tuple(extra["after"])
    return StepSpec(count=count, amounts=Amounts(cpu, memory, accelerators), **extra)
