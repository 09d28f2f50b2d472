"""Jobs that the owner reads from the store after its start."""

import asyncio

import pytest

from cactustiller.model import JobState
from standins.fleet import FleetCell, make_job

pytestmark = pytest.mark.looptime
NO_RETENTION_MS = -1_000_000


async def test_finished_job_with_remaining_rows_is_not_run_again():
    # Guards against a job that counts as new, and runs again, since the removal of its
    # rows failed and the owner reads the table of jobs once more.
    async with FleetCell() as cell:
        spec = make_job()
        await cell.submit(spec)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert cell.find_engine().remove_expired_jobs(NO_RETENTION_MS, 10) == [spec.job]
        cell.store.forget_history()
        await asyncio.sleep(3.0)
        assert cell.audit.count_starts(f"{spec.job}.0.0.0") == 1
        assert cell.find_engine().jobs[spec.job].state is JobState.SUCCEEDED
