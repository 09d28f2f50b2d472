"""More than 500 runs end on an executor while the store is down."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.rig import Rig, Work, run_case  # noqa: E402

EXECUTORS = 2
JOBS = 24
TASKS_PER_JOB = 58
TASKS = JOBS * TASKS_PER_JOB
SHORTEST_SECONDS = 6.0
# Added to the work of the tasks from one job to the next.
STEP_SECONDS = 0.15
OUTAGE_SECONDS = 4.4


async def count_open(rig, jobs):
    """Return the number of jobs that are not shown as completed."""
    states = await asyncio.gather(*(rig.find_state(job) for job in jobs))
    return sum(state != "completed" for state in states)


async def play(has_trouble):
    """Hand in jobs of short tasks; the store is down as they end."""
    async with Rig(FOLDER, executors=EXECUTORS) as rig:
        jobs = [f"{number:016x}" for number in range(JOBS)]
        calls = []
        for number, job in enumerate(jobs):
            seconds = SHORTEST_SECONDS + STEP_SECONDS * number
            step = {
                "Count": TASKS_PER_JOB,
                "Cpu": 40,
                "MemMb": 20,
                "EstimateMs": int(seconds * 1000),
            }
            calls.append(rig.submit(job, [step], Work(seconds)))
        if not all(await asyncio.gather(*calls)):
            raise RuntimeError("a job was not accepted")
        async with asyncio.timeout(30):
            while len(rig.starts) < TASKS:
                await asyncio.sleep(0.05)
        first = rig.starts[0][0]
        await asyncio.sleep(max(0.0, first + SHORTEST_SECONDS - 0.3 - time.monotonic()))
        if has_trouble:
            rig.store.mode = "busy"
            rig.note("store is down")
        await asyncio.sleep(OUTAGE_SECONDS)
        rig.store.mode = "up"
        rig.note("store is up")
        async with asyncio.timeout(40):
            while await count_open(rig, jobs):
                await asyncio.sleep(0.5)
        return rig.find_doubles()


if __name__ == "__main__":
    run_case(play(has_trouble=os.environ.get("TROUBLE", "1") != "0"))
