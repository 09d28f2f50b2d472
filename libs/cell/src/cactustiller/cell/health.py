"""Workers that fail or hold up what they start are avoided for a while."""

from .events import Event, log_event
from .runs import RunPhase

# Distinct jobs that have to fail in a row on one worker.
FAILURES_NEEDED = 3
FIRST_PAUSE_SECONDS = 2.0
LONGEST_PAUSE_SECONDS = 8.0
# A run whose percentage has not risen for this long stands still: restoring a
# checkpoint takes 0.6 s, and a percent of a long task on a slow worker about 1 s.
STALL_SECONDS = 1.2
ALL_DONE = 100
STALL_PART_OF_ESTIMATE = 0.05
# Progress from which a run's speed can be told.
LEAST_PROGRESS = 5
# Workers stay a little longer than they announce.
LEAVE_MARGIN_SECONDS = 0.5
STALL_PAUSE_SECONDS = 4.0
# No more than this part of the workers is avoided at once.
MOST_AVOIDED = 0.34


def note_success(worker):
    """Note that a run ended well on a worker."""
    worker.failures = 0
    worker.failed_jobs.clear()


def note_failure(worker, task, workers, now):
    """Note that a run failed; return whether the worker is avoided from now on.

    Parameters
    ----------
    worker : Worker
    task : TaskRun
    workers : iterable of Worker
        All workers, to bound how many are avoided.
    now : float
    """
    worker.failed_jobs.add(task.step.job.spec.job)
    worker.failures += 1
    if len(worker.failed_jobs) < FAILURES_NEEDED:
        return False
    pause = FIRST_PAUSE_SECONDS * 2 ** min(worker.failures - FAILURES_NEEDED, 4)
    return _avoid(worker, workers, now, min(pause, LONGEST_PAUSE_SECONDS))


def _avoid(worker, workers, now, seconds):
    """Avoid a worker unless too many are avoided already."""
    everyone = list(workers)
    avoided = sum(other.avoided_until > now for other in everyone)
    if avoided + 1 > max(1.0, MOST_AVOIDED * len(everyone)):
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


def is_stalled(task, worker):
    """Return whether a run has made no progress although its worker answers.

    A member of a gang that has done its own work waits for the others.
    """
    estimate = task.step.spec.estimate_ms / 1000
    patience = STALL_SECONDS + STALL_PART_OF_ESTIMATE * estimate
    return (
        task.phase is RunPhase.RUNNING
        and not task.is_stopping
        and not task.step.spec.is_service
        and not task.step.spec.fills
        and task.progress < ALL_DONE
        and bool(task.progressed_at)
        and worker.listed_at - task.progressed_at > patience
    )


def will_be_cut(task, leaves_at, now):
    """Return whether a run goes on beyond its worker's time.

    The time that is left to the run is judged by its progress so far; one that has
    hardly begun by its estimate.
    """
    if task.phase is not RunPhase.RUNNING or task.is_stopping:
        return False
    if task.progress >= LEAST_PROGRESS:
        elapsed = task.progressed_at - task.started_at
        ends_at = task.started_at + elapsed * 100 / task.progress
    else:
        ends_at = task.started_at + task.step.spec.estimate_ms / 1000
    is_endless = task.step.spec.is_service
    return is_endless or max(ends_at, now) > leaves_at + LEAVE_MARGIN_SECONDS


def note_stall(worker, task, workers, now):
    """Note that a run stood still: nothing else is to be held up there."""
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
    _avoid(worker, workers, now, STALL_PAUSE_SECONDS)
