"""Calls to a worker: `Watch`, and `Apply` with starts, renewals and stops of runs.

Times are seconds of the worker's clock.
"""

from typing import NamedTuple

from cactustiller.model import WorkloadKind
from cactustiller.ports import Apply, TaskRenewal, TaskStart, TaskStop, Watch

from .runs import RunPhase


class ApplyLimits(NamedTuple):
    """Limits of the items in one `Apply`, as of the time of sending.

    Parameters
    ----------
    now : float
        Estimate of the worker's clock; never ahead of it.
    start_window_seconds : float
        Time within which the worker may act on a start; none is sent unless positive.
    lease_seconds : float
        Length of a lease that is granted or renewed now.
    may_renew : callable
        Returns whether the lease of a `RunEntry` may be renewed now.
    """

    now: float
    start_window_seconds: float
    lease_seconds: float
    may_renew: object


def make_watch(authority, after, wait_seconds=0.0):
    """Return a `Watch` for the changes after a sequence number, 0 for all runs."""
    return Watch(
        shard=authority.shard,
        epoch=authority.epoch,
        after=after,
        wait_ms=int(wait_seconds * 1000),
    )


def build_apply(authority, entries, orphan_stops, is_reachable, limits):
    """Return an `Apply` with all pending changes; None if there are none.

    An unreachable worker is sent no starts and renewals. If it has only these, the
    `Apply` is empty and probes whether it answers again.
    """
    starts, renewals, stops = [], [], list(orphan_stops)
    is_probe = False
    for entry in entries:
        if not entry.needs_apply or not entry.holds_capacity:
            continue
        if entry.is_stopping:
            stops.append(make_stop(entry))
        if not is_reachable:
            is_probe = True
        elif entry.phase is RunPhase.STARTING and not entry.is_stopping:
            window = limits.start_window_seconds
            if window > 0:
                start = make_start(entry, limits.now, window, limits.lease_seconds)
                starts.append(start)
        elif limits.may_renew(entry):
            renewals.append(make_renewal(entry, limits.now + limits.lease_seconds))
    if not (starts or renewals or stops or is_probe):
        return None
    return Apply(
        shard=authority.shard,
        epoch=authority.epoch,
        owner=authority.owner,
        starts=starts,
        renew=renewals,
        stops=stops,
    )


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
