"""Evacuations of zones in an in-memory cell, and starts by zone."""

import asyncio
from collections import Counter

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import ReserveRuns
from cactustiller.ownership import SettingsEditor, home_of_team
from cactustiller.settings import set_zone_evacuated
from tests.scheduler.builders import build_spec

# Of the last start after the confirmation, at a member that has the version.
BOUND_SECONDS = 0.5


def now():
    return asyncio.get_running_loop().time()


def find_running(cell):
    return next(daemon for daemon in cell.daemons if daemon.is_running)


async def refuse(message, hello):
    return Failure(code=ErrorCode.UNAVAILABLE, step="test", reason="cut off")


def make_editor(daemon):
    return SettingsEditor(daemon.incarnation.replica, daemon.member, "s", "c")


async def start(cell):
    await cell.start()
    await make_editor(cell.daemons[0]).create_default()


async def change(cell, zones, is_evacuated=True, daemon=None):
    """Evacuate or restore zones; return the time of the confirmation."""
    editor = make_editor(daemon or find_running(cell))
    for zone in zones:

        def edit(tree, zone=zone):
            return set_zone_evacuated(tree, "s/c", zone, is_evacuated)

        (await editor.change(edit, "test")).unwrap()
    return now()


async def submit(cell, job, **values):
    answer = await cell.submit(job, build_spec(**values))
    assert answer.is_ok(), answer


def list_starts(cell, zone, after=0.0):
    zones = {name: worker.info.zone for name, worker in cell.workers.workers.items()}
    return [
        event
        for event in cell.workers.history.show()
        if event.event == "start" and zones[event.worker] == zone and event.at > after
    ]


def count_running(cell, zone):
    zones = {name: worker.info.zone for name, worker in cell.workers.workers.items()}
    running = Counter()
    for event in cell.workers.history.show():
        running[zones[event.worker]] += 1 if event.event == "start" else -1
    return running[zone]


def is_over(cell, job):
    entry = cell.find_entry(job)
    return entry is not None and entry.is_over


def find_shard(cell, partition="shard-r0"):
    owner = cell.find_owner(partition)
    return owner.incarnation.partitions.shards[partition]


def reserve(shard, runs, all_or_none=False):
    message = ReserveRuns(
        shard=shard.shard, hold_ms=10_000, runs=runs, all_or_none=all_or_none
    )
    return shard.reserve(message).results


def find_home(cell):
    name = home_of_team("free")
    return cell.find_owner(name).incarnation.partitions.homes[name]


def build_runs(cell, workers):
    """Return runs of a submitted job's tasks, one for each worker named."""
    home = find_home(cell)
    entry = cell.find_entry("j1")
    return [home.make_run(entry, index, name) for index, name in enumerate(workers)]


async def hold_job(cell, tasks):
    """Submit a job that nothing starts, so that the test can start its runs."""
    for daemon in cell.daemons:
        daemon.incarnation.dispatcher.run_round = lambda: None
    await submit(cell, "j1", tasks=tasks)
