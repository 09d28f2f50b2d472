"""Temporary exclusion of workers on which runs fail or stall."""

from ..records.runs import RunPhase
from ..reporting.events import Event, log_event

# Distinct jobs that must fail on a worker, without a success in between, before it is
# avoided.
FAILED_JOBS_TO_AVOID = 3
MIN_AVOID_SECONDS = 2.0
MAX_AVOID_SECONDS = 8.0
# A run counts as stalled after this time without progress, plus the fraction below of
# its estimated duration. Restoring a checkpoint takes 0.6 s, and 1% of progress of a
# long task on a slow worker about 1 s.
STALL_SECONDS = 1.2
COMPLETE_PERCENT = 100
STALL_ESTIMATE_FRACTION = 0.05
# Minimum progress from which a run's end is extrapolated.
MIN_PROGRESS_PERCENT = 5
# Workers stay up slightly longer than they announce.
LEAVE_MARGIN_SECONDS = 0.5
STALL_AVOID_SECONDS = 4.0
# Maximum fraction of a service's workers that is avoided at once; one always may be.
MAX_AVOIDED_FRACTION = 0.34


def record_success(worker):
    """Record a successful run; resets the failures of its worker."""
    worker.failures = 0
    worker.failed_jobs.clear()


def record_failure(worker, task, workers, now):
    """Record a failed run; return whether its worker is avoided from now on.

    The time for which a worker is avoided doubles with each further failure, up to
    `MAX_AVOID_SECONDS`.

    Parameters
    ----------
    worker : Worker
    task : TaskRun
    workers : iterable of Worker
        All workers, to limit how many are avoided.
    now : float
        Event loop time in seconds.
    """
    worker.failed_jobs.add(task.step.job.spec.job)
    worker.failures += 1
    if len(worker.failed_jobs) < FAILED_JOBS_TO_AVOID:
        return False
    pause = MIN_AVOID_SECONDS * 2 ** min(worker.failures - FAILED_JOBS_TO_AVOID, 4)
    return _avoid(worker, workers, now, min(pause, MAX_AVOID_SECONDS))


def _avoid(worker, workers, now, seconds):
    """Exclude a worker from placement unless too many workers are excluded."""
    service = worker.info.service
    others = [other for other in workers if other.info.service == service]
    avoided = sum(other.avoided_until > now for other in others)
    if avoided + 1 > max(1.0, MAX_AVOIDED_FRACTION * len(others)):
        return False
    worker.avoided_until = now + seconds
    log_event(
        Event.WORKER_AVOIDED,
        worker=worker.info.worker,
        failures=worker.failures,
        jobs=len(worker.failed_jobs),
        seconds=seconds,
    )
    return True


def find_stall_time(task):
    """Return when a run counts as stalled unless it progresses; None if it never does.

    A run at 100% does not stall: a gang member waits there for the other members.
    """
    spec = task.step.spec
    if (
        task.phase is not RunPhase.RUNNING
        or task.is_stopping
        or spec.is_service
        or spec.fills
        or task.progress >= COMPLETE_PERCENT
        or not task.progressed_at
    ):
        return None
    patience = STALL_SECONDS + STALL_ESTIMATE_FRACTION * spec.estimate_ms / 1000
    return task.progressed_at + patience


def is_stalled(task, worker):
    """Return whether a run makes no progress although its worker still reports."""
    stalls_at = find_stall_time(task)
    return stalls_at is not None and worker.listed_at > stalls_at


def outlives_worker(task, leaves_at, now):
    """Return whether a run is expected to end after its worker leaves.

    Its end is extrapolated from its progress or, below `MIN_PROGRESS_PERCENT`, taken
    from its estimated duration. A service run has no end and always outlives the
    worker. Runs that are not running yet or are being stopped do not count.
    """
    if task.phase is not RunPhase.RUNNING or task.is_stopping:
        return False
    if task.progress >= MIN_PROGRESS_PERCENT:
        elapsed = task.progressed_at - task.started_at
        ends_at = task.started_at + elapsed * 100 / task.progress
    else:
        ends_at = task.started_at + task.step.spec.estimate_ms / 1000
    runs_until_stopped = task.step.spec.is_service
    return runs_until_stopped or max(ends_at, now) > leaves_at + LEAVE_MARGIN_SECONDS


def record_stall(worker, task, workers, now):
    """Record a stalled run and avoid its worker, so that no other runs stall there."""
    log_event(
        Event.RUN_STALLED,
        job=task.step.job.spec.job,
        task=task.name,
        run=task.run,
        worker=worker.info.worker,
        progress=task.progress,
        seconds=round(now - task.progressed_at, 3),
    )
    worker.failures += 1
    _avoid(worker, workers, now, STALL_AVOID_SECONDS)
