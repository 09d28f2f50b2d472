"""More than 500 runs end on an executor while the store is down."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.rig import Rig, Work, run_case  # noqa: E402

EXECUTORS = 2
STEPS = 10
TASKS_PER_STEP = 140
SHORTEST_SECONDS = 6.0
STEP_SECONDS = 0.4
OUTAGE_SECONDS = 4.5
JOB = "5c0e7a21d94b36f8"


async def play(has_trouble):
    """Hand in one wide job of short tasks; the store is down as they end."""
    async with Rig(FOLDER, executors=EXECUTORS) as rig:
        seconds = [SHORTEST_SECONDS + STEP_SECONDS * n for n in range(STEPS)]
        steps = [
            {
                "Count": TASKS_PER_STEP,
                "Cpu": 40,
                "MemMb": 20,
                "EstimateMs": int(each * 1000),
            }
            for each in seconds
        ]
        if not await rig.submit(JOB, steps, tuple(map(Work, seconds))):
            raise RuntimeError("the job was not accepted")
        async with asyncio.timeout(30):
            while len(rig.starts) < STEPS * TASKS_PER_STEP:
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
            while await rig.find_state(JOB) != "completed":
                await asyncio.sleep(0.5)
        return rig.find_doubles()


if __name__ == "__main__":
    run_case(play)
