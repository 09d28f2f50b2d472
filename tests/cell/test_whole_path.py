"""A cell's members, workers and store together, on the loop's virtual clock."""

import asyncio

import pytest

from cactustiller.cell import Acceptance
from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job, make_queue

pytestmark = pytest.mark.looptime

APPROVED = make_queue("approved", needs_approval=True)


async def test_a_job_is_shown_as_completed():
    async with FleetCell() as cell:
        spec = make_job(count=5)
        assert await cell.submit(spec) is Acceptance.ACCEPTED
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == 5


async def test_a_job_handed_in_twice_runs_once():
    async with FleetCell() as cell:
        spec = make_job()
        assert await cell.submit(spec, member="m0") is Acceptance.ACCEPTED
        assert await cell.submit(spec, member="m1") is Acceptance.ACCEPTED
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert await cell.submit(spec, member="m2") is Acceptance.ACCEPTED
        assert len(cell.audit.starts) == 1


async def test_a_step_with_approval_runs_on_approved_workers():
    cell = FleetCell(queues=[APPROVED], approves=lambda step, worker: worker == "w2")
    async with cell:
        spec = make_job(queue=APPROVED, count=3)
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert {start[2] for start in cell.audit.starts} == {"w2"}


async def test_a_gang_starts_as_a_whole_under_one_run():
    async with FleetCell() as cell:
        spec = make_job(count=6, cpu=9000, is_gang=True)
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert {start[1] for start in cell.audit.starts} == {1}


async def test_a_cancelled_job_is_stopped():
    async with FleetCell() as cell:
        spec = make_job(count=2)
        await cell.submit(spec, seconds=20.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        outcome = await cell.members["m1"].intake.cancel(spec.job)
        assert outcome is Acceptance.ACCEPTED
        await cell.wait_for_state(spec, JobState.CANCELLED)
        await asyncio.sleep(1.0)
        assert not any(worker.runs for worker in cell.workers.values())


async def test_cancelling_an_unknown_job_finds_nothing():
    async with FleetCell() as cell:
        outcome = await cell.members["m0"].intake.cancel("f" * 16)
        assert outcome is Acceptance.NOT_FOUND


async def test_no_team_runs_beyond_its_limit():
    async with FleetCell(limit=(4000, 0, 0)) as cell:
        spec = make_job(count=12)
        await cell.submit(spec)
        most = 0
        async with asyncio.timeout(20.0):
            while spec.job not in _find_done(cell):
                most = max(most, sum(len(w.runs) for w in cell.workers.values()))
                await asyncio.sleep(0.05)
        assert most == 4


def _find_done(cell):
    owner = cell.members[cell.find_owner()]
    published_states = owner.intake._find_owner()[0].engine.published_states
    return {
        job for job, state in published_states.items() if state is JobState.SUCCEEDED
    }
