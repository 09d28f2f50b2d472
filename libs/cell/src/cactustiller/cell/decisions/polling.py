"""Choice of how long a call to a worker may wait there for a run to end.

The call returns as soon as a run ends, so the wait only bounds the time until a stalled
run or a lost worker is noticed. Each call has a price, and most workers are healthy:
under even load nearly every call returns with an end, and in a cell that is not full
most calls to idle workers return with nothing.
"""

from ..records.runs import RunPhase
from .health import find_stall_time

# Workers limit the wait to this. A lease of 6 s then still outlasts a takeover, which
# takes about 3 s.
MAX_WAIT_MS = 2000
# Wait for a worker whose runs may have failed or stalled, or whose filling tasks are
# paced by the latencies that it reports.
MIN_WAIT_MS = 500
# The minimum wait grows with the cell, so that workers under suspicion cause at most
# about 200 calls a second.
MIN_WAIT_MS_PER_WORKER = 5


def choose_wait_ms(worker, worker_count, now):
    """Return how long a call may wait at a worker for the next end, in milliseconds.

    Parameters
    ----------
    worker : Worker
    worker_count : int
        Number of workers in the cell.
    now : float
        Event loop time in seconds.

    Returns
    -------
    int
        `MAX_WAIT_MS` for an idle worker; otherwise the time until the first of its runs
        counts as stalled unless it has progressed, within the limits.
    """
    shortest_ms = max(MIN_WAIT_MS, MIN_WAIT_MS_PER_WORKER * worker_count)
    if worker.failures:
        return min(MAX_WAIT_MS, shortest_ms)
    longest_ms = MAX_WAIT_MS
    for task, run in worker.runs.values():
        if task.run != run or task.phase is not RunPhase.RUNNING:
            continue
        if task.step.spec.fills:
            longest_ms = shortest_ms
            break
        stalls_at = find_stall_time(task)
        if stalls_at is not None:
            longest_ms = min(longest_ms, int((stalls_at - now) * 1000))
    return min(MAX_WAIT_MS, max(shortest_ms, longest_ms))
