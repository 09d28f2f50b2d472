"""A draining executor is cut off with refusals, outlives its entry and comes back."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.rig import Rig, Work, run_case  # noqa: E402

EXECUTORS = 16
TASKS = 16
TASK_SECONDS = 6.0
DRAIN_AT_SECONDS = 4.2
DRAIN_MS = 2000
# The cut ends before the lease of 6 s does, and after the entry has expired.
CUT_SECONDS = 3.7
CUT_AT_SECONDS = 1.3
LINGER_SECONDS = 10.0
JOB = "5c0e7a21d94b36f8"


async def play(has_trouble):
    """Let an executor drain, and cut it off while its last task ends."""
    async with Rig(FOLDER, executors=EXECUTORS) as rig:
        step = {"Count": TASKS, "Cpu": 20000, "MemMb": 2000, "EstimateMs": 6000}
        if not await rig.submit(JOB, [step], Work(TASK_SECONDS)):
            raise RuntimeError("the job was not accepted")
        async with asyncio.timeout(10):
            while len(rig.starts) < TASKS:
                await asyncio.sleep(0.02)
        leaving = rig.executors[0]
        await asyncio.sleep(rig.starts[0][0] + DRAIN_AT_SECONDS - time.monotonic())
        leaving.drain(DRAIN_MS)
        drained_at = time.monotonic()
        if has_trouble:
            await asyncio.sleep(CUT_AT_SECONDS)
            await leaving.cut_off()
            await asyncio.sleep(CUT_SECONDS)
            await leaving.reconnect()
        await asyncio.sleep(drained_at + LINGER_SECONDS - time.monotonic())
        await leaving.leave()
        async with asyncio.timeout(40):
            while await rig.find_state(JOB) != "completed":
                await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        return rig.find_doubles()


if __name__ == "__main__":
    run_case(play(has_trouble=os.environ.get("TROUBLE", "1") != "0"))
