"""Decision when a run is so late that a copy of it is worthwhile; no I/O.

Answers steps of many equal tasks that end with their slowest: three tasks in a hundred
take seven times as long as the others, so that a step of 20 has one in 46 of 100 cases.
A run is compared with the other tasks of its step, since the estimates of jobs are off
by up to 90 % but the same for all tasks of a step. The copies budget bounds what copies
take of the cell and for each team.
"""

from statistics import median_low
from typing import NamedTuple

from cactustiller.model import NO_AMOUNTS

from ..records.runs import RunEnd, RunPhase, TaskRun

# Other tasks of the step whose run time is known or extrapolated that are needed for a
# comparison; with fewer, the median may itself be that of a straggler.
MIN_SAMPLES = 3
# Progress is reported in whole percents, and a run restores its checkpoint or warms up
# at its start, so a run time extrapolated from less is unreliable.
MIN_PROGRESS_PERCENT = 10
# A task takes at most this factor of its estimate if only the estimate is wrong, which
# is used if the step has too few samples.
MAX_ESTIMATE_FACTOR = 1.9
# A copy is worthwhile if the run would need longer than this factor of the time of a
# new run, plus the seconds below. The slowest workers have 0.55 of the nominal speed,
# and a run that is late for that reason alone is not copied. The seconds cover the
# transaction, the start and the detection of the end.
MIN_REMAINING_FACTOR = 2.0
MIN_REMAINING_SECONDS = 0.5
# Run times kept for each step; more do not change the median noticeably.
MAX_SAMPLES_PER_STEP = 50
# Fraction of the capacity of a service's schedulable workers that all copies, and the
# copies of one team, may use. Stragglers are 3 % of the tasks of the jobs that allow
# copies, and about a fifth of one queue does.
SERVICE_BUDGET_FRACTION = 0.04
TEAM_BUDGET_FRACTION = 0.02


class LateRun(NamedTuple):
    """Run of which a copy is worthwhile; times are in seconds.

    Attributes
    ----------
    task : TaskRun
    remaining : float
        Expected time until the run ends.
    expected : float
        Expected duration of a copy.
    """

    task: TaskRun
    remaining: float
    expected: float

    @property
    def gain(self):
        """Time by which a copy is expected to end earlier than the run."""
        return self.remaining - self.expected


class RunTimes:
    """Collects the run times of tasks that succeeded; a `RunObserver`.

    Runs that were resumed from a checkpoint, or whose start a previous owner sent, are
    left out, since their whole run time is unknown.
    """

    def record_run_end(self, task, worker, end, now):
        """Record the run time of a task whose step allows copies."""
        step = task.step
        is_known = task.start_sent_at and task.started_at and not task.checkpoint
        has_room = len(step.run_seconds) < MAX_SAMPLES_PER_STEP
        is_sample = step.spec.allows_copies and end is RunEnd.DONE and is_known
        if is_sample and has_room:
            step.run_seconds.append(now - task.started_at)

    def record_progress(self, task, worker, listed, now):
        """Ignore progress; `find_late_runs` reads it from the tasks."""


def allows_copies(spec):
    """Return whether tasks of a step may have copies at all."""
    return spec.allows_copies and not (spec.is_gang or spec.is_service or spec.fills)


def find_late_runs(step, max_attempts, now):
    """Return the `LateRun` of each run of a step of which a copy is worthwhile.

    Parameters
    ----------
    step : StepRun
    max_attempts : int
        Failed runs of a task after which its job fails. A copy that fails counts, so a
        task with one attempt left gets none.
    now : float
        Event loop time in seconds.
    """
    if not allows_copies(step.spec):
        return []
    late = []
    samples = None
    for task in step.tasks:
        if not may_be_copied(task, max_attempts):
            continue
        remaining = _predict_remaining(task, now)
        if remaining <= MIN_REMAINING_SECONDS:
            continue
        if samples is None:
            samples = _collect_samples(step)
        expected = _estimate_seconds(step, samples, task)
        minimum = MIN_REMAINING_FACTOR * expected + MIN_REMAINING_SECONDS
        if expected and remaining > minimum:
            late.append(LateRun(task, remaining, expected))
    return late


def may_be_copied(task, max_attempts):
    """Return whether a task's run may have a copy, however late it is.

    Not if it has or had one, is being stopped, is not known to run, has met a crash of
    a worker, or if a failed copy would use up its attempts.
    """
    return (
        task.phase is RunPhase.RUNNING
        and bool(task.started_at)
        and not task.is_stopping
        and task.copy is None
        and not task.has_had_copy
        and not task.crashes
        and task not in task.step.suspects
        and task.failures + 1 < max_attempts
    )


def _collect_samples(step):
    """Return the run times of a step's tasks, extrapolated for those that run."""
    return step.run_seconds + [
        _extrapolate_seconds(task) for task in step.tasks if _is_sample(task)
    ]


def _is_sample(task):
    """Return whether the run time of a running task can be extrapolated.

    That of a run whose start a previous owner sent, or that resumed from a checkpoint,
    would be too short.
    """
    return (
        task.phase is RunPhase.RUNNING
        and bool(task.start_sent_at and task.started_at)
        and not task.checkpoint
        and task.progress >= MIN_PROGRESS_PERCENT
    )


def _estimate_seconds(step, samples, task):
    """Return the expected duration of a new run of a task; 0 if it is unknown.

    It is the lower median of the samples. That of a late run, which is part of them, is
    above it and hardly moves it.
    """
    if len(samples) - _is_sample(task) >= MIN_SAMPLES:
        return median_low(samples)
    return MAX_ESTIMATE_FACTOR * step.spec.estimate_ms / 1000


def _extrapolate_seconds(task):
    """Return the whole duration of a run at its average speed so far, at least.

    The report is rounded down, so the next percent is counted as almost reached.
    """
    elapsed = task.progressed_at - task.started_at
    return elapsed * 100 / min(100, task.progress + 1)


def _predict_remaining(task, now):
    """Return the time that a run is expected to need from now on.

    A run without enough progress is expected to need as long again as it took so far.
    """
    elapsed = now - task.started_at
    if task.progress < MIN_PROGRESS_PERCENT:
        return elapsed
    return max(0.0, _extrapolate_seconds(task) - elapsed)


class CopiesBudget:
    """What copies may still use of each service, and for each team there.

    The fractions are of the sums over a service's workers, for each resource.

    Parameters
    ----------
    workers : iterable of Worker
        Schedulable workers.
    """

    def __init__(self, workers):
        self._capacity = {}
        for worker in workers:
            _add(self._capacity, worker.info.service, worker.info.capacity)
        self._used = {}
        self._used_by_team = {}

    def allows(self, team, service, amounts):
        """Return whether one more copy of a team fits."""
        capacities = self._capacity.get(service, NO_AMOUNTS)
        used = self._used.get(service, NO_AMOUNTS)
        used_by_team = self._used_by_team.get((team, service), NO_AMOUNTS)
        return all(
            used + amount <= SERVICE_BUDGET_FRACTION * capacity
            and team_used + amount <= TEAM_BUDGET_FRACTION * capacity
            for used, team_used, amount, capacity in zip(
                used, used_by_team, amounts, capacities, strict=True
            )
            if amount
        )

    def take(self, team, service, amounts):
        """Count a copy."""
        _add(self._used, service, amounts)
        _add(self._used_by_team, (team, service), amounts)


def _add(sums, key, amounts):
    sums[key] = sums.get(key, NO_AMOUNTS).plus(amounts)
