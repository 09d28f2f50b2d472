"""Control cost of the daemons at growing sizes, and its slopes."""

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from demo.cell import Cell
from demo.layout import CellOptions
from demo.readiness import CellError

from .driving import DriveError, Driver, scale_design
from .sampling import (
    SampleError,
    compute_costs,
    describe_conditions,
    open_operator,
    take_sample,
)
from .slopes import Observation, fit_slopes

SIZES = "24,96,192,384,770"
ENTRIES = 6
SETTLE_SECONDS = 4.0
FILL_SECONDS = 150.0
FILL_PART = 0.98
# A whole cycle of lease renewals, so that the window sees neither more nor less.
RENEWAL_SECONDS = 10.0
STATS_SECONDS = 20.0
CHANGES = 1.0
FLOW_WAITS = 100
ROLES = ("gateway", "scheduler")


class SizeRun:
    """Measures one size, phase after phase, each adding one driver."""

    def __init__(self, options, window_seconds):
        self.size = scale_design(options.workers)
        self.observations = []
        self.notes = {"size": self.size._asdict()}
        self._options = options
        self._window_seconds = window_seconds

    async def run(self):
        """Start the cell and measure every phase."""
        async with (
            Cell(self._options) as cell,
            open_operator(cell, STATS_SECONDS) as operator,
            contextlib.aclosing(_Closing(Driver(cell, operator, self.size))) as held,
        ):
            driver = held.driver
            self._operator = operator
            await asyncio.sleep(SETTLE_SECONDS)
            await self._measure("idle", teams=0)
            await driver.add_teams()
            await asyncio.sleep(SETTLE_SECONDS)
            await self._measure("teams")
            await self._fill(driver)
            await self._measure("tasks")
            async with _running(driver.keep_starting(self.size.starts)):
                await asyncio.sleep(SETTLE_SECONDS)
                await self._measure("starts")
                await self._note_waits(driver)
                async with _running(driver.keep_changing(CHANGES)):
                    await self._measure("changes")
            self.notes["refused"] = driver.refused

    async def _fill(self, driver):
        loop = asyncio.get_running_loop()
        began = loop.time()
        await driver.fill(self.size.tasks)
        running = 0
        while loop.time() - began < FILL_SECONDS:
            await asyncio.sleep(1.0)
            # A scheduler may be too busy to answer while it fills.
            with contextlib.suppress(SampleError):
                running = (await take_sample(self._operator)).running
            if running >= FILL_PART * self.size.tasks:
                break
        self.notes["fill_seconds"] = round(loop.time() - began, 1)
        self.notes["filled_tasks"] = running
        await asyncio.sleep(RENEWAL_SECONDS)

    async def _measure(self, phase, teams=None):
        before = await take_sample(self._operator)
        await asyncio.sleep(self._window_seconds)
        after = await take_sample(self._operator)
        costs = compute_costs(before, after)
        drivers = {
            "workers": self.size.workers,
            "teams": self.size.teams if teams is None else teams,
            "tasks": (before.running + after.running) / 2,
            "starts": _find_rate(before, after, "decisions"),
            "changes": _find_rate(before, after, "table_records.settings") / 2,
        }
        drivers["changed_teams"] = drivers["changes"] * drivers["teams"]
        found = Observation(
            self.size.workers, phase, drivers, {r: _average(costs, r) for r in ROLES}
        )
        self.observations.append(found)
        self.notes[f"largest_{phase}"] = {r: _find_largest(costs, r) for r in ROLES}
        print(f"{self.size.workers} workers, {phase}: {_round(drivers)}")
        for role in ROLES:
            print(f"  {role}: {_round(found.costs[role])}", flush=True)

    async def _note_waits(self, driver):
        waits = await driver.read_flow_waits(FLOW_WAITS)
        if waits:
            self.notes["flow_wait_p50_seconds"] = round(waits[len(waits) // 2], 3)
            self.notes["flow_wait_max_seconds"] = round(waits[-1], 3)
            self.notes["flow_waits"] = len(waits)


class _Closing:
    """Driver whose connections are closed at the end of a block."""

    def __init__(self, driver):
        self.driver = driver

    async def aclose(self):
        await self.driver.close()


@contextlib.asynccontextmanager
async def _running(coroutine):
    task = asyncio.create_task(coroutine)
    try:
        yield
        if task.done():
            task.result()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _average(costs, role):
    found = [cost for name, cost in costs.items() if name.endswith(role)]
    return {
        field: sum(getattr(cost, field) for cost in found) / len(found)
        for field in found[0]._fields
    }


def _find_largest(costs, role):
    found = [cost for name, cost in costs.items() if name.endswith(role)]
    return _round(
        {field: max(getattr(c, field) for c in found) for field in found[0]._fields}
    )


def _find_rate(before, after, name):
    total = sum(
        counters.get(name, 0) - before.members[member].get(name, 0)
        for member, counters in after.members.items()
        if member in before.members
    )
    return total / (after.at - before.at)


def _round(values):
    return {name: float(f"{value:.4g}") for name, value in values.items()}


async def measure_sizes(sizes, entries, window_seconds, base_port):
    """Return conditions, observations and slopes as one JSON object."""
    observations = []
    runs = []
    for number, workers in enumerate(sizes):
        options = CellOptions(
            gateways=entries,
            schedulers=entries,
            workers=workers,
            base_port=base_port + 200 * number,
        )
        run = SizeRun(options, window_seconds)
        run.notes["conditions"] = describe_conditions()
        print(f"{workers} workers: {run.notes['conditions']}", flush=True)
        try:
            await run.run()
        except (SampleError, DriveError) as error:
            run.notes["ended_by"] = str(error)
            print(f"{workers} workers: ended by {error}", flush=True)
        observations += run.observations
        runs.append(run.notes)
    return {
        "entries": entries,
        "window_seconds": window_seconds,
        "observations": [
            {**item._asdict(), "drivers": _round(item.drivers)} for item in observations
        ],
        "runs": runs,
        "slopes": fit_slopes(observations),
    }


def main(
    sizes: str = SIZES,
    entries: int = ENTRIES,
    window: float = RENEWAL_SECONDS,
    base_port: int = 28000,
    record: Annotated[
        Path | None, typer.Option(help="Write the JSON object here as well.")
    ] = None,
):
    """Measure the cell at several sizes and fit the slopes."""
    try:
        numbers = [int(size) for size in sizes.split(",")]
        report = asyncio.run(measure_sizes(numbers, entries, window, base_port))
    except (CellError, ValueError) as error:
        print(f"bench-control: {error}", file=sys.stderr)
        raise typer.Exit(1) from error
    if record is not None:
        record.write_text(json.dumps(report, indent=1, sort_keys=True) + "\n")
    print(json.dumps(report))


if __name__ == "__main__":
    typer.run(main)
