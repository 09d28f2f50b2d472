"""Cells and jobs with a straggler that may have a copy."""

import asyncio

from cactustiller.cell import Acceptance
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job

COUNT = 20
SLOW = 7
WORKERS = 8


def make_cell(workers=WORKERS, **settings):
    """Return a cell in which two tasks of one core may have copies for each team."""
    return FleetCell(workers=workers, **settings)


async def submit_with_straggler(
    cell, seconds=2.0, slowdown=7.0, number=1, queue=None, **changes
):
    """Hand in a job of which the first run of one task is slow; return its spec."""
    changes = {"count": COUNT, "allows_copies": True, "estimate_ms": 2000} | changes
    spec = make_job(number, queue, **changes)
    cell.slow_runs[find_slow_task(spec), 1] = slowdown
    assert await cell.submit(spec, seconds) is Acceptance.ACCEPTED
    return spec


def find_slow_task(spec):
    return f"{spec.job}.0.0.{SLOW % spec.steps[0].count}"


def find_runs(cell, name):
    """Return the runs of a task on workers, as dict of run number to worker."""
    return {
        worker.runs[name].run: worker
        for worker in cell.workers.values()
        if name in worker.runs
    }


async def wait_for_copy(cell, spec):
    """Wait until both runs of the slow task are on workers; return the workers."""
    name = find_slow_task(spec)
    async with asyncio.timeout(20.0):
        while len(find_runs(cell, name)) < 2:
            await asyncio.sleep(0.01)
    runs = find_runs(cell, name)
    return runs[min(runs)], runs[max(runs)]


def list_started_runs(cell, spec):
    """Return the run numbers of the slow task in the order of their starts."""
    name = find_slow_task(spec)
    return [run for task, run, _ in cell.audit.starts if task == name]


async def wait_for_no_runs(cell):
    async with asyncio.timeout(20.0):
        while any(worker.runs for worker in cell.workers.values()):
            await asyncio.sleep(0.05)


def check_released(cell):
    """Check that neither capacity nor team usage nor a copy is left counted."""
    engine = cell.find_engine()
    for worker in engine.workers.values():
        assert not worker.runs
        assert not worker.orphaned_runs
        assert worker.free_cpu == worker.info.capacity[0]
        assert worker.free_memory == worker.info.capacity[1]
    assert all(not any(used) for used in engine._used.values())
    assert engine.speculation.count_copies() == 0


async def finish(cell, spec, state=JobState.SUCCEEDED):
    await cell.wait_for_state(spec, state)
    await wait_for_no_runs(cell)
    await asyncio.sleep(2.5)
    check_released(cell)


def list_tasks(cell, spec):
    (step,) = cell.find_engine().jobs[spec.job].iterate_steps()
    return step.tasks
