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
    """Return the task of a released run with a reported end, or None if it is done.

    A gang restarts as a whole and a service never succeeds, so their tasks are left
    out, as are those with copies, which settle their two runs between them.

    Parameters
    ----------
    jobs : dict of JobId to JobRun
    end : ListedEnd
    """
    job = jobs.get(end.task.partition(".")[0])
    task = job.find_task(end.task) if job is not None else None
    if task is None or task.name != end.task or job.state.is_final:
        return None
    spec = task.step.spec
    if spec.is_gang or spec.is_service or task.copy is not None:
        return None
    is_released = end.run < task.run or not task.holds_capacity
    is_known = end.run <= task.run and task.phase is not RunPhase.SUCCEEDED
    return task if is_known and is_released else None
