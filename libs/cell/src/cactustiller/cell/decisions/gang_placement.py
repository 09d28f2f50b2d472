"""Placement of gangs, whose tasks start together: as a whole or not at all.

Answers a full cell in which single tasks take each piece of capacity as it becomes
free: workers are reserved for a gang that does not fit yet (`reservations.py`), and
runs are preempted for one that would otherwise be late.
"""

from collections import Counter
from itertools import islice

from .candidates import cap_per_worker, has_valid_ticket, is_candidate
from .ordering import IN_TIME, URGENT
from .suspect_placement import may_isolate

# A batch gang with less time than this left to start on time preempts other runs; an
# on-time urgent gang always may.
CRITICAL_SLACK_SECONDS = 2.5
# A blocked gang requests tickets this long before its reserved workers become free.
APPROVAL_LEAD_SECONDS = 0.8


def place_gang(current_round, key, step, rules):
    """Place all tasks of a gang, or reserve workers for it if they do not fit.

    A critical gang preempts other runs. Nothing is done while tasks of the gang's
    previous run may still be on workers, or if the team's limit is too low.
    """
    spec = step.spec
    if step.pending_count < spec.count:
        return
    team = step.job.spec.team
    if current_round.count_team_fits(team, spec.amounts, spec.count) < spec.count:
        return
    may_use_reserved = current_round.may_use_reserved(key, step, rules)
    chosen = _choose_workers(current_round, step, rules, may_use_reserved)
    if chosen is None:
        if not _preempt(current_round, key, step, rules):
            _reserve(current_round, step, rules)
        current_round.request_more_approvals(step, rules)
        return
    if not all(has_valid_ticket(step, rules, w, current_round.now) for w, _ in chosen):
        preferred, chosen = (
            chosen,
            _choose_workers(
                current_round, step, rules, may_use_reserved, needs_ticket=True
            ),
        )
        if chosen is None:
            _request_tickets(current_round, step, preferred)
            for worker, _ in preferred:
                worker.reserved_for = step
            return
    tasks = iter(step.tasks)
    for worker, count in chosen:
        placed = list(islice(tasks, count))
        for task in placed:
            current_round.assign(task, worker)
        if not step.suspects.isdisjoint(placed):
            current_round.isolate(worker)


def _request_tickets(current_round, step, chosen):
    """Request approval of the step for the chosen workers before all others.

    One call names only some of the workers of a large service, and a gang starts only
    with a ticket for each of its workers.
    """
    step.preferred_workers = {worker.info.worker for worker, _ in chosen}
    current_round.steps_needing_approval.append(step)


def _choose_workers(current_round, step, rules, may_use_reserved, needs_ticket=False):
    """Return ``(worker, count)`` pairs that fit the whole gang now, or None.

    With `needs_ticket`, only workers that would accept a start of the step.
    """
    now = current_round.now
    counts = Counter()
    options = []
    for worker in current_round.free.iterate_fitting(step.spec.counted[0]):
        if worker.reserved_for is not None and not may_use_reserved:
            continue
        if not is_candidate(step, rules, worker):
            continue
        if step.suspects and not may_isolate(current_round, step, worker):
            continue
        if needs_ticket and not has_valid_ticket(step, rules, worker, now):
            continue
        max_count = cap_per_worker(step, counts, worker, step.spec.count)
        fit_count = worker.count_fits(step.spec.counted, max_count)
        if fit_count:
            has_failed = worker.info.worker in step.failed_on
            rank = current_round.rank(step, worker)
            order = (has_failed, rank, -fit_count, worker.free_cpu, worker.info.worker)
            options.append((order, fit_count, worker))
    if step.spec.is_tightly_coupled:
        options = _restrict_to_one_rack(options, step.spec.count)
    options.sort(key=lambda entry: entry[0])
    chosen = _take_first(options, step.spec.count)
    if chosen is None:
        return None
    # All members run at the pace of the slowest, so if a slow worker is needed anyway,
    # others of its speed are taken before faster ones.
    paces = [current_round.rank_pace(step, worker) for worker, _ in chosen]
    if max(paces) == min(paces):
        return chosen
    options = _prefer_pace(current_round, step, options, max(paces))
    return _take_first(options, step.spec.count)


