"""Assignment of the tasks of pending steps to workers; no I/O.

A queue's rules may require approval: a start then needs a ticket for its worker.

Answers bursts of small urgent work on a full cell: urgent tasks take the capacity that
is free or reserved, the fullest workers first, and preempt runs that save their work.
After a burst, jobs that have lost their value wait until the others are served.

Changes the workers' free capacity and reservations, the teams' usage and the times at
which steps may preempt again; the engine applies the outcome to the tasks.
"""

from ..records.runs import RunPhase
from .candidates import (
    cap_per_worker,
    count_tasks_by_worker,
    has_valid_ticket,
    is_candidate,
)
from .gang_placement import place_gang
from .ordering import IN_TIME, URGENT, may_be_deferred
from .reservations import URGENT_BANDS
from .suspect_placement import place_suspect

# Bands whose steps are considered even if no worker has enough free capacity for one
# task, since workers may be reserved or runs preempted for them.
ACTIVE_BANDS = (*URGENT_BANDS, IN_TIME)
# Steps that a round places, about 10 ms of work; the next round takes the others.
MAX_PLACED_STEPS = 400


def place_steps(current_round, ordered):
    """Schedule the steps in order; `current_round` collects the outcome.

    Parameters
    ----------
    current_round : PlacementRound
    ordered : list of (OrderKey, StepRun, QueueRules)
    """
    for key, step, rules in ordered:
        if current_round.placed_steps >= MAX_PLACED_STEPS:
            current_round.is_partial = True
            return
        if step.retry_at > current_round.now:
            continue
        is_deferred = may_be_deferred(key, current_round.wall_now)
        if is_deferred and current_round.is_busy(rules.service):
            continue
        if rules.needs_approval and step.approved is None:
            current_round.steps_needing_approval.append(step)
            continue
        fits = step.spec.counted[0] <= current_round.free.max_cpu
        if not fits and key.band not in ACTIVE_BANDS:
            continue
        placed_before = len(current_round.placements)
        if step.spec.is_gang:
            place_gang(current_round, key, step, rules)
        else:
            _place_tasks(current_round, key, step, rules)
        current_round.placed_steps += len(current_round.placements) > placed_before


def _place_tasks(current_round, key, step, rules):
    """Place as many pending tasks of a step as fit, independently of each other.

    An on-time urgent step of which no task fits preempts other runs.
    """
    wanted = current_round.count_team_fits(
        step.job.spec.team, step.spec.amounts, step.pending_count
    )
    if wanted <= 0:
        return
    may_use_reserved = current_round.may_use_reserved(key, step, rules)
    if step.suspects and place_suspect(current_round, step, rules, may_use_reserved):
        return
    fits = _find_fits(current_round, step, rules, wanted, may_use_reserved)
    if not fits:
        if key.band == URGENT:
            _preempt(current_round, step, rules)
        current_round.request_more_approvals(step, rules)
        return
    valid = [fit for fit in fits if fit[3]]
    if sum(fit_count for _, fit_count, *_ in valid) < wanted:
        if len(valid) < len(fits):
            current_round.steps_needing_approval.append(step)
        if not valid:
            return
    # Best fit: among equally suitable workers those with the least free CPU come first,
    # to keep large blocks free for gangs.
    valid.sort(key=lambda fit: fit[0])
    pending = (task for task in step.tasks if task.phase is RunPhase.WAITING)
    for _, fit_count, worker, _ in valid:
        for _ in range(min(fit_count, wanted)):
            current_round.assign(next(pending), worker)
            wanted -= 1


def _find_fits(current_round, step, rules, wanted, may_use_reserved):
    """Return ``(order, fit_count, worker, has_ticket)`` of workers with free capacity.

    Stops once the best workers found, which come first in the order, suffice.
    """
    amounts = step.spec.counted
    counts = count_tasks_by_worker(step)
    fits = []
    missing = wanted
    for worker in current_round.free.iterate_fitting(amounts[0]):
        if worker.reserved_for is not None and not may_use_reserved:
            continue
        if not is_candidate(step, rules, worker):
            continue
        max_count = cap_per_worker(step, counts, worker, wanted)
        fit_count = worker.count_fits(amounts, max_count)
        if not fit_count:
            continue
        info = worker.info
        is_off_rack = bool(step.spec.data_rack) and step.spec.data_rack != info.rack
        has_failed = info.worker in step.failed_on
        has_ticket = has_valid_ticket(step, rules, worker, current_round.now)
        rank = current_round.rank(step, worker)
        order = (has_failed, is_off_rack, rank, worker.free_cpu, info.worker)
        fits.append((order, fit_count, worker, has_ticket))
        if has_ticket and not (has_failed or is_off_rack or rank):
            missing -= fit_count
            if missing <= 0:
                break
    return fits


def _preempt(current_round, step, rules):
    if current_round.preemption.is_exhausted(rules.service):
        return
    if current_round.claim_preemption_turn(step):
        candidates = [
            worker
            for worker in current_round.workers
            if is_candidate(step, rules, worker)
        ]
        current_round.preemption.preempt_for_step(step, candidates)
