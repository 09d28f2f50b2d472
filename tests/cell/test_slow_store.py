"""Submissions under usual load while the store is slow, silent or loses answers.

The slow store answers sixty times slower than usual.
"""

import asyncio
import random

import pytest

from cactustiller.cell import Acceptance
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue
from standins.fleet.store import Trouble

pytestmark = pytest.mark.looptime

SLOWNESS = 60.0
WORKERS = 24
JOBS_PER_SECOND = 27
# The store is slow for this long, after normal operation that fills the workers.
SLOW_SECONDS = 5.0
# Timeout of the callers.
CALLER_SECONDS = 3.0


async def submit(cell, number, queues, accepted):
    """Submit one job of the usual mix, mostly short urgent jobs."""
    kind = random.Random(number).random()
    if kind < 0.9:
        spec = make_job(number, queues[0], count=2, cpu=2800, estimate_ms=640)
        seconds = 0.64
    elif kind < 0.98:
        spec = make_job(number, queues[1], count=10, cpu=2000, estimate_ms=3400)
        seconds = 3.4
    else:
        spec = make_job(number, queues[1], count=8, cpu=9000, estimate_ms=6200)
        seconds = 6.2
    members = list(cell.members)
    loop = asyncio.get_running_loop()
    asked_at = loop.time()
    outcome = await cell.submit(spec, seconds, members[number % len(members)])
    if outcome is Acceptance.ACCEPTED:
        accepted[spec.job] = loop.time() - asked_at


async def test_jobs_are_stored_and_started_while_the_store_is_slow():
    queues = [make_queue("urgent"), make_queue("batch", priority=2)]
    accepted = {}
    calls = []
    async with FleetCell(members=6, workers=WORKERS, queues=queues) as cell:
        owner = cell.find_owner()
        first_slow = 3 * JOBS_PER_SECOND
        for number in range(int((3 + SLOW_SECONDS) * JOBS_PER_SECOND)):
            if number == first_slow:
                cell.store.slowness = SLOWNESS
            calls.append(asyncio.create_task(submit(cell, number, queues, accepted)))
            await asyncio.sleep(1 / JOBS_PER_SECOND)
        await asyncio.sleep(CALLER_SECONDS)
        started = {task.partition(".")[0] for task, _, _ in cell.audit.starts}
        slow = [f"{n:016x}" for n in range(first_slow, len(calls))]
        taken = [job for job in slow if job in accepted]
        begun = [job for job in slow if job in started]
        assert len(taken) > 0.9 * len(slow)
        assert len(begun) > 0.9 * len(slow)
        assert max(accepted.values()) < CALLER_SECONDS
        assert cell.find_owner() == owner
        cell.store.slowness = 1.0
        await asyncio.gather(*calls)


async def test_callers_are_answered_in_time_when_the_store_becomes_slow():
    async with FleetCell(members=3) as cell:
        cell.store.slowness = 4 * SLOWNESS
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        names = list(cell.members)
        await asyncio.gather(
            *(cell.submit(make_job(n), member=names[n % 3]) for n in range(1, 10))
        )
        assert loop.time() - asked_at < CALLER_SECONDS


async def test_jobs_beyond_the_capacity_of_a_slow_store_are_refused_immediately():
    rate, seconds = 150, 4.0
    answers, calls = {}, []
    async with FleetCell(members=6, workers=80, queues=[make_queue("urgent")]) as cell:
        cell.store.slowness = SLOWNESS
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2)

        async def submit_urgent(number):
            spec = make_job(number, cell.queues[0], count=2, cpu=2800, estimate_ms=640)
            asked_at = loop.time()
            outcome = await cell.submit(spec, 0.64, list(cell.members)[number % 6])
            answers[spec.job] = (outcome, loop.time() - asked_at)

        for number in range(int(rate * seconds)):
            calls.append(asyncio.create_task(submit_urgent(number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*calls)
        await asyncio.sleep(1.5)
        started = {task.partition(".")[0] for task, _, _ in cell.audit.starts}
        taken = [
            job for job, answer in answers.items() if answer[0].value == "accepted"
        ]
        refused = [a[1] for a in answers.values() if a[0] is Acceptance.REFUSED]
        assert len(taken) > 0.25 * len(answers)
        assert len(taken) + len(refused) > 0.9 * len(answers)
        assert len(started & set(taken)) > 0.9 * len(taken)
        assert sorted(refused)[int(0.9 * len(refused))] < 0.1
        cell.store.slowness = 1.0


async def test_callers_are_answered_quickly_when_the_store_stops_answering():
    async with FleetCell(members=3) as cell:
        await asyncio.sleep(1)
        for store in cell.stores.values():
            store.trouble = Trouble.SILENT
        loop = asyncio.get_running_loop()
        silent_at = loop.time()
        waits = {}

        async def submit_one(number):
            await asyncio.sleep(0.05 * number)
            asked_at = loop.time()
            await cell.submit(make_job(number), member=f"m{number % 3}")
            waits[asked_at - silent_at] = loop.time() - asked_at

        await asyncio.gather(*(submit_one(number) for number in range(1, 161)))
        # Callers wait for the store in the first seconds only; the age of the outage
        # counts from the first failed read, up to 1 s after its begin.
        assert max(waits.values()) < CALLER_SECONDS
        late = [seconds for age, seconds in waits.items() if age > 5.2]
        assert len(late) > 50
        assert max(late) < 0.1
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await cell.wait_for_owner()


async def test_lost_answers_of_the_store_cause_little_delay():
    # 40 % of the answers are lost.
    async with FleetCell(members=3) as cell:
        await asyncio.sleep(1)
        generator = random.Random(1)
        store = cell.stores[cell.find_owner()]
        loop = asyncio.get_running_loop()
        waits = []
        for number in range(1, 81):
            store.answers_to_lose = int(generator.random() < 0.4)
            asked_at = loop.time()
            assert await cell.submit(make_job(number)) is Acceptance.ACCEPTED
            waits.append(loop.time() - asked_at)
        store.answers_to_lose = 0
        assert sum(waits) / len(waits) < 0.12
        assert max(waits) < 0.5


async def test_cancellation_is_answered_in_time_when_the_store_stops_answering():
    async with FleetCell(members=3) as cell:
        spec = make_job(1)
        await cell.submit(spec, 60.0)
        for store in cell.stores.values():
            store.trouble = Trouble.SILENT
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        outcomes = await asyncio.gather(
            *(member.intake.cancel(spec.job) for member in cell.members.values())
        )
        assert loop.time() - asked_at < CALLER_SECONDS
        # The owner's transaction may still be committed, which cancels the job.
        assert Acceptance.ACCEPTED not in outcomes
        assert Acceptance.UNKNOWN in outcomes
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await cell.wait_for_state(spec, JobState.CANCELLED)