def _take_first(options, count):
    """Return ``(worker, count)`` pairs of the first options that fit, or None."""
    chosen = []
    for _, fit_count, worker in options:
        taken = min(count, fit_count)
        chosen.append((worker, taken))
        count -= taken
        if not count:
            return chosen
    return None


def _prefer_pace(current_round, step, options, slowest):
    """Return the options with those nearest to a pace first, and no slower ones.

    The order by other criteria is kept: where the step failed, and by all other ranks.
    """
    preferred = []
    for order, fit_count, worker in options:
        pace = current_round.rank_pace(step, worker)
        if pace <= slowest:
            has_failed, rank, *rest = order
            key = (has_failed, rank - pace, slowest - pace, *rest)
            preferred.append((key, fit_count, worker))
    preferred.sort(key=lambda entry: entry[0])
    return preferred


def _restrict_to_one_rack(options, count):
    """Return the options on the rack with the best workers that fit `count` tasks.

    Among equals, the rack with capacity for the most tasks. Returns all options if no
    rack fits them all.
    """
    by_rack = {}
    for entry in options:
        by_rack.setdefault(entry[2].info.rack, []).append(entry)
    fitting = []
    for entries in by_rack.values():
        room = sum(fit_count for _, fit_count, _ in entries)
        if room >= count:
            fitting.append(((_find_worst_rank(entries, count), -room), entries))
    return min(fitting, key=lambda entry: entry[0])[1] if fitting else options


def _find_worst_rank(options, count):
    """Return the worst rank among the first options that fit `count` tasks."""
    worst = 0
    for order, fit_count, _ in sorted(options, key=lambda entry: entry[0]):
        worst = max(worst, order[1])
        count -= fit_count
        if count <= 0:
            break
    return worst


def _preempt(current_round, key, step, rules):
    """Preempt runs for a critical gang and reserve their workers; return whether so."""
    is_critical = _is_critical(current_round, key)
    if not is_critical or not current_round.claim_preemption_turn(step):
        return False
    open_workers = [
        worker
        for worker in current_round.workers
        if worker.reserved_for is None and is_candidate(step, rules, worker)
    ]
    chosen = current_round.preemption.preempt_for_gang(step, open_workers)
    for worker in chosen:
        current_round.reservations.reserve(worker, step)
    return bool(chosen)


def _is_critical(current_round, key):
    """Return whether a gang has little or no time left to start on time."""
    if key.band == URGENT:
        return True
    slack = key.latest_start - current_round.wall_now
    return key.band == IN_TIME and slack < CRITICAL_SLACK_SECONDS


def _reserve(current_round, step, rules):
    """Reserve workers for a gang that does not fit yet.

    None are reserved unless the runs there are expected to end soon enough. Requests
    approval shortly before all of the workers are free.
    """
    reservations, counts = current_round.reservations, Counter()
    missing = step.spec.count
    selected = []
    for outlook, worker in reservations.iterate_by_end(step):
        if worker.reserved_for is not None or not is_candidate(step, rules, worker):
            continue
        max_count = cap_per_worker(step, counts, worker, step.spec.count)
        fit_count = outlook.amounts.count_fits(step.spec.counted, max_count)
        if fit_count:
            selected.append((outlook.free_at, worker))
            missing -= fit_count
            if missing <= 0:
                break
    if missing > 0:
        return
    free_at = max(free_at for free_at, _ in selected)
    if not reservations.may_reserve(rules.service, len(selected), free_at):
        return
    for _, worker in selected:
        reservations.reserve(worker, step)
    soon = current_round.now + APPROVAL_LEAD_SECONDS
    if free_at <= soon and not all(
        has_valid_ticket(step, rules, w, soon) for _, w in selected
    ):
        _request_tickets(current_round, step, [(w, None) for _, w in selected])
