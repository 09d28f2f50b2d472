"""Added latency, withdrawal of keys and use of slots; ``make bench-gateway``."""

import asyncio
import json
import time

import typer

from demo.cell import Cell
from demo.layout import CellOptions

from .fleet import (
    Operator,
    describe_machine,
    list_executor_urls,
    make_url,
    measure_busy_slots,
    read_history,
    run_load,
)

CALLERS = (1, 8, 64)
LOAD_PROCESSES = 4
EXECUTORS = 24
SLOTS = 8
GATEWAYS = 9
SKEWED_CALLERS = (150, *[10] * (GATEWAYS - 1))
SKEWED_WORK_MS = 400
SKEWED_WARM_UP_SECONDS = 3.0
REFUSED_SECONDS = 10.0


async def measure_latency(base_port, seconds):
    """Return the rates and added latencies of one gateway, by callers."""
    options = CellOptions(
        base_port=base_port, gateways=1, schedulers=2, workers=8, backends=EXECUTORS
    )
    rows = []
    async with Cell(options) as cell, Operator(cell) as operator:
        headers = await operator.add_team()
        for callers in CALLERS:
            processes = min(callers, LOAD_PROCESSES)
            direct = await run_load(
                list_executor_urls(cell), {}, callers, seconds, processes
            )
            through = await run_load(
                [make_url(operator.gateways[0])], headers, callers, seconds, processes
            )
            row = {
                "callers": callers,
                "direct_per_second": round(direct.requests_per_second),
                "gateway_per_second": round(through.requests_per_second),
                "direct_p50_ms": direct.p50_ms,
                "direct_p99_ms": direct.p99_ms,
                "added_p50_ms": round(through.p50_ms - direct.p50_ms, 2),
                "added_p99_ms": round(through.p99_ms - direct.p99_ms, 2),
                "statuses": through.statuses,
                **describe_machine(),
            }
            print(json.dumps(row), flush=True)
            rows.append(row)
    return rows


async def measure_withdrawals(operator, count):
    """Return the seconds from each withdrawal to the last gateway's refusal."""
    times = []
    for number in range(count):
        headers = await operator.add_key(f"short-{number}")
        started = time.monotonic()
        await operator.call("DELETE", f"/v1/keys/{operator.key_id}")
        ends = await asyncio.gather(
            *(_wait_for_refusal(operator, g, headers) for g in operator.gateways)
        )
        times.append(max(ends) - started)
    return times


async def _wait_for_refusal(operator, gateway, headers):
    until = time.monotonic() + REFUSED_SECONDS
    while await operator.is_accepted(gateway, headers):
        if time.monotonic() > until:
            raise RuntimeError(f"{gateway} accepts a withdrawn key")
        await asyncio.sleep(0.005)
    return time.monotonic()


async def measure_slots(cell, operator, headers, seconds, is_split):
    """Return the mean busy slots under skewed load.

    With `is_split` each gateway's callers go to the executors directly, as many at
    once as the gateway's even share of all slots.
    """
    headers = {**headers, "X-Work-Ms": str(SKEWED_WORK_MS)}
    share = EXECUTORS * SLOTS // GATEWAYS
    executors = list_executor_urls(cell)
    started = time.monotonic()
    loads = []
    for gateway, callers in zip(operator.gateways, SKEWED_CALLERS, strict=True):
        urls = executors if is_split else [make_url(gateway)]
        count = min(callers, share) if is_split else callers
        loads.append(
            run_load(
                urls, headers, count, seconds, warm_up_seconds=SKEWED_WARM_UP_SECONDS
            )
        )
    results = await asyncio.gather(*loads)
    events = await read_history(cell)
    recent = [event for event in events if event["at"] >= started]
    # The stand-in's loop clock is the machine's monotonic clock, as is ours. Load
    # processes take a second to start, so all of them are at work in this window.
    first = started + SKEWED_WARM_UP_SECONDS + 1.0
    busy = measure_busy_slots(recent, first, first + seconds - 1.0)
    statuses = {}
    for result in results:
        for status, number in result.statuses.items():
            statuses[status] = statuses.get(status, 0) + number
    return busy, statuses, recent


async def measure_fleet(base_port, seconds, withdrawals):
    """Return what is measured of nine gateways."""
    options = CellOptions(
        base_port=base_port,
        gateways=GATEWAYS,
        schedulers=3,
        workers=8,
        backends=EXECUTORS,
    )
    async with Cell(options) as cell, Operator(cell) as operator:
        headers = await operator.add_team()
        times = await measure_withdrawals(operator, withdrawals)
        split, *_ = await measure_slots(cell, operator, headers, seconds, True)
        busy, statuses, events = await measure_slots(
            cell, operator, headers, seconds, False
        )
    slots = EXECUTORS * SLOTS
    return {
        "withdrawals": len(times),
        "withdrawal_seconds_median": round(sorted(times)[len(times) // 2], 3),
        "withdrawal_seconds_max": round(max(times), 3),
        "slots_used_share": round(busy / slots, 3),
        "static_split_share": round(split / slots, 3),
        "skewed_statuses": statuses,
        "most_busy_of_an_executor": max(event["busy"] for event in events),
        "most_connections": max(event["connections"] for event in events),
        **describe_machine(),
    }


async def run(base_port, seconds, withdrawals):
    """Run every measurement; return the results as a dict."""
    latency = await measure_latency(base_port, seconds)
    fleet = await measure_fleet(base_port + 200, seconds, withdrawals)
    return {"latency": latency, "fleet": fleet}


def main(base_port: int = 24500, seconds: float = 5.0, withdrawals: int = 20):
    """Measure; the last line is one JSON object."""
    print(
        f"conditions: loopback, {EXECUTORS} executors in one process, work 5 ms "
        f"(skewed load: {SKEWED_WORK_MS} ms), load by up to {LOAD_PROCESSES} processes "
        f"({GATEWAYS} for the skewed load), logs at level info",
        flush=True,
    )
    print(json.dumps(asyncio.run(run(base_port, seconds, withdrawals))))


if __name__ == "__main__":
    typer.run(main)
