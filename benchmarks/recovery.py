"""Takeover of a killed scheduler's partitions on in-memory ports.

The cell's table, peers and workers are in memory and time is virtual, so that times
show protocol and timers, not this machine; processor time is measured apart.
"""

import asyncio
import json
import logging
import platform
import time

import looptime
import structlog
import typer

from cactustiller.model import Record, Urgency
from cactustiller.ownership import home_of_team
from tests.scheduler.builders import MemoryCell, build_spec

SCHEDULERS = 9
BASE_RACKS = 12
WORKERS_PER_RACK = 2
FACTORS = (1, 2, 4, 8)
TEAM = "free"
TABLE_LATENCY_SECONDS = 0.004
IDLE_SECONDS = 10.0
POLL_SECONDS = 0.01


class Takeover(Record):
    """Figures of one size; times are seconds of virtual time after the kill."""

    factor: int
    racks: int
    running_tasks: int
    moved_partitions: int
    recovered_after: float
    first_placement_after: float
    peer_messages: int
    table_reads: int
    table_transactions: int
    processor_seconds: float
    idle_peer_messages_per_second: float
    idle_reads_per_second: float
    idle_transactions_per_second: float
    starts: int
    records_per_start: float
    transactions_per_start: float


async def measure(factor):
    """Return the `Takeover` of a cell `factor` times the base size."""
    racks = BASE_RACKS * factor
    cell = MemoryCell(SCHEDULERS, racks, WORKERS_PER_RACK)
    cell.table.latency_seconds = TABLE_LATENCY_SECONDS
    await cell.start()
    before = _count(cell)
    await asyncio.sleep(IDLE_SECONDS)
    idle = _subtract(_count(cell), before)
    started = _count(cell)
    tasks = racks * WORKERS_PER_RACK * 2
    await cell.submit("load", build_spec(TEAM, "service", tasks, 0.0))
    await cell.wait_for(lambda: cell.check().starts == tasks)
    work = _subtract(_count(cell), started)
    victim = _choose_victim(cell)
    lost = set(victim.incarnation.partitions.shards)
    moved = len(victim.member.ownership.list_owned(victim.name))
    await victim.kill()
    before, processor = _count(cell), time.process_time()
    recovered = asyncio.create_task(cell.wait_for(cell.is_settled))
    first = await _place_on(cell, lost)
    recovered_after = await recovered
    counts = _subtract(_count(cell), before)
    seconds = time.process_time() - processor
    cell.assert_safe()
    await cell.stop()
    return Takeover(
        factor=factor,
        racks=racks,
        running_tasks=tasks,
        moved_partitions=moved,
        recovered_after=round(recovered_after, 3),
        first_placement_after=round(first, 3),
        peer_messages=counts["messages"],
        table_reads=counts["reads"],
        table_transactions=counts["transactions"],
        processor_seconds=round(seconds, 2),
        idle_peer_messages_per_second=idle["messages"] / IDLE_SECONDS,
        idle_reads_per_second=idle["reads"] / IDLE_SECONDS,
        idle_transactions_per_second=idle["transactions"] / IDLE_SECONDS,
        starts=tasks,
        records_per_start=round(work["records"] / tasks, 3),
        transactions_per_start=round(work["transactions"] / tasks, 3),
    )


def _choose_victim(cell):
    """Return the scheduler with most shards that does not own the load's home."""
    home = cell.find_owner(home_of_team(TEAM))
    others = [daemon for daemon in cell.daemons if daemon is not home]
    return max(others, key=lambda daemon: len(daemon.incarnation.partitions.shards))


async def _place_on(cell, shards):
    """Submit work for the lost shards' racks; return when its first task starts."""
    loop = asyncio.get_running_loop()
    killed_at = loop.time()
    rack = min(shards).removeprefix("shard-")
    spec = build_spec(TEAM, tasks=1, run_seconds=1.0)
    template = spec.template.with_changes(required={"rack": rack})
    await cell.submit(
        "urgent", spec.with_changes(template=template, urgency=Urgency.URGENT)
    )
    while True:
        for event in cell.workers.history.show():
            if event.job == "urgent":
                return event.at - killed_at
        await asyncio.sleep(POLL_SECONDS)


def _count(cell):
    return {
        "messages": cell.network.messages,
        "reads": cell.table.reads,
        "transactions": cell.table.transactions,
        "records": cell.table.store.records,
    }


def _subtract(after, before):
    return {name: after[name] - before[name] for name in after}


def main():
    """Measure takeovers of 1, 2, 4 and 8 times the base size."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f"python {platform.python_version()}, {platform.machine()}, virtual time")
    print(
        f"{SCHEDULERS} schedulers, {BASE_RACKS} racks of {WORKERS_PER_RACK} workers "
        f"at 1x, 32 homes, table latency {TABLE_LATENCY_SECONDS} s, lease 2 s"
    )
    results = []
    for factor in FACTORS:
        loop = looptime.new_event_loop(start=0, _enabled=True)
        result = loop.run_until_complete(measure(factor))
        loop.close()
        print(result, flush=True)
        results.append(result)
    print(
        json.dumps(
            {
                "schedulers": SCHEDULERS,
                "sizes": [result.model_dump() for result in results],
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
