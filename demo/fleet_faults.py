"""Faults of members, the store, zones and workers, drawn from a seed."""

import asyncio
import signal

from standins.fleet.hosts import DOWN_SECONDS, Reach
from standins.fleet.processes import ZONES
from standins.fleet.store import Trouble
from standins.fleet.troubles import WorkerTrouble

FAULT_PAUSE_SECONDS = 1.5
# Longest fault: shorter than an owner goes on without its store.
MOST_FAULT_SECONDS = 4.0
MOST_EVACUATION_SECONDS = 6.0
# `trouble_worker` picks among the first hosts only, so that a seed picks the same ones
# however many there are.
TROUBLED_HOSTS = 4
CRASH_ROUND_SECONDS = 0.5


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
    host = generator.choice(cell.hosts[:TROUBLED_HOSTS])
    troubles = [t for t in WorkerTrouble if t not in NOT_DRAWN]
    trouble = generator.choice(troubles)
    if trouble in CUTS:
        await host.cut_off(seconds, CUTS[trouble])
    elif trouble in (WorkerTrouble.CRASHED, WorkerTrouble.REPLACED):
        await host.crash(seconds, is_renamed=trouble is WorkerTrouble.REPLACED)
    else:
        await _trouble_host(host, seconds, trouble)


# The second is what the host itself does.
NOT_DRAWN = (WorkerTrouble.NONE, WorkerTrouble.DARK)
CUTS = {
    WorkerTrouble.CUT_OFF: Reach.SILENT,
    WorkerTrouble.CUT_OFF_WITH_REFUSALS: Reach.REFUSING,
}
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


async def _trouble_host(host, seconds, trouble):
    worker = host.worker
    worker.trouble = trouble
    await asyncio.sleep(seconds)
    if worker.trouble is trouble:
        worker.trouble = WorkerTrouble.NONE


async def upset_workers(cell, ledger, generator, until):
    """Inject faults of workers and of calls to them; some overlap."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < until:
        fault = generator.choice(WORKER_FAULTS)
        ledger.faults.append((fault.__name__,))
        tasks.append(asyncio.create_task(fault(cell, generator)))
        await asyncio.sleep(generator.uniform(0.2, FAULT_PAUSE_SECONDS))
    await asyncio.gather(*tasks)


async def crash_workers(cell, generator):
    """Crash one or several workers at once, some of them again and again."""
    hosts = generator.sample(cell.hosts, generator.randint(1, 3))
    crashes = []
    for _ in range(generator.randint(1, 4)):
        for host in hosts:
            is_dark, is_renamed = generator.random() < 0.3, generator.random() < 0.3
            seconds = generator.uniform(*DOWN_SECONDS)
            crash = host.crash(seconds, is_dark, is_renamed)
            crashes.append(asyncio.create_task(crash))
        await asyncio.sleep(CRASH_ROUND_SECONDS)
        if generator.random() < 0.5:
            hosts = generator.sample(cell.hosts, generator.randint(1, 3))
    await asyncio.gather(*crashes)


async def crash_behind_cut(cell, generator):
    """Crash a worker while it is cut off; it is back during or after the cut."""
    host = generator.choice(cell.hosts)
    cut = host.cut_off(generator.uniform(1.0, 7.0), _choose_reach(generator))
    task = asyncio.create_task(cut)
    await asyncio.sleep(generator.uniform(0.1, 1.0))
    await host.crash(generator.uniform(*DOWN_SECONDS), is_renamed=_toss(generator))
    await task


async def cut_off_worker(cell, generator):
    """Cut a worker off, for shorter or longer than its entry or its lease lasts."""
    host = generator.choice(cell.hosts)
    await host.cut_off(generator.uniform(0.3, 9.0), _choose_reach(generator))


async def drain_worker(cell, generator):
    """Let a worker drain and exit; some are cut off meanwhile."""
    host = generator.choice(cell.hosts)
    drain = host.drain(
        generator.uniform(1.0, 4.0),
        generator.uniform(0.2, 8.0),
        generator.uniform(*DOWN_SECONDS),
    )
    task = asyncio.create_task(drain)
    if _toss(generator):
        await asyncio.sleep(generator.uniform(0.0, 1.5))
        await host.cut_off(generator.uniform(0.5, 9.0), _choose_reach(generator))
    await task


async def fail_runs(cell, generator):
    """Let a worker fail all that it starts."""
    host = generator.choice(cell.hosts)
    await _trouble_host(host, generator.uniform(1.0, 6.0), WorkerTrouble.FAILING)


async def delay_orders(cell, generator):
    """Let a share of the orders get no answer and be carried out seconds later."""
    for host in generator.sample(cell.hosts, 2):
        host.late_share = 0.4
    await asyncio.sleep(generator.uniform(0.5, 4.0))
    for host in cell.hosts:
        host.late_share = 0.0


async def delay_answers(cell, generator):
    """Let answers overtake each other, and lose some."""
    for host in generator.sample(cell.hosts, 3):
        host.slow_share, host.lost_share = 0.3, 0.05
    await asyncio.sleep(generator.uniform(0.5, 4.0))
    for host in cell.hosts:
        host.slow_share = host.lost_share = 0.0


async def lose_power(cell, generator):
    """Kill a daemon whose connections to workers stay open, and start it again."""
    names = sorted(cell.members)
    if len(names) > 1:
        name = generator.choice(names)
        await cell.lose_power(name)
        await asyncio.sleep(generator.uniform(0.2, MOST_FAULT_SECONDS))
        await cell.start_member(name)


async def expire_entries(cell, generator):
    """Let all entries of workers expire during an outage of the store."""
    trouble = generator.choice([Trouble.REFUSING, Trouble.SILENT])
    cell.store_client.trouble = trouble
    await asyncio.sleep(generator.uniform(0.1, MOST_FAULT_SECONDS))
    cell.registry.expire_all()
    if cell.store_client.trouble is trouble:
        cell.store_client.trouble = Trouble.NONE


def _choose_reach(generator):
    return generator.choice([Reach.SILENT, Reach.REFUSING])


def _toss(generator):
    return generator.random() < 0.5


WORKER_FAULTS = (
    crash_workers,
    crash_behind_cut,
    cut_off_worker,
    drain_worker,
    fail_runs,
    delay_orders,
    delay_answers,
    lose_power,
    expire_entries,
)
