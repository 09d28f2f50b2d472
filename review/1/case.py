"""Open channels between daemons go silent; a queue needs advice before it starts."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.rig import Rig, Work, run_case  # noqa: E402

# As for `rebase-run` of the site `ardmore-cpi`.
ADVICE = {"DecideMs": 480, "PeriodMs": 6.9, "ValidMs": 2000}
EXECUTORS = 8
TASK_SECONDS = 1.0
JOBS = 4
GAP_SECONDS = 2.0
# `ContactMs` and `finish_s` of the pages.
CONTACT_SECONDS = 3.0
FINISH_SECONDS = 14.0
# Bound of the rule LOST for a job of which nothing runs.
IDLE_SECONDS = 3.0


async def play(has_trouble):
    """Hand in jobs before and after the channels have gone silent."""
    rig = Rig(FOLDER, executors=EXECUTORS, advice=ADVICE, has_relays=True)
    async with rig:
        step = {"Count": 4, "Cpu": 9000, "MemMb": 1000, "EstimateMs": 1000}
        if not await rig.submit("a" * 16, [step], Work(TASK_SECONDS)):
            raise RuntimeError("the first job was not accepted")
        async with asyncio.timeout(20):
            while await rig.find_state("a" * 16) != "completed":
                await asyncio.sleep(0.5)
        if has_trouble:
            for relay in rig.relays.values():
                relay.silence()
            silenced = sum(relay.silenced for relay in rig.relays.values())
            rig.note("open channels go silent", count=silenced)
        await asyncio.sleep(CONTACT_SECONDS)
        for number in range(JOBS):
            await rig.submit(f"{number:016x}", [step], Work(TASK_SECONDS))
            await asyncio.sleep(GAP_SECONDS)
        rig.note("the traffic ends")
        await asyncio.sleep(FINISH_SECONDS)
        broken = []
        for job in rig.accepted:
            state = await rig.find_state(job)
            starts = sum(start[1].startswith(f"{job}.") for start in rig.starts)
            if state != "completed" and rig.is_idle(job, IDLE_SECONDS):
                broken.append(f"{job}: shown as {state}, {starts} starts")
        return broken


if __name__ == "__main__":
    run_case(play(has_trouble=os.environ.get("TROUBLE", "1") != "0"))
