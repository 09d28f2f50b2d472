"""Placement of suspects, tasks that may have crashed the workers that started them.

Answers a cell in which each crash ends all runs of a worker: suspects start one at a
time for each step, on the workers with the fewest runs, and nothing else starts there
until they are proven or have crashed the worker.
"""

from ..records.runs import RunPhase
from .candidates import (
    cap_per_worker,
    count_tasks_by_worker,
    has_valid_ticket,
    is_candidate,
)

# A crash follows a start within milliseconds, so the runs that a worker had for this
# long did not cause the crash that follows the start of a suspect.
QUIET_SECONDS = 0.25
# After this time without a quiet worker a suspect is placed on one that is not.
MAX_QUIET_WAIT_SECONDS = 1.0
# The other tasks of a step wait this long for a suspect to be proven. A worker that
# does not answer settles it only when its lease expires.
MAX_PROBATION_WAIT_SECONDS = 1.5
# No further suspects are started once this fraction of a service's workers is isolated.
MAX_ISOLATED_FRACTION = 0.34


def may_isolate(current_round, step, worker):
    """Return whether a crash of the worker would be due to the suspect placed there.

    No run was placed on the worker in this round or shortly before it. A step that has
    waited for long enough does without.
    """
    if current_round.now - step.eligible_at > MAX_QUIET_WAIT_SECONDS:
        return True
    return (
        worker.info.worker not in current_round.used_workers
        and worker.last_placement_at <= current_round.now - QUIET_SECONDS
    )


def place_suspect(current_round, step, rules, may_use_reserved):
    """Place the next suspect of a step; return whether the step is settled by that.

    A step is also settled for this round while a suspect of it is on probation, too
    many workers are isolated, or no worker with capacity is quiet yet. It is not if it
    has no pending suspect or no worker has capacity.
    """
    if any(_is_on_probation(task, current_round.now) for task in step.suspects):
        return True
    pending = [task for task in step.suspects if task.phase is RunPhase.WAITING]
    if not pending:
        return False
    worker_count = current_round.worker_counts[rules.service]
    limit = max(1.0, MAX_ISOLATED_FRACTION * worker_count)
    if current_round.isolated_counts[rules.service] >= limit:
        return True
    candidates = _find_candidates(current_round, step, rules, may_use_reserved)
    quiet = [w for w in candidates if may_isolate(current_round, step, w)]
    for worker in quiet:
        if has_valid_ticket(step, rules, worker, current_round.now):
            task = max(pending, key=lambda task: (task.crashes, -task.index))
            current_round.assign(task, worker)
            current_round.isolate(worker)
            return True
    if quiet:
        current_round.steps_needing_approval.append(step)
    return bool(candidates)


def _is_on_probation(task, now):
    # A start of a previous owner was sent at an unknown time, before the takeover.
    waits_until = task.start_sent_at + MAX_PROBATION_WAIT_SECONDS
    return task.is_isolated and (not task.is_start_sent or now < waits_until)


def _find_candidates(current_round, step, rules, may_use_reserved):
    """Return the workers with capacity for a task, those with least at risk first."""
    options = []
    counts = count_tasks_by_worker(step)
    for worker in current_round.free.iterate_fitting(step.spec.counted[0]):
        if worker.reserved_for is not None and not may_use_reserved:
            continue
        if not is_candidate(step, rules, worker):
            continue
        max_count = cap_per_worker(step, counts, worker, 1)
        if worker.count_fits(step.spec.counted, max_count):
            has_failed = worker.info.worker in step.failed_on
            order = (has_failed, len(worker.runs), worker.info.worker)
            options.append((order, worker))
    options.sort(key=lambda option: option[0])
    return [worker for _, worker in options]
