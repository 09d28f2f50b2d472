"""Checks of the workers' and backend servers' own histories."""

from collections import Counter, defaultdict

import aiohttp

from cactustiller.model import NO_RESOURCES, Record
from standins.backends import RequestEvent
from standins.history import HistoryEvent


class HistoryReport(Record):
    """Counts of what the workers' history shows, the bad ones included."""

    starts: int = 0
    ends: int = 0
    tasks_in_two_places: int = 0
    over_capacity: int = 0
    succeeded_twice: int = 0
    teams_over_limit: int = 0


class RequestReport(Record):
    """Counts of what the backend servers' history shows."""

    runs: int = 0
    over_slots: int = 0
    over_connections: int = 0


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


async def read_backend_history(address):
    """Return the `RequestEvent` records of a backend servers' process."""
    answer = await read_json(address, "/history")
    return [RequestEvent.model_validate(event) for event in answer["events"]]


def check_runs(events, teams=None, limits=None):
    """Return a `HistoryReport` of the events in their order.

    Parameters
    ----------
    events : list of HistoryEvent
    teams : dict of JobId to TeamId, optional
        Team of each job.
    limits : dict of TeamId to TeamLimit, optional
        Limits of the teams that have one.
    """
    running = defaultdict(set)
    used = defaultdict(lambda: NO_RESOURCES)
    succeeded = Counter()
    counts = Counter()
    usage = TeamUsage(teams or {}, limits or {})
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
            counts["teams_over_limit"] += not usage.add(event)
        else:
            counts["ends"] += 1
            running[task].discard(run)
            used[event.worker] = used[event.worker] - event.resources
            succeeded[task] += event.state == "succeeded"
            usage.remove(event)
    counts["succeeded_twice"] = sum(count > 1 for count in succeeded.values())
    return HistoryReport(**counts)


class TeamLimit(Record):
    """Most that a team may have running; 0 is no limit."""

    tasks: int = 0
    cpu_millis: int = 0


class TeamUsage:
    """Running tasks of each team, in the order of a history."""

    def __init__(self, teams, limits):
        self._teams = teams
        self._limits = limits
        self._tasks = Counter()
        self._cpu_millis = Counter()

    def add(self, event):
        """Count a start; return whether the team is within its limit."""
        team = self._teams.get(event.job)
        self._tasks[team] += 1
        self._cpu_millis[team] += event.resources.cpu_millis
        limit = self._limits.get(team, TeamLimit())
        return (not limit.tasks or self._tasks[team] <= limit.tasks) and (
            not limit.cpu_millis or self._cpu_millis[team] <= limit.cpu_millis
        )

    def remove(self, event):
        """Count an end."""
        team = self._teams.get(event.job)
        self._tasks[team] -= 1
        self._cpu_millis[team] -= event.resources.cpu_millis


def list_succeeded(events):
    """Return the (job, index) of every task that succeeded."""
    return {
        (event.job, event.index)
        for event in events
        if event.event == "end" and event.state == "succeeded"
    }


def count_request_runs(events):
    """Return how often each request ran, by request id."""
    return Counter(event.request for event in events if event.event == "start")


def check_requests(events, slots, connections):
    """Return a `RequestReport` for executors of this size."""
    return RequestReport(
        runs=sum(event.event == "start" for event in events),
        over_slots=sum(event.busy > slots for event in events),
        over_connections=sum(event.connections > connections for event in events),
    )
