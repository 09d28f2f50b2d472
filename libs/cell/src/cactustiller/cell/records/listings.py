"""Reports of workers about their runs."""

from typing import NamedTuple

from .runs import RunEnd


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
