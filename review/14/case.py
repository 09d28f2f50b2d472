"""A job of many steps, beside jobs of usual size."""

import asyncio
from pathlib import Path

from review.rig3.cell import BROKEN, HELD, NOT_RUN, Cell, Job, has_trouble, run_case
from review.rig3.chains import ChainWatch, make_chain

# Steps of the job, and the most steps of a job of the site.
MANY, USUAL = 600, 4
EXECUTORS = 8
SEND_SECONDS = 20.0
# The client's tries of the job.
TRIES = 5


async def play():
    """Play the case; return its result."""
    count = MANY if has_trouble() else USUAL
    async with Cell(Path(__file__).parent, executors=EXECUTORS) as cell:
        await cell.wait_until_ready()
        first = make_chain(0)
        if not await cell.submit(first):
            return NOT_RUN
        if not await cell.wait_for_state(first, "completed", 15.0):
            return NOT_RUN
        watch = ChainWatch(cell, EXECUTORS * 32_000)
        step = {"Count": 1, "Cpu": 100, "MemMb": 100, "EstimateMs": 1000}
        job = Job("d" * 16, [step] * count, 1000)

        async def send_later():
            await asyncio.sleep(5.0)
            await cell.submit(job, tries=TRIES, seconds=20.0)

        sending = asyncio.create_task(send_later())
        await watch.send(SEND_SECONDS)
        await sending
        is_broken = await watch.judge()
        return BROKEN if is_broken else HELD


run_case(play)
