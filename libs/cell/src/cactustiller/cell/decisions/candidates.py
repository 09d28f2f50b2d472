"""Which workers may run the tasks of a step, whatever their free capacity; no I/O."""

from collections import Counter

# Minimum remaining validity of an approval ticket, so that it is still valid when the
# start reaches the worker.
TICKET_MARGIN_SECONDS = 0.25


def has_valid_ticket(step, rules, worker, now):
    """Return whether the worker would accept a start of the step."""
    if not rules.needs_approval:
        return True
    until = step.approved_until.get(worker.info.worker, 0.0)
    return now + TICKET_MARGIN_SECONDS <= until


def is_candidate(step, rules, worker):
    """Return whether a worker may run the step, whatever its free capacity.

    It belongs to the queue's service, has the required label and is approved.
    """
    info = worker.info
    label = step.spec.required_label
    return (
        info.service == rules.service
        and (not label or label in info.labels)
        and (not rules.needs_approval or info.worker in step.approved)
    )


def count_tasks_by_worker(step):
    """Return the runs of a step by worker, if their number there is limited."""
    counts = Counter()
    if step.spec.max_per_worker:
        counts.update(run.worker for run in step.iterate_runs() if run.holds_capacity)
    return counts


def cap_per_worker(step, counts, worker, max_count):
    """Return `max_count` lowered to the step's limit per worker."""
    if step.spec.max_per_worker:
        return min(max_count, step.spec.max_per_worker - counts[worker.info.worker])
    return max_count
