"""Faults that a chaos run causes and ends, drawn from a seed."""

import asyncio
import contextlib
import itertools
from abc import ABC, abstractmethod

import aiohttp

from cactustiller.model import Record

from .histories import read_json
from .layout import ZONES
from .readiness import CellError

FIRST_FAULT_SECONDS = 3.0
LAST_FAULT_FRACTION = 0.75
FAULTS_PER_SECOND = 0.25
RESTART_SECONDS = 45.0


class FaultEvent(Record):
    """Fault `name` on `target` from `at` for `seconds` after the start."""

    at: float
    name: str
    target: str
    seconds: float


class Fault(ABC):
    """Kind of fault.

    Attributes
    ----------
    name : str
        Name in the schedule and in the counts.
    seconds : tuple of float
        Shortest and longest time that it lasts.
    """

    name = ""
    seconds = (2.0, 6.0)

    @abstractmethod
    def list_targets(self, cell):
        """Return the names that it may strike."""

    @abstractmethod
    async def begin(self, cell, target):
        """Cause the fault."""

    @abstractmethod
    async def end(self, cell, target):
        """End the fault."""


class DaemonFault(Fault):
    """Fault of daemons whose names have a prefix."""

    prefix = ""

    def list_targets(self, cell):
        """Return the daemons."""
        return [name for name in sorted(cell.pids) if name.startswith(self.prefix)]


class KillFault(DaemonFault):
    """Death without warning; the daemon is started again after a while."""

    async def begin(self, cell, target):
        """Kill the daemon."""
        await cell.kill(target)

    async def end(self, cell, target):
        """Start the daemon again and wait until it is ready."""
        await cell.restart(target)


class PauseFault(DaemonFault):
    """Halt beyond the lease, after which the daemon goes on where it was."""

    seconds = (3.0, 9.0)

    async def begin(self, cell, target):
        """Halt the daemon."""
        cell.pause(target)

    async def end(self, cell, target):
        """Let the daemon go on."""
        cell.resume(target)


class KillScheduler(KillFault):
    """Death of a scheduler."""

    name, prefix = "kill_scheduler", "scheduler-"


class KillGateway(KillFault):
    """Death of a gateway."""

    name, prefix = "kill_gateway", "gateway-"


class PauseScheduler(PauseFault):
    """Halt of a scheduler."""

    name, prefix = "pause_scheduler", "scheduler-"


class PauseGateway(PauseFault):
    """Halt of a gateway."""

    name, prefix = "pause_gateway", "gateway-"


class ZoneFault(Fault):
    """Loss of an availability zone: its daemons and its workers."""

    name = "zone_lost"
    seconds = (6.0, 15.0)

    def list_targets(self, cell):
        """Return the availability zones."""
        return list(ZONES)

    async def begin(self, cell, target):
        """Kill the zone's daemons and cut its workers off."""
        names = _list_daemons(cell, target)
        await asyncio.gather(*(cell.kill(name) for name in names))
        await _set_zone_down(cell, target, True)

    async def end(self, cell, target):
        """Start the zone's daemons and reach its workers again."""
        await _set_zone_down(cell, target, False)
        names = _list_daemons(cell, target)
        await asyncio.gather(*(cell.restart(name) for name in names))


class SwitchFault(Fault):
    """Fault that a stand-in's switch causes.

    Attributes
    ----------
    process : str
        Stand-in.
    faulty, healthy : dict
        Body of ``POST /faults`` that begins and ends the fault.
    """

    process = ""
    faulty = {}
    healthy = {}

    def list_targets(self, cell):
        """Return the stand-in."""
        return [self.process]

    async def begin(self, cell, target):
        """Switch the fault on."""
        await set_faults(cell.addresses[target], self.faulty)

    async def end(self, cell, target):
        """Switch the fault off."""
        await set_faults(cell.addresses[target], self.healthy)


class TableDown(SwitchFault):
    """Outage of the table service."""

    name, process, seconds = "table_down", "table", (5.0, 20.0)
    faulty, healthy = {"down": True}, {"down": False}


