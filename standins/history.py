"""Starts and ends of runs, in an order that can be checked from outside."""

from enum import IntEnum
from operator import itemgetter

from cactustiller.model import Resources

from .runs import TaskReference


class HistoryEvent(TaskReference):
    """Start or end of a run; `at` is one clock for the process."""

    at: float
    worker: str
    event: str
    state: str
    resources: Resources
    capacity: Resources


class HistoryRank(IntEnum):
    """Order of events at the same time: resources are given back first."""

    END = 0
    START = 1
    END_AT_START = 2


class History:
    """Starts and ends of all workers of the process on one clock."""

    def __init__(self):
        self._events = []

    def add(self, event, rank):
        """Append a `HistoryEvent` with its `HistoryRank`."""
        self._events.append((event.at, rank, event))

    def show(self):
        """Return the events by time, then by rank."""
        return [event for *_, event in sorted(self._events, key=itemgetter(0, 1))]
