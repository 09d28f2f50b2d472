"""Submissions that wait for an unavailable store, in a whole cell.

Load: 40 jobs per second, whose callers give up 3 s after the first of five tries and
turn to another member with each. Every accepted job has to run once, and no job that
was refused in all tries may run.
"""

import asyncio
import random
from collections import Counter

import pytest

from cactustiller.cell import Acceptance
from cactustiller.cell.members.outage_queue import make_caller
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.store import Trouble

pytestmark = pytest.mark.looptime

CALLER_SECONDS = 3.0
MAX_TRIES = 5
JOBS_PER_SECOND = 40


class Callers:
    """Callers of a cell with retries.

    Attributes
    ----------
    answers : dict of JobId to list of Acceptance
        Answers to all tries of each job.
    waits : list of float
        Seconds until each answer.
    """

    def __init__(self, cell, seed=1):
        self.answers = {}
        self.waits = []
        self._cell = cell
        self._random = random.Random(seed)

    async def submit(self, number):
        """Submit a job with retries."""
        loop = asyncio.get_running_loop()
        spec = make_job(number, cpu=100, estimate_ms=50)
        answers = self.answers[spec.job] = []
        gives_up_at = loop.time() + CALLER_SECONDS
        while len(answers) < MAX_TRIES and loop.time() < gives_up_at:
            now = loop.time()
            left_ms = int((gives_up_at - now) * 1000)
            name = self._random.choice(list(self._cell.members))
            answer = await self._cell.submit_fully(
                spec, 0.05, name, make_caller(now, left_ms)
            )
            self.waits.append(loop.time() - now)
            answers.append(answer.outcome)
            if answer.outcome is Acceptance.ACCEPTED:
                return
            await asyncio.sleep(answer.retry_after)

    async def submit_during(self, seconds, first=1):
        """Submit jobs at the usual rate; return when all have been answered."""
        calls = []
        for number in range(first, first + int(seconds * JOBS_PER_SECOND)):
            calls.append(asyncio.create_task(self.submit(number)))
            await asyncio.sleep(1 / JOBS_PER_SECOND)
        await asyncio.gather(*calls)

    def find_accepted(self):
        """Return the jobs whose last try was accepted."""
        return {
            job
            for job, answers in self.answers.items()
            if answers[-1] is Acceptance.ACCEPTED
        }

    def check_runs(self):
        """Check that accepted jobs ran once, and refused ones never."""
        starts = Counter(
            task.partition(".")[0] for task, _, _ in self._cell.audit.starts
        )
        for job, answers in self.answers.items():
            if answers[-1] is Acceptance.ACCEPTED:
                assert starts[job] == 1, job
            elif set(answers) == {Acceptance.REFUSED}:
                assert starts[job] == 0, job


def set_trouble(cell, trouble):
    for store in cell.stores.values():
        store.trouble = trouble


async def end_trouble_after(cell, seconds):
    await asyncio.sleep(seconds)
    set_trouble(cell, Trouble.NONE)


@pytest.mark.parametrize("trouble", [Trouble.REFUSING, Trouble.SILENT])
async def test_most_callers_are_served_in_spite_of_an_outage_of_3_s(trouble):
    async with FleetCell(members=5) as cell:
        await asyncio.sleep(1)
        callers = Callers(cell)
        set_trouble(cell, trouble)
        end = asyncio.create_task(end_trouble_after(cell, 3.0))
        await callers.submit_during(3.0)
        await end
        await asyncio.sleep(3.0)
        assert len(callers.find_accepted()) > 0.8 * len(callers.answers)
        assert max(callers.waits) < CALLER_SECONDS
        callers.check_runs()


@pytest.mark.parametrize("trouble", [Trouble.REFUSING, Trouble.SILENT])
async def test_callers_are_not_held_late_in_an_outage_of_20_s(trouble):
    async with FleetCell(members=5) as cell:
        callers = Callers(cell)
        set_trouble(cell, trouble)
        end = asyncio.create_task(end_trouble_after(cell, 20.0))
        await callers.submit_during(5.0)
        callers.waits.clear()
        await callers.submit_during(8.0, first=1_000)
        assert max(callers.waits) < 0.1
        await end
        await cell.wait_for_owner()
        await asyncio.sleep(3.0)
        callers.check_runs()


@pytest.mark.parametrize("trouble", [Trouble.REFUSING, Trouble.SILENT])
async def test_a_member_without_store_delays_no_caller(trouble):
    async with FleetCell(members=3) as cell:
        owner = cell.find_owner()
        name = next(name for name in cell.members if name != owner)
        cell.stores[name].trouble = trouble
        callers = Callers(cell)
        await callers.submit_during(4.0)
        await asyncio.sleep(2.0)
        assert len(callers.find_accepted()) == len(callers.answers)
        assert max(callers.waits) < 0.5
        callers.check_runs()


@pytest.mark.parametrize("trouble", [Trouble.REFUSING, Trouble.SILENT])
async def test_an_owner_without_store_costs_no_job(trouble):
    async with FleetCell(members=3) as cell:
        await asyncio.sleep(1)
        owner = cell.find_owner()
        cell.stores[owner].trouble = trouble
        callers = Callers(cell)
        await callers.submit_during(4.0)
        cell.stores[owner].trouble = Trouble.NONE
        await asyncio.sleep(6.0)
        assert len(callers.find_accepted()) == len(callers.answers)
        callers.check_runs()


