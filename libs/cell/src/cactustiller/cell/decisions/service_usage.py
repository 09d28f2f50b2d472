"""How much of each service's CPU is in use; no I/O.

Answers a cell of several services of which some are full while others are idle: what
is decided by a load is decided by that of the service whose workers the work needs.
"""

from collections import Counter

# Work without value is placed only while less than this fraction of its service is in
# use. The rest is for jobs that are still to come, and a service that is half used
# finishes everything.
MAX_USED_BY_DEFERRED = 0.6
HALF = 0.5


def measure_usage(workers):
    """Return the fraction of the CPU in use by service, as dict of str to float.

    All workers count, also those that get no new tasks, since their runs hold capacity.

    Parameters
    ----------
    workers : iterable of Worker
    """
    totals, free = Counter(), Counter()
    for worker in workers:
        service = worker.info.service
        totals[service] += worker.info.capacity[0]
        free[service] += max(0, worker.free_cpu)
    return {
        service: 1.0 - free[service] / total
        for service, total in totals.items()
        if total
    }


def is_busy(usage, service):
    """Return whether work of a service that has no value has to wait.

    A service without workers is not busy.

    Parameters
    ----------
    usage : dict of ServiceName to float
        Result of `measure_usage`.
    service : ServiceName
    """
    return usage.get(service, 0.0) > MAX_USED_BY_DEFERRED


def is_half_used(usage, service):
    """Return whether half of a service or more is in use; true if that is unknown."""
    return usage.get(service, 1.0) >= HALF
