"""Choice of the workers for copies of late runs; no I/O.

Answers stragglers on a cell that is not full: copies take only capacity for which no
work on time waits, within their budget, and only on workers with nothing against them.
"""

from .candidates import (
    cap_per_worker,
    count_tasks_by_worker,
    has_valid_ticket,
    is_candidate,
)
from .ordering import IN_TIME, LATE_URGENT, OVER_SHARE_OFFSET, URGENT

# Bands of work that no copy may delay, also of teams over their share. Late urgent work
# precedes batch work, so it precedes copies as well.
PROTECTED_BANDS = (URGENT, LATE_URGENT, IN_TIME)


class WaitingWork:
    """Work on time that a round has left waiting, and the capacity that it waits for.

    Steps without an answer of the approval service do not wait for capacity yet, and
    those over their team's limit wait for runs of their team only.

    Parameters
    ----------
    current_round : PlacementRound
    ordered : iterable of (OrderKey, StepRun, QueueRules)
        Steps with pending tasks after the round.
    """

    def __init__(self, current_round, ordered):
        self._limited_teams = set()
        self._teams = set()
        self._needs = set()
        for key, step, rules in ordered:
            if key.band % OVER_SHARE_OFFSET not in PROTECTED_BANDS:
                continue
            if not step.pending_count:
                continue
            if rules.needs_approval and step.approved is None:
                continue
            team, spec = step.job.spec.team, step.spec
            self._teams.add((team, rules.service))
            wanted = spec.count if spec.is_gang else 1
            fits = current_round.count_team_fits(team, spec.amounts, wanted)
            if fits == wanted:
                self._needs.add((rules.service, spec.required_label))
            else:
                self._limited_teams.add(team)

    def needs_team(self, team, service):
        """Return whether work of the team waits for its limit or in a service."""
        return team in self._limited_teams or (team, service) in self._teams

    def needs_worker(self, worker):
        """Return whether work waits that the worker may run."""
        info = worker.info
        return any(
            service == info.service and (not label or label in info.labels)
            for service, label in self._needs
        )


def place_copies(current_round, late_runs, waiting, budget):
    """Yield ``(LateRun, Worker)`` for each copy to start, those with most gain first.

    The caller has to create the copy and assign it before it asks for the next.

    Parameters
    ----------
    current_round : PlacementRound
        Round whose other placements are complete.
    late_runs : list of (LateRun, QueueRules)
    waiting : WaitingWork
    budget : CopiesBudget
        Updated in place.
    """
    for late, rules in sorted(late_runs, key=lambda entry: -entry[0].gain):
        step = late.task.step
        team = step.job.spec.team
        amounts = step.spec.counted
        service = rules.service
        if step.retry_at > current_round.now or waiting.needs_team(team, service):
            continue
        if not budget.allows(team, service, amounts):
            continue
        if not current_round.count_team_fits(team, step.spec.amounts, 1):
            continue
        worker = _choose_worker(current_round, late.task, rules, waiting)
        if worker is not None:
            budget.take(team, service, amounts)
            yield late, worker


def _choose_worker(current_round, task, rules, waiting):
    """Return the worker for a copy, the one with the most free CPU, or None.

    If approved workers lack a valid ticket, approval is requested for the step.
    """
    step = task.step
    if rules.needs_approval and step.approved is None:
        current_round.steps_needing_approval.append(step)
        return None
    counts = count_tasks_by_worker(step)
    options = []
    lacks_ticket = False
    for worker in current_round.free.iterate_fitting(step.spec.counted[0]):
        if not _suits(current_round, task, worker, rules, counts, waiting):
            continue
        if not has_valid_ticket(step, rules, worker, current_round.now):
            lacks_ticket = True
            continue
        info = worker.info
        is_off_rack = bool(step.spec.data_rack) and step.spec.data_rack != info.rack
        options.append(((is_off_rack, -worker.free_cpu, info.worker), worker))
    if options:
        return min(options, key=lambda option: option[0])[1]
    if lacks_ticket:
        current_round.steps_needing_approval.append(step)
    return None


def _suits(current_round, task, worker, rules, counts, waiting):
    """Return whether a copy of a task may be placed on a worker, ticket aside.

    The worker has no run of the task, none of the step has failed there, and no ranker
    has anything against it: on a slow worker a copy gains nothing.
    """
    step = task.step
    worker_id = worker.info.worker
    return (
        worker.reserved_for is None
        and worker_id != task.worker
        and worker_id not in step.failed_on
        and task.name not in worker.runs
        and all(name != task.name for name, _ in worker.orphaned_runs)
        and is_candidate(step, rules, worker)
        and bool(
            worker.count_fits(
                step.spec.counted, cap_per_worker(step, counts, worker, 1)
            )
        )
        and not current_round.rank(step, worker)
        and not waiting.needs_worker(worker)
    )
