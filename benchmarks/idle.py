"""Processor time, memory and bytes of each daemon of an idle cell."""

import asyncio
import json
import sys

import typer

from cactustiller.cli import display
from demo.cell import Cell
from demo.layout import CellOptions
from demo.readiness import CellError

from .sampling import (
    SampleError,
    compute_costs,
    describe_conditions,
    list_byte_rates,
    open_operator,
    take_sample,
)

SETTLE_SECONDS = 5.0
TARGET_CORE_PERCENT = 1.1
TARGET_RESIDENT_MIB = 128.0
TARGET_BYTES = 10_000.0
COLUMNS = (
    "daemon",
    "core_percent",
    "resident_mib",
    "bytes",
    "table_reads",
    "table_writes",
)


async def measure_idle(options, seconds):
    """Return the figures of an idle cell as one JSON object."""
    async with Cell(options) as cell, open_operator(cell) as client:
        await asyncio.sleep(SETTLE_SECONDS)
        conditions = describe_conditions()
        before = await take_sample(client)
        await asyncio.sleep(seconds)
        after = await take_sample(client)
    costs = compute_costs(before, after)
    return {
        "conditions": conditions | {"workers": options.workers, "seconds": seconds},
        "daemons": {
            name: {key: round(value, 3) for key, value in cost._asdict().items()}
            for name, cost in costs.items()
        },
        "bytes_by_counter": {
            name: list_byte_rates(before, after, name) for name in costs
        },
        "misses": find_misses(costs),
    }


def find_misses(costs):
    """Return the targets that a daemon misses, one line each."""
    misses = []
    for name, cost in costs.items():
        for value, target, unit in (
            (cost.core_percent, TARGET_CORE_PERCENT, "% of a core"),
            (cost.resident_mib, TARGET_RESIDENT_MIB, "MiB"),
            (cost.bytes, TARGET_BYTES, "bytes/s"),
        ):
            if value > target:
                misses.append(f"{name}: {value:.2f} {unit}, target {target:g}")
    return misses


def show_report(report):
    """Print the figures for people, the JSON object last."""
    print(f"conditions: {report['conditions']}")
    rows = [{"daemon": name, **cost} for name, cost in report["daemons"].items()]
    display.show_table(COLUMNS, rows)
    for miss in report["misses"]:
        print(f"missed: {miss}")
    print(json.dumps(report))


def main(
    seconds: float = 30.0,
    gateways: int = 3,
    schedulers: int = 3,
    workers: int = 24,
    base_port: int = 28000,
    log_level: str = "info",
):
    """Measure an idle cell; exits with 1 if it does not start or answer."""
    options = CellOptions(
        gateways=gateways,
        schedulers=schedulers,
        workers=workers,
        base_port=base_port,
        log_level=log_level,
    )
    try:
        show_report(asyncio.run(measure_idle(options, seconds)))
    except (CellError, SampleError) as error:
        print(f"bench-idle: {error}", file=sys.stderr)
        raise typer.Exit(1) from error


if __name__ == "__main__":
    typer.run(main)