async def test_waiting_callers_are_served_although_the_owner_is_lost():
    async with FleetCell(members=4) as cell:
        await asyncio.sleep(1)
        owner = cell.find_owner()
        names = [name for name in cell.members if name != owner]
        set_trouble(cell, Trouble.REFUSING)
        await asyncio.sleep(0.5)
        specs = [make_job(number) for number in range(1, 31)]
        calls = [
            asyncio.create_task(cell.submit(spec, member=names[number % 3]))
            for number, spec in enumerate(specs)
        ]
        await asyncio.sleep(0.5)
        assert sum(cell.members[name].intake.waiting_count for name in names) == 30
        await cell.kill(owner)
        await asyncio.sleep(0.5)
        set_trouble(cell, Trouble.NONE)
        assert set(await asyncio.gather(*calls)) == {Acceptance.ACCEPTED}
        for spec in specs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == len(specs)


async def test_a_job_stored_without_an_answer_is_accepted_once_the_store_is_back():
    async with FleetCell() as cell:
        await asyncio.sleep(1)
        store = cell.stores[cell.find_owner()]
        store.answers_to_lose = 1
        spec = make_job()
        call = asyncio.create_task(cell.submit(spec))
        await asyncio.sleep(0.02)
        set_trouble(cell, Trouble.SILENT)
        await asyncio.sleep(1.2)
        set_trouble(cell, Trouble.NONE)
        assert await call is Acceptance.ACCEPTED
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 1


async def test_a_job_that_may_be_stored_is_not_refused_after_the_wait():
    async with FleetCell() as cell:
        await asyncio.sleep(1)
        cell.stores[cell.find_owner()].answers_to_lose = 1
        call = asyncio.create_task(cell.submit(make_job()))
        await asyncio.sleep(0.02)
        set_trouble(cell, Trouble.SILENT)
        assert await call is Acceptance.UNKNOWN
        set_trouble(cell, Trouble.NONE)


async def test_a_job_that_a_lost_owner_may_have_stored_is_not_refused():
    async with FleetCell() as cell:
        await asyncio.sleep(1)
        owner = cell.find_owner()
        name = next(name for name in cell.members if name != owner)
        cell.stores[owner].answers_to_lose = 1
        spec = make_job()
        # Answered before the member calls the owner again, which takes 2 s.
        caller = make_caller(asyncio.get_running_loop().time(), 2_000)
        call = asyncio.create_task(cell.submit(spec, member=name, caller=caller))
        await asyncio.sleep(0.02)
        set_trouble(cell, Trouble.SILENT)
        await asyncio.sleep(0.65)
        assert cell.members[name].intake.waiting_count == 1
        # Without an owner, each further try says that nothing was stored by it.
        await cell.kill(owner)
        assert await call is Acceptance.UNKNOWN
        set_trouble(cell, Trouble.NONE)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 1


async def test_a_caller_that_disconnects_is_dropped_and_its_job_never_runs():
    async with FleetCell() as cell:
        loop = asyncio.get_running_loop()
        set_trouble(cell, Trouble.REFUSING)
        is_connected = True
        caller = make_caller(loop.time(), is_connected=lambda: is_connected)
        call = asyncio.create_task(cell.submit(make_job(), caller=caller))
        await asyncio.sleep(0.5)
        assert cell.members["m0"].intake.waiting_count == 1
        is_connected = False
        await asyncio.sleep(0.4)
        assert call.done()
        assert cell.members["m0"].intake.waiting_count == 0
        assert await call is Acceptance.REFUSED
        set_trouble(cell, Trouble.NONE)
        await asyncio.sleep(5.0)
        assert cell.audit.starts == []


async def test_a_caller_is_held_no_longer_than_it_waits():
    async with FleetCell() as cell:
        loop = asyncio.get_running_loop()
        set_trouble(cell, Trouble.REFUSING)
        await asyncio.sleep(0.3)
        asked_at = loop.time()
        answer = await cell.submit_fully(make_job(), caller=make_caller(asked_at, 900))
        assert answer.outcome is Acceptance.REFUSED
        assert loop.time() - asked_at < 0.9
        set_trouble(cell, Trouble.NONE)


async def test_jobs_that_waited_are_stored_in_batches_by_a_slow_store():
    async with FleetCell(members=3, workers=8) as cell:
        await asyncio.sleep(1)
        set_trouble(cell, Trouble.REFUSING)
        await asyncio.sleep(0.2)
        callers = Callers(cell)
        calls = asyncio.create_task(callers.submit_during(1.0))
        await asyncio.sleep(0.8)
        # 0.6 s for a transaction.
        cell.store.slowness = 120.0
        set_trouble(cell, Trouble.NONE)
        await calls
        assert max(callers.waits) < CALLER_SECONDS
        cell.store.slowness = 1.0
        await asyncio.sleep(6.0)
        assert len(callers.find_accepted()) > 0.8 * len(callers.answers)
        callers.check_runs()
