"""A job whose progress outgrows a row of the store, beside everyday jobs."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.rig import Rig, Work, run_case  # noqa: E402

EXECUTORS = 24
LARGE_JOB = "a0c3e9d47b125f60"
LARGE_TASKS = 2000
LARGE_SECONDS = 60.0
EVERYDAY_SECONDS = 0.64
GAP_SECONDS = 0.5
TRAFFIC_SECONDS = 20.0
LARGE_AT_SECONDS = 3.0
# Bound `finish_s` of the pages.
FINISH_SECONDS = 14.0
# Bound of the rule LOST for a job of which nothing runs.
IDLE_SECONDS = 3.0


async def play(has_trouble):
    """Hand in everyday jobs all along and, once, a large job."""
    async with Rig(FOLDER, executors=EXECUTORS) as rig:
        loop = asyncio.get_running_loop()
        began = loop.time()
        calls = []
        number = 0
        has_sent_large = not has_trouble
        while loop.time() < began + TRAFFIC_SECONDS:
            if not has_sent_large and loop.time() > began + LARGE_AT_SECONDS:
                has_sent_large = True
                step = {
                    "Count": LARGE_TASKS,
                    "Cpu": 100,
                    "MemMb": 20,
                    "EstimateMs": int(LARGE_SECONDS * 1000),
                }
                work = Work(LARGE_SECONDS)
                calls.append(asyncio.create_task(rig.submit(LARGE_JOB, [step], work)))
            number += 1
            step = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 640}
            calls.append(
                asyncio.create_task(
                    rig.submit(f"{number:016x}", [step], Work(EVERYDAY_SECONDS))
                )
            )
            await asyncio.sleep(GAP_SECONDS)
        await asyncio.gather(*calls)
        rig.note("the traffic ends")
        await asyncio.sleep(FINISH_SECONDS + IDLE_SECONDS)
        broken = []
        for job in rig.accepted:
            if job == LARGE_JOB:
                continue
            state = await rig.find_state(job)
            if state != "completed" and rig.is_idle(job, IDLE_SECONDS):
                starts = sum(start[1].startswith(job) for start in rig.starts)
                broken.append(f"{job}: shown as {state}, {starts} starts")
        rig.note(
            "largest refused value", sizes=sorted(set(rig.store.refused_sizes))[-5:]
        )
        return broken


if __name__ == "__main__":
    run_case(play)
