"""Random faults on the real daemons, checked by what callers and workers see.

Run one seed with ``python -m demo.fleet_soak --seed N --seconds S``.
"""

import asyncio
import random
import signal
import tempfile
from dataclasses import dataclass, field
from typing import Annotated

import typer

from standins.fleet.processes import ZONES, ProcessCell, make_body
from standins.fleet.store import Trouble
from standins.fleet.workers import WorkerTrouble

SUBMIT_PAUSE_SECONDS = 0.1
FAULT_PAUSE_SECONDS = 1.5
# Longest fault: shorter than an owner goes on without its store.
MOST_FAULT_SECONDS = 4.0
# Leases of lost workers and a late takeover pass before the end is judged.
SETTLE_SECONDS = 60.0
REFUSED = (429, 503)
# Each so many jobs allows copies of its tasks.
COPIED_JOBS = 7
MOST_EVACUATION_SECONDS = 6.0


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
        body = make_body(is_gang=number % 5 == 0, allows_copies=allows_copies)
        call = _hand_in(cell, ledger, generator, job, body, number)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(SUBMIT_PAUSE_SECONDS)
    await asyncio.gather(*calls)


async def _hand_in(cell, ledger, generator, job, body, number):
    name = generator.choice(sorted(cell.frontends))
    status, _ = await cell.call("POST", job, name, body)
    if status == 200:
        ledger.accepted.add(job)
    elif status in REFUSED:
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


async def inject_faults(cell, ledger, generator, until):
    """Inject one fault after another; some overlap."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < until:
        fault = generator.choice(FAULTS)
        seconds = generator.uniform(0.2, MOST_FAULT_SECONDS)
        ledger.faults.append((fault.__name__, round(seconds, 2)))
        tasks.append(asyncio.create_task(fault(cell, generator, seconds)))
        await asyncio.sleep(generator.uniform(0.2, FAULT_PAUSE_SECONDS))
    await asyncio.gather(*tasks)


async def evacuate_zones(cell, ledger, generator, until):
    """Evacuate zones and take that back, with pauses."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        zone = generator.choice(ZONES)
        seconds = generator.uniform(0.5, MOST_EVACUATION_SECONDS)
        ledger.faults.append((f"evacuate {zone}", round(seconds, 2)))
        cell.evacuate_zone(zone)
        await asyncio.sleep(seconds)
        cell.restore_zone(zone)
        await asyncio.sleep(generator.uniform(0.2, FAULT_PAUSE_SECONDS))


async def kill_member(cell, generator, seconds):
    """Kill a daemon and start it again."""
    await _replace_member(cell, generator, seconds, signal.SIGKILL)


async def stop_member(cell, generator, seconds):
    """Stop a daemon gracefully and start it again."""
    await _replace_member(cell, generator, seconds, signal.SIGTERM)


async def freeze_member(cell, generator, seconds):
    """Let a daemon stand still."""
    names = sorted(cell.members)
    if not names:
        return
    process = cell.members[generator.choice(names)]
    if process.returncode is None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)


async def trouble_store(cell, generator, seconds):
    """Let the store refuse, fall silent or carry writes out late."""
    troubles = [Trouble.REFUSING, Trouble.SILENT, Trouble.CARRYING_OUT_LATE]
    cell.store_client.trouble = generator.choice(troubles)
    await asyncio.sleep(seconds)
    cell.store_client.trouble = Trouble.NONE


async def lose_answers(cell, generator, seconds):
    """Lose the answers of a few transactions."""
    cell.store_client.answers_to_lose += generator.randint(1, 3)


async def forget_history(cell, generator, seconds):
    """Drop the history that feeds go by."""
    cell.store.forget_history()


async def trouble_worker(cell, generator, seconds):
    """Cut a worker off, or let it carry orders out late or fail or stand still."""
    worker = generator.choice(cell.workers)
    troubles = [
        trouble for trouble in WorkerTrouble if trouble is not WorkerTrouble.NONE
    ]
    worker.trouble = generator.choice(troubles)
    await asyncio.sleep(seconds)
    worker.trouble = WorkerTrouble.NONE


FAULTS = (
    kill_member,
    stop_member,
    freeze_member,
    trouble_store,
    lose_answers,
    forget_history,
    trouble_worker,
)


async def _replace_member(cell, generator, seconds, number):
    names = sorted(cell.members)
    if not names:
        return
    name = generator.choice(names)
    await cell.end_member(name, number)
    await asyncio.sleep(seconds)
    await cell.start_member(name)


async def judge(cell, ledger):
    """Return what was broken, once every accepted job has had time to end."""
    faults = list(cell.audit.violations)
    started = {task.partition(".")[0] for task, _, _ in cell.audit.starts}
    faults += [f"{job} was refused and ran" for job in ledger.refused & started]
    for job in sorted(ledger.accepted):
        expected = {"completed", "failed"}
        if job in ledger.cancelled | ledger.perhaps_cancelled:
            expected = {"cancelled", *expected}
        try:
            state = await _wait_for_end(cell, job)
        except TimeoutError:
            faults.append(f"{job} has not ended")
            continue
        if state not in expected:
            faults.append(f"{job} is shown as {state}")
    return faults + [f for f in cell.audit.violations if f not in faults]


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


async def run_soak(folder, seed, seconds):
    """Play one seed; return the `Ledger` and what was broken."""
    generator = random.Random(seed)
    ledger = Ledger()
    async with ProcessCell(folder) as cell:
        await cell.wait_for_owner()
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            submit_jobs(cell, ledger, generator, until),
            inject_faults(cell, ledger, generator, until),
            # A generator of its own, so that earlier seeds inject the same faults.
            evacuate_zones(cell, ledger, random.Random(f"{seed} zones"), until),
        )
        faults = await judge(cell, ledger)
    return ledger, faults


def main(
    seed: Annotated[int, typer.Option()] = 1,
    seconds: Annotated[float, typer.Option(min=1.0)] = 20.0,
):
    """Play one seed and print what was broken."""
    folder = tempfile.mkdtemp(prefix="fleet-soak-")
    ledger, faults = asyncio.run(run_soak(folder, seed, seconds))
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
