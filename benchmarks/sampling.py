"""Samples of the daemons' own counters and the rates between two of them."""

import asyncio
import os
import platform
from typing import NamedTuple

from cactustiller.cli import GatewayClient

BYTE_COUNTERS = ("sent_bytes", "received_bytes")
MESSAGE_COUNTERS = ("peer_sent_messages", "peer_received_messages")


class Sample(NamedTuple):
    """Counters of each member and running tasks at the loop's time `at` in seconds."""

    at: float
    members: dict
    running: int = 0


class Cost(NamedTuple):
    """Control cost of one daemon over an interval; rates are a second."""

    core_percent: float
    resident_mib: float
    bytes: float
    peer_messages: float
    table_reads: float
    table_writes: float
    table_records: float


class SampleError(Exception):
    """The cell's statistics could not be read whole."""


async def take_sample(client):
    """Return a `Sample` of every member; raises `SampleError`."""
    answer = await client.get_stats()
    if answer.is_err():
        raise SampleError(str(answer.unwrap_err()))
    stats = answer.unwrap()
    if stats.missing:
        raise SampleError(f"no statistics of {', '.join(stats.missing)}")
    running = sum(team["running"] for team in stats.teams.values())
    return Sample(asyncio.get_running_loop().time(), stats.members, running)


def compute_costs(before, after):
    """Return the `Cost` of each member present in both samples."""
    seconds = after.at - before.at
    return {
        name: _compute_cost(before.members[name], after.members[name], seconds)
        for name in sorted(after.members.keys() & before.members.keys())
    }


def list_byte_rates(before, after, member):
    """Return bytes a second of one member by the counter's name."""
    seconds = after.at - before.at
    old, new = before.members[member], after.members[member]
    return {
        name: round((value - old.get(name, 0)) / seconds, 1)
        for name, value in new.items()
        if name.endswith(BYTE_COUNTERS)
    }


def describe_conditions():
    """Return what the figures of this machine depend on."""
    return {
        "cores": os.cpu_count(),
        "load_average": [round(value, 2) for value in os.getloadavg()],
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.machine()}",
        "memory_mib": _read_memory_mib(),
    }


def open_operator(cell, deadline_seconds=10.0):
    """Return a client with the first operator's key for one gateway of a cell."""
    addresses = [
        address for name, address in cell.addresses.items() if name[:7] == "gateway"
    ]
    return GatewayClient(
        addresses, cell.operator_key, deadline_seconds=deadline_seconds
    )


def _compute_cost(before, after, seconds):
    def rate(*names):
        return sum(after.get(n, 0) - before.get(n, 0) for n in names) / seconds

    bytes_names = [name for name in after if name.endswith(BYTE_COUNTERS)]
    return Cost(
        core_percent=rate("processor_milliseconds") / 10,
        resident_mib=after["resident_kib"] / 1024,
        bytes=rate(*bytes_names),
        peer_messages=rate(*MESSAGE_COUNTERS),
        table_reads=rate("table_reads"),
        table_writes=rate("table_transactions"),
        table_records=rate("table_records"),
    )


def _read_memory_mib():
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20
