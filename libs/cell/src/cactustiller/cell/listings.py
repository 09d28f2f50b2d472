"""What a worker lists of its runs."""

from typing import NamedTuple

from .runs import RunEnd


class ListedEnd(NamedTuple):
    """End of a run as its worker lists it."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


class ListedRun(NamedTuple):
    """Run at work as its worker lists it; `load` is its use or its latency."""

    task: str
    run: int
    checkpoint: str
    progress: int
    load: float


class Listing(NamedTuple):
    """Answer of a worker: its clock, what runs and what ended."""

    clock_ms: int
    born_ms: int
    active: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
