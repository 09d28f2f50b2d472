"""Reports of workers about their runs."""

from typing import NamedTuple

from .runs import RunEnd, RunPhase


class ListedEnd(NamedTuple):
    """End of a run as reported by its worker.

    `number` increases by one with each end of a worker, so that ends can be
    acknowledged in order.
    """

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


class ListedRun(NamedTuple):
    """Active run as reported by its worker.

    `progress` is in percent. `load` is its resource usage or, for serving tasks, its
    tail latency in ms.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    load: float


class Listing(NamedTuple):
    """Report of a worker: its clock, active runs and unacknowledged ends.

    An incomplete report has all active runs, but only the first of the ends. The others
    follow once these are acknowledged.
    """

    clock_ms: int
    born_ms: int
    active: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    is_complete: bool = True


def find_released_task(jobs, end):
    """Return the pending task whose latest run has a reported end, or None.

    A gang restarts as a whole and a service never succeeds, so their tasks are left
    out.

    Parameters
    ----------
    jobs : dict of JobId to JobRun
    end : ListedEnd
    """
    job = jobs.get(end.task.partition(".")[0])
    task = job.find_task(end.task) if job is not None else None
    if task is None or task.name != end.task or job.state.is_final:
        return None
    is_plain = not (task.step.spec.is_gang or task.step.spec.is_service)
    is_latest = task.phase is RunPhase.WAITING and task.run == end.run
    return task if is_plain and is_latest else None
