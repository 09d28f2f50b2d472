"""Counts slots and connections of executors from their own history under faults.

Nine gateways under skewed load; the pool's owner is killed twice, a gateway is halted
and another killed, the table service is down, once together with the owner's death.
"""

import asyncio
import json
import sys

import aiohttp
import typer

from cactustiller.ownership import OWNERSHIP_KEY, pool_of_service
from demo.cell import Cell
from demo.histories import read_json
from demo.layout import CellOptions

from .fleet import SERVICE, Operator, describe_machine, make_url, run_load

EXECUTORS = 24
SLOTS = 8
CONNECTIONS = 64
GATEWAYS = 9
CALLERS = (120, *[12] * (GATEWAYS - 1))
WORK_MS = 300
DEADLINE_MS = 3000
PAUSE_SECONDS = 10.0
LOAD_SECONDS = 75.0


async def find_owner(cell):
    """Return the name of the process that owns the pool."""
    url = f"http://{cell.addresses['table']}/v1/read"
    body = {"gets": [{"key": OWNERSHIP_KEY, "known_version": 0}], "scans": []}
    async with aiohttp.ClientSession() as session, session.post(url, json=body) as r:
        row = (await r.json())["gets"][0]
    member = row["value"]["owners"][pool_of_service(SERVICE)]["member"]
    return "scheduler-" + member.split("-")[1]


async def set_table(cell, is_down):
    """Switch the table service's outage."""
    url = f"http://{cell.addresses['table']}/faults"
    async with aiohttp.ClientSession() as session:
        await (await session.post(url, json={"down": is_down})).read()


async def cause_faults(cell):
    """Cause each fault in turn, with time to recover between them."""
    for number in range(2):
        await asyncio.sleep(4)
        owner = await find_owner(cell)
        print(f"kill {owner}, which owns the pool ({number + 1})", flush=True)
        await cell.kill(owner)
        await asyncio.sleep(8)
        await cell.restart(owner)
    print(f"halt gateway-2 for {PAUSE_SECONDS:.0f} s", flush=True)
    cell.pause("gateway-2")
    await asyncio.sleep(PAUSE_SECONDS)
    cell.resume("gateway-2")
    await asyncio.sleep(2)
    print("kill gateway-3", flush=True)
    await cell.kill("gateway-3")
    await asyncio.sleep(6)
    owner = await find_owner(cell)
    print(f"table service down for 15 s, {owner} killed after 5 s", flush=True)
    await set_table(cell, True)
    await asyncio.sleep(5)
    await cell.kill(owner)
    await asyncio.sleep(10)
    await set_table(cell, False)
    await asyncio.sleep(12)


def summarize(events):
    """Return the highest counts of the executors' history by kind of event."""
    refused = [event for event in events if event["event"] == "refused"]
    return {
        "starts": sum(event["event"] == "start" for event in events),
        "most_busy": max(event["busy"] for event in events),
        "most_connections": max(event["connections"] for event in events),
        "refused_for_lack_of_slots": len(refused),
    }


def count_by_second(events, started):
    """Return the starts in each second of the history."""
    starts = [event["at"] - started for event in events if event["event"] == "start"]
    counts = [0] * (int(max(starts)) + 1)
    for at in starts:
        counts[int(at)] += 1
    return counts


async def run(base_port):
    """Run the load and the faults; return the results as a dict."""
    options = CellOptions(
        base_port=base_port,
        gateways=GATEWAYS,
        schedulers=3,
        workers=8,
        backends=EXECUTORS,
    )
    async with Cell(options) as cell, Operator(cell) as operator:
        headers = await operator.add_team()
        headers |= {"X-Work-Ms": str(WORK_MS), "X-Deadline-Ms": str(DEADLINE_MS)}
        loads = [
            asyncio.create_task(
                run_load([make_url(gateway)], headers, callers, LOAD_SECONDS)
            )
            for gateway, callers in zip(operator.gateways, CALLERS, strict=True)
        ]
        await cause_faults(cell)
        results = await asyncio.gather(*loads)
        history = await read_json(cell.addresses["backends"], "/history")
    events = history["events"]
    statuses = {}
    for result in results:
        for status, count in result.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    return {
        **summarize(events),
        "answers": statuses,
        "starts_by_second": count_by_second(events, events[0]["at"]),
        **describe_machine(),
    }


def main(base_port: int = 24800):
    """Run the check; the last line is one JSON object, the exit code 1 on a breach."""
    results = asyncio.run(run(base_port))
    print(json.dumps(results))
    is_good = (
        results["most_busy"] <= SLOTS
        and results["most_connections"] <= CONNECTIONS
        and not results["answers"].get("wrong")
    )
    sys.exit(0 if is_good else 1)


if __name__ == "__main__":
    typer.run(main)
