"""Random faults on the real daemons, checked by what callers and workers see.

Run one seed with ``python -m demo.fleet_soak --seed N --seconds S``.
"""

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from typing import Annotated

import typer

from standins.fleet.processes import MAX_ATTEMPTS, ProcessCell, make_body

from .fleet_faults import evacuate_zones, inject_faults, upset_workers

SUBMIT_PAUSE_SECONDS = 0.1
# For the daemons to start, also beside much other load.
START_SECONDS = 60.0
# Leases of lost workers and a late takeover pass before the end is judged.
SETTLE_SECONDS = 60.0
RETRY_SECONDS = 8.0
RETRY_PAUSE_SECONDS = 0.3
REFUSED = (429, 503)
# Each so many jobs allows copies of its tasks.
COPIED_JOBS = 7
# Each so many jobs has a task that crashes the workers that start it.
DEADLY_JOBS = 23
GANG_JOBS = 5


@dataclass
class Ledger:
    """What callers were told of each job."""

    accepted: set = field(default_factory=set)
    refused: set = field(default_factory=set)
    unsure: set = field(default_factory=set)
    cancelled: set = field(default_factory=set)
    perhaps_cancelled: set = field(default_factory=set)
    faults: list = field(default_factory=list)


async def submit_jobs(cell, ledger, generator, until):
    """Hand jobs in through random members and cancel a few."""
    loop = asyncio.get_running_loop()
    number = 0
    calls = []
    while loop.time() < until:
        number += 1
        job = f"{number:016x}"
        allows_copies = number % COPIED_JOBS == 0
        if allows_copies:
            cell.copied_jobs.add(job)
        is_gang = number % GANG_JOBS == 0
        if is_gang:
            cell.gangs.add(job)
        if number % DEADLY_JOBS == 0:
            cell.deadly_tasks.add(f"{job}.0.0.0")
        body = make_body(is_gang=is_gang, allows_copies=allows_copies)
        call = _hand_in(cell, ledger, generator, job, body, number)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(SUBMIT_PAUSE_SECONDS)
    await asyncio.gather(*calls)


async def _hand_in(cell, ledger, generator, job, body, number):
    name = generator.choice(sorted(cell.frontends))
    statuses = await _submit_again(cell, job, name, body)
    status = statuses[-1]
    if status == 200:
        ledger.accepted.add(job)
    elif set(statuses) <= set(REFUSED):
        ledger.refused.add(job)
    else:
        ledger.unsure.add(job)
    if status == 200 and number % 10 == 0:
        name = generator.choice(sorted(cell.frontends))
        status, _ = await cell.call("DELETE", job, name)
        if status == 200:
            ledger.cancelled.add(job)
        elif status not in REFUSED:
            # Seed 321: the store fell silent, so the call got no answer, and the
            # cancelling took effect.
            ledger.perhaps_cancelled.add(job)


async def _submit_again(cell, job, name, body):
    """Hand a job in at one member after another; return the statuses."""
    loop = asyncio.get_running_loop()
    until = loop.time() + RETRY_SECONDS
    names = sorted(cell.frontends)
    statuses = []
    while True:
        status, _ = await cell.call("POST", job, name, body)
        statuses.append(status)
        if status == 200 or loop.time() > until:
            return statuses
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
        name = names[(names.index(name) + 1) % len(names)]


async def judge(cell, ledger):
    """Return what was broken, once every accepted job has had time to end."""
    faults = list(cell.audit.violations)
    started = {task.partition(".")[0] for task, _, _ in cell.audit.starts}
    faults += [f"{job} was refused and ran" for job in ledger.refused & started]
    faults += [f"{name} has ended by itself" for name in cell.ended]
    for job in sorted(ledger.accepted):
        try:
            state = await _wait_for_end(cell, job)
        except TimeoutError:
            faults.append(f"{job} has not ended")
            continue
        if not _has_cause(cell, ledger, job, state):
            faults.append(f"{job} is shown as {state} without cause")
    return faults + [f for f in cell.audit.violations if f not in faults]


def _has_cause(cell, ledger, job, state):
    """Return whether what workers and callers saw explains how a job ended."""
    is_deadly = f"{job}.0.0.0" in cell.deadly_tasks
    if state == "cancelled":
        return job in ledger.cancelled | ledger.perhaps_cancelled
    if state == "failed":
        return is_deadly or _count_failures(cell, job) >= MAX_ATTEMPTS
    return state == "completed" and not is_deadly


def _count_failures(cell, job):
    """Return the most runs that ended `failed` of a task, or of the gang."""
    runs = [
        found
        for task, found in cell.audit.failed_runs.items()
        if task.partition(".")[0] == job
    ]
    if job in cell.gangs:
        return len(set().union(*runs))
    return max(map(len, runs), default=0)


async def _wait_for_end(cell, job):
    async with asyncio.timeout(SETTLE_SECONDS):
        while True:
            for name in sorted(cell.members):
                status, content = await cell.call("GET", job, name)
                if status == 410:
                    return "unknown"
                if status == 200 and content["State"] not in ("queued", "running"):
                    return content["State"]
            await asyncio.sleep(0.2)


async def run_soak(folder, seed, seconds, members=3, workers=8):
    """Play one seed; return the `Ledger` and what was broken."""
    generator = random.Random(seed)
    ledger = Ledger()
    async with ProcessCell(folder, members, workers, seed=seed) as cell:
        await cell.wait_for_owner(START_SECONDS)
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            submit_jobs(cell, ledger, generator, until),
            inject_faults(cell, ledger, generator, until),
            # Generators of their own, so that earlier seeds inject the same faults.
            evacuate_zones(cell, ledger, random.Random(f"{seed} zones"), until),
            upset_workers(cell, ledger, random.Random(f"{seed} workers"), until),
        )
        faults = await judge(cell, ledger)
    return ledger, faults


def main(
    seed: Annotated[int, typer.Option()] = 1,
    seconds: Annotated[float, typer.Option(min=1.0)] = 20.0,
    members: Annotated[int, typer.Option(min=1)] = 3,
    workers: Annotated[int, typer.Option(min=4)] = 8,
):
    """Play one seed and print what was broken."""
    folder = tempfile.mkdtemp(prefix="fleet-soak-")
    ledger, faults = asyncio.run(run_soak(folder, seed, seconds, members, workers))
    typer.echo(
        f"seed {seed}: {len(ledger.accepted)} accepted, {len(ledger.refused)} refused, "
        f"{len(ledger.unsure)} unsure, {len(ledger.faults)} faults, "
        f"{len(faults)} broken, logs in {folder}"
    )
    for fault in faults:
        typer.echo(f"  {fault}")
    raise typer.Exit(1 if faults else 0)


if __name__ == "__main__":
    typer.run(main)