class TableSlow(SwitchFault):
    """Slow answers of the table service."""

    name, process, seconds = "table_slow", "table", (3.0, 8.0)
    faulty, healthy = {"slow_ms": 700}, {"slow_ms": 0}


class AnswersLost(SwitchFault):
    """Answers of the table service that are lost after the effect."""

    name, process, seconds = "answers_lost", "table", (3.0, 10.0)
    faulty, healthy = {"lose_answers": 0.4}, {"lose_answers": 0.0}


class RequestsDropped(SwitchFault):
    """Requests to the table service that are lost before the effect."""

    name, process, seconds = "requests_dropped", "table", (3.0, 10.0)
    faulty, healthy = {"drop_requests": 0.4}, {"drop_requests": 0.0}


class ListLag(SwitchFault):
    """Instance list that shows the state of some seconds ago."""

    name, process, seconds = "list_lag", "instances", (5.0, 15.0)
    faulty, healthy = {"lag_s": 15.0}, {"lag_s": 0.0}


class AnswersCut(SwitchFault):
    """Backend servers that close the connection after the work."""

    name, process, seconds = "answers_cut", "backends", (1.0, 3.0)
    faulty, healthy = {"cut_answers": True}, {"cut_answers": False}


FAULTS = {
    kind.name: kind()
    for kind in (
        KillScheduler,
        KillGateway,
        PauseScheduler,
        PauseGateway,
        ZoneFault,
        TableDown,
        TableSlow,
        AnswersLost,
        RequestsDropped,
        ListLag,
        AnswersCut,
    )
}


def plan_faults(random, cell, seconds):
    """Return the `FaultEvent` records of a run in order of their times.

    Kinds are dealt from shuffled rounds, so that each occurs before one repeats.
    """
    last = seconds * LAST_FAULT_FRACTION
    count = max(1, int(seconds * FAULTS_PER_SECOND))
    times = sorted(random.uniform(FIRST_FAULT_SECONDS, last) for _ in range(count))
    rounds = (random.sample(sorted(FAULTS), len(FAULTS)) for _ in itertools.count())
    names = itertools.islice(itertools.chain.from_iterable(rounds), count)
    return [
        _draw(random, cell, at, FAULTS[name])
        for at, name in zip(times, names, strict=True)
    ]


def _draw(random, cell, at, fault):
    return FaultEvent(
        at=at,
        name=fault.name,
        target=random.choice(fault.list_targets(cell)),
        seconds=random.uniform(*fault.seconds),
    )


async def strike(cell, event):
    """Cause one fault for its time; raises `CellError` if it cannot be ended."""
    fault = FAULTS[event.name]
    await fault.begin(cell, event.target)
    try:
        await asyncio.sleep(event.seconds)
    finally:
        await _end(fault, cell, event.target)


async def _end(fault, cell, target):
    deadline = asyncio.get_running_loop().time() + RESTART_SECONDS
    while True:
        try:
            await fault.end(cell, target)
            return
        except CellError:
            # A daemon is not ready while another fault keeps the table down.
            if asyncio.get_running_loop().time() > deadline:
                raise


async def set_faults(address, changes):
    """Set the named faults of a stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://{address}/faults", json=changes) as response,
    ):
        response.raise_for_status()


async def heal(cell):
    """End every fault and start every daemon that does not run."""
    for fault in FAULTS.values():
        if isinstance(fault, SwitchFault):
            await fault.end(cell, fault.process)
    await set_faults(cell.addresses["workers"], {"worker": "*", "down": False})
    for name in sorted(cell.pids):
        with contextlib.suppress(ProcessLookupError):
            cell.resume(name)


def _list_daemons(cell, zone):
    number = ZONES.index(zone)
    return [
        name
        for name in sorted(cell.pids)
        if name.startswith(("scheduler-", "gateway-"))
        and (int(name.rpartition("-")[2]) - 1) % len(ZONES) == number
    ]


async def _set_zone_down(cell, zone, down):
    listing = await read_json(cell.addresses["instances"], "/v1/instances")
    for worker in listing["workers"]:
        if worker["zone"] == zone:
            changes = {"worker": worker["worker"], "down": down}
            await set_faults(cell.addresses["workers"], changes)
