"""Pacing of filling tasks in favour of serving tasks on the same worker."""

import asyncio
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cactustiller.cell.records.pacing import FULL_PERCENT, Pace, choose_pace
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue

# Maximum time for which a tail latency may exceed its target.
MAX_OVER_TARGET_SECONDS = 4.0
TARGET_MS = 100


def play(tails, step=0.1):
    """Return the pace after each reading of the tail latency, `step` seconds apart."""
    pace = Pace(FULL_PERCENT, 0.0)
    return [
        choose_pace(pace, [tail], 10 + index * step) for index, tail in enumerate(tails)
    ]


def test_filling_tasks_are_paused_within_the_tolerated_time():
    paces = play([1.2] * 40)
    assert paces.index(0) * 0.1 < MAX_OVER_TARGET_SECONDS - 1.0


def test_the_pace_increases_slowly_while_latency_is_low():
    paces = play([1.2] * 30 + [0.5] * 100)
    assert paces[29] == 0
    assert paces[-1] == FULL_PERCENT
    rises = [after - before for before, after in pairwise(paces[30:])]
    assert max(rises) <= 10


def test_filling_tasks_run_at_full_pace_without_serving_tasks():
    assert choose_pace(Pace(), [], 1.0) == FULL_PERCENT


@given(st.lists(st.floats(0, 5), min_size=1, max_size=60))
def test_the_pace_never_rises_over_the_target(tails):
    paces = [FULL_PERCENT, *play(tails)]
    for (before, after), tail in zip(pairwise(paces), tails, strict=True):
        assert 0 <= after <= FULL_PERCENT
        assert after <= before or tail < 0.75


@pytest.mark.looptime
async def test_a_serving_task_exceeds_its_latency_target_only_briefly():
    queues = [make_queue("serving"), make_queue("batch", priority=2)]
    async with FleetCell(workers=1, queues=queues) as cell:
        (worker,) = cell.workers.values()
        serving = make_job(1, queues[0], is_service=True, latency_target_ms=TARGET_MS)
        filling = make_job(2, queues[1], count=4, cpu=4000, fills=True)

        def measure_load(runs):
            # Each filling run at full pace adds 30 ms to the 40 ms of the serving run.
            paces = [r.pace for r in runs if r.task.startswith(filling.job)]
            return 40 + 30 * sum(paces) / 100

        worker.measure_load = measure_load
        await cell.submit(serving, 1e9)
        await cell.submit(filling, 20.0)
        over = longest = 0.0
        for _ in range(300):
            await asyncio.sleep(0.1)
            tail = measure_load(worker.runs.values())
            over = over + 0.1 if tail > TARGET_MS else 0.0
            longest = max(longest, over)
        assert longest < MAX_OVER_TARGET_SECONDS - 1.0
        filled = [r for r in worker.runs.values() if r.task.startswith(filling.job)]
        assert all(0 < run.seconds < 17 for run in filled)
        # A new owner starts without the current pace and must not exceed the target.
        before = cell.find_owner()
        await cell.kill(before)
        await cell.wait_for_owner(besides=before)
        await asyncio.sleep(6)
        assert measure_load(worker.runs.values()) <= 1.2 * TARGET_MS
        await cell.wait_for_state(filling, JobState.SUCCEEDED, seconds=200.0)


@pytest.mark.looptime
async def test_a_delayed_older_pace_is_corrected():
    queues = [make_queue("serving"), make_queue("batch", priority=2)]
    async with FleetCell(workers=1, queues=queues) as cell:
        (worker,) = cell.workers.values()
        serving = make_job(1, queues[0], is_service=True, latency_target_ms=TARGET_MS)
        filling = make_job(2, queues[1], count=1, cpu=4000, fills=True)

        def measure_load(runs):
            # Any filling work raises the latency over its target.
            paces = [r.pace for r in runs if r.task.startswith(filling.job)]
            return 90 + sum(paces)

        worker.measure_load = measure_load
        await cell.submit(serving, 1e9)
        await cell.submit(filling, 1e9)
        await asyncio.sleep(5)
        task = f"{filling.job}.0.0.0"
        assert worker.runs[task].pace == 0
        worker.take_pace(task, 1, 50, worker.fence)
        await asyncio.sleep(2)
        assert worker.runs[task].pace == 0
