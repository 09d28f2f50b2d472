"""Checks of the workers' and backend servers' own histories."""

from collections import Counter, defaultdict

import aiohttp

from cactustiller.model import NOTHING, Record
from standins.history import HistoryEvent


class HistoryReport(Record):
    """Counts of what the workers' history shows, the bad ones included."""

    starts: int = 0
    ends: int = 0
    tasks_in_two_places: int = 0
    over_capacity: int = 0
    succeeded_twice: int = 0


async def read_json(address, path):
    """Return the JSON answer of a stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}{path}") as response,
    ):
        return await response.json()


async def read_worker_history(address):
    """Return the `HistoryEvent` records of a workers' process."""
    answer = await read_json(address, "/history")
    return [HistoryEvent.model_validate(event) for event in answer["events"]]


def check_runs(events):
    """Return a `HistoryReport` of the events in their order."""
    running = defaultdict(set)
    used = defaultdict(lambda: NOTHING)
    succeeded = Counter()
    counts = Counter()
    for event in events:
        task = (event.job, event.index)
        run = (event.worker, event.attempt)
        if event.event == "start":
            counts["starts"] += 1
            running[task].add(run)
            counts["tasks_in_two_places"] += len(running[task]) > 1
            used[event.worker] = used[event.worker] + event.resources
            fits = used[event.worker].fits_within(event.capacity)
            counts["over_capacity"] += not fits
        else:
            counts["ends"] += 1
            running[task].discard(run)
            used[event.worker] = used[event.worker] - event.resources
            succeeded[task] += event.state == "succeeded"
    counts["succeeded_twice"] = sum(count > 1 for count in succeeded.values())
    return HistoryReport(**counts)
