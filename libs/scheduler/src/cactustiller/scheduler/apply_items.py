"""Starts, renewals and stops of runs in an `Apply` call.

Times are seconds of the worker's clock.
"""

from cactustiller.model import WorkloadKind
from cactustiller.ports import TaskRenewal, TaskStart, TaskStop


def make_start(entry, now, window_seconds, lease_seconds):
    """Return the start of a run, and record its limits in the entry.

    Parameters
    ----------
    entry : RunEntry
    now : float
        Estimate of the worker's clock; never ahead of it.
    window_seconds : float
        Time within which the worker may act on the message.
    lease_seconds : float
        Length of the task's first lease.
    """
    start_before = now + window_seconds
    granted = now + lease_seconds
    entry.unanswered_starts += 1
    entry.start_before = max(entry.start_before, start_before)
    entry.lease_until = max(entry.lease_until or 0.0, granted)
    template = entry.record.template
    return TaskStart(
        job=entry.record.job,
        index=entry.record.index,
        attempt=entry.record.attempt,
        resources=template.resources,
        run_seconds=template.run_seconds,
        payload=template.payload,
        start_before=start_before,
        lease_until=granted,
        service=entry.record.kind is WorkloadKind.SERVICE,
    )


def make_renewal(entry, granted):
    """Return the renewal of a run's lease until `granted`; record it in the entry."""
    entry.lease_until = max(entry.lease_until or 0.0, granted)
    return TaskRenewal(
        job=entry.record.job,
        index=entry.record.index,
        attempt=entry.record.attempt,
        lease_until=granted,
    )


def make_stop(entry):
    """Return the stop of a run, with a checkpoint if the entry asks for one."""
    return TaskStop(
        job=entry.record.job,
        index=entry.record.index,
        attempt=entry.record.attempt,
        checkpoint=entry.checkpoint,
    )
