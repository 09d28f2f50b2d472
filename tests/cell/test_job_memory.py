"""Jobs of legal size whose tasks or rows are more than a member can keep."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell import Acceptance
from cactustiller.cell.decisions.job_memory import (
    TOTAL_VALID_SECONDS,
    JobMemory,
    estimate_job_size,
)
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.ports import make_job_key
from cactustiller.cell.records.specs import MAX_TASKS_PER_JOB, encode_job
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job
from standins.fleet.store import Trouble

pytestmark = pytest.mark.looptime

MAX_BYTES = 2_000_000
LARGE = 2000


def make_large_job(number):
    return make_job(number, count=LARGE)


async def test_large_jobs_are_refused_and_ordinary_ones_accepted():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        large = [make_large_job(number) for number in range(1, 7)]
        answers = [await cell.submit_fully(spec, 60.0) for spec in large]
        outcomes = [answer.outcome for answer in answers]
        assert outcomes == [Acceptance.ACCEPTED] * 2 + [Acceptance.REFUSED] * 4
        assert min(answer.retry_after for answer in answers[2:]) >= 1
        assert sum(estimate_job_size(large[0])) * 3 > MAX_BYTES
        assert await cell.submit(make_job(9), 0.1) is Acceptance.ACCEPTED
        await asyncio.sleep(1.0)
        assert all(spec.job not in cell.find_engine().jobs for spec in large[2:])


async def test_accepted_job_is_accepted_again_when_memory_is_full():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        large = [make_large_job(number) for number in range(1, 4)]
        for spec in large:
            await cell.submit(spec, 60.0)
        assert await cell.submit(large[0], 60.0) is Acceptance.ACCEPTED


async def test_job_is_not_called_refused_while_the_store_does_not_tell():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        for number in range(1, 3):
            await cell.submit(make_large_job(number), 60.0)
        cell.stores[cell.find_owner()].trouble = Trouble.REFUSING
        answer = await cell.submit(make_large_job(3), 60.0)
        assert answer is Acceptance.UNKNOWN


async def test_jobs_too_large_for_a_row_are_invalid():
    async with FleetCell(members=1, settings={"max_row_bytes": 1000}) as cell:
        spec = make_job(1, image="a" * 1000)
        assert await cell.submit(spec, 0.1) is Acceptance.INVALID
        assert await cell.submit(make_job(2), 0.1) is Acceptance.ACCEPTED


def make_recurring_engine(count, max_bytes=MAX_BYTES):
    """Return an engine with one job whose occurrences are all due at once."""
    engine = Engine(lambda: 100.0, lambda: 100_000, max_bytes)
    spec = replace(make_job(count=count), repeat_count=1_000_000)
    engine.add_job(spec)
    for _ in range(50):
        engine.plan()
    return engine.jobs[spec.job]


def test_overlapping_occurrences_are_bounded_by_the_tasks_of_a_job():
    job = make_recurring_engine(count=500)
    assert len(job.occurrences) == MAX_TASKS_PER_JOB // 500


def test_overlapping_occurrences_are_bounded_by_the_memory_for_jobs():
    assert len(make_recurring_engine(count=100, max_bytes=100_000).occurrences) == 2


def test_one_occurrence_is_opened_whatever_the_memory():
    assert len(make_recurring_engine(count=LARGE, max_bytes=1).occurrences) == 1


def test_memory_of_completed_occurrences_is_free_again():
    now, jobs = [0.0], {}
    memory = JobMemory(jobs, sum(estimate_job_size(make_large_job(1))), lambda: now[0])
    assert memory.admit(make_large_job(1))
    assert not memory.admit(make_large_job(2))
    now[0] += TOTAL_VALID_SECONDS
    assert memory.admit(make_large_job(2))


def test_one_team_does_not_use_up_the_memory_for_the_jobs_of_others():
    memory = JobMemory({}, MAX_BYTES, lambda: 0.0)

    def fill_up(team):
        """Admit jobs of a team until one is not; return their number."""
        count = 0
        while memory.admit(replace(make_job(1, count=100), team=team)):
            count += 1
        return count

    assert fill_up("first") > 30
    assert 0 < fill_up("second") < 5
    assert fill_up("third") > 0


async def test_job_completes_beside_a_job_with_many_occurrences():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        await cell.submit(replace(make_job(1), repeat_count=10_000), 0.1)
        spec = make_job(2)
        await cell.submit(spec, 0.1)
        await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=60.0)


@pytest.mark.parametrize(
    "step",
    [
        {"image": "a" * 60_000},
        {"required_label": "a" * 60_000},
        {"data_rack": "a" * 60_000},
        {"after": (0,) * 30_000},
    ],
)
def test_texts_and_lists_of_a_job_count(step):
    assert estimate_job_size(make_job(1, **step)).specification > 60_000


def test_memory_of_a_wide_text_counts():
    # One character beyond the basic plane makes each take four bytes.
    spec = make_job(1, image="a" * 1000 + "\U0001f600")
    assert estimate_job_size(spec).specification > 4000


def store_directly(cell, specs, seconds):
    """Store jobs as members do while no owner answers."""
    for spec in specs:
        cell.seconds[spec.job], cell.jobs[spec.job] = seconds, spec
        cell.store.put(make_job_key(spec.job), encode_job(spec))


async def test_owner_keeps_stored_jobs_within_its_memory():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        store_directly(cell, [make_large_job(number) for number in range(1, 7)], 60.0)
        await asyncio.sleep(2.0)
        assert cell.find_engine().job_memory.used_bytes <= MAX_BYTES


async def test_deferred_jobs_are_shown_and_run_when_there_is_memory():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        specs = [make_job(number, count=400, cpu=10) for number in range(1, 31)]
        store_directly(cell, specs, 0.2)
        await asyncio.sleep(1.0)
        engine = cell.find_engine()
        deferred = [spec for spec in specs if spec.job in engine.deferred_jobs]
        assert 0 < len(deferred) < len(specs)
        found = await cell.members["m0"].intake.find_state(
            specs[0].queue, deferred[-1].job
        )
        assert found.value is JobState.WAITING
        assert engine.count_pending(specs[0].queue) >= len(deferred)
        assert await cell.submit(deferred[-1], 0.2) is Acceptance.ACCEPTED
        for spec in specs:
            await cell.wait_for_state(spec, JobState.SUCCEEDED, seconds=120.0)
        assert not engine.deferred_jobs


async def test_deferred_job_may_be_cancelled():
    async with FleetCell(members=1, settings={"max_job_bytes": MAX_BYTES}) as cell:
        specs = [make_large_job(number) for number in range(1, 5)]
        store_directly(cell, specs, 5.0)
        await asyncio.sleep(1.0)
        (*_, job) = cell.find_engine().deferred_jobs
        intake = cell.members["m0"].intake
        assert await intake.cancel(job) is Acceptance.ACCEPTED
        found = await intake.find_state(specs[0].queue, job)
        assert found.value is JobState.CANCELLED


async def test_jobs_with_progress_are_loaded_before_others_at_a_takeover():
    settings = {"max_job_bytes": MAX_BYTES}
    async with FleetCell(members=1, settings=settings) as cell:
        # The last one in the order of the rows.
        running = make_large_job(9)
        await cell.submit(running, 60.0)
        await cell.wait_for_state(running, JobState.RUNNING)
        await cell.kill("m0")
        store_directly(cell, [make_large_job(number) for number in range(1, 5)], 60.0)
        await cell.add_member(**settings)
        await cell.wait_for_owner()
        engine = cell.find_engine()
        assert running.job in engine.jobs
        assert engine.job_memory.used_bytes <= MAX_BYTES
        assert len(engine.deferred_jobs) == 3
