"""Malformed rows of runs: skipped and named; capacity that may be in use stays so."""

import pytest
from structlog.testing import capture_logs

from cactustiller.model import JobState, TaskState
from tests.scheduler.builders import MemoryCell, build_spec
from tests.scheduler.stored_rows import (
    change_row,
    find_session,
    replace_row,
    restart_all,
)

pytestmark = pytest.mark.looptime


@pytest.fixture
async def cell():
    # Time is virtual only inside the test, so the test starts the cell.
    cell = MemoryCell(schedulers=2, racks=1, workers_per_rack=2)
    yield cell
    await cell.stop()


async def run_job(cell, job, **changes):
    (await cell.submit(job, build_spec(**changes))).unwrap()
    await cell.wait_for(lambda: cell.find_entry(job).count(TaskState.RUNNING))
    (key,) = [key for key in cell.list_rows("run/") if f"/{job}/" in key]
    return key, cell.table.store.rows[key].value["worker"]


async def finish(cell, job):
    def has_succeeded():
        entry = cell.find_entry(job)
        return entry is not None and entry.find_state() is JobState.SUCCEEDED

    await cell.wait_for(has_succeeded)


def damage(cell, key, kind):
    if kind == "template":
        change_row(cell, key, template=None)
    elif kind == "worker":
        change_row(cell, key, worker=7)
    elif kind == "job":
        change_row(cell, key, job="another")
    else:
        replace_row(cell, key, {})


@pytest.mark.parametrize("kind", ["template", "worker", "job", "empty"])
async def test_malformed_run_keeps_its_worker_full_and_others_go_on(cell, kind):
    await cell.start()
    # A malformed row ended each scheduler that took the shard over, without end.
    key, worker = await run_job(cell, "j1", run_seconds=600.0, cpu_millis=100)
    await cell.submit("j2", build_spec(run_seconds=20.0, cpu_millis=100))
    damage(cell, key, kind)
    with capture_logs() as lines:
        # A home that knows the run would restore it.
        for row in cell.list_rows("job/") + cell.list_rows("task/"):
            if "/j1" in row:
                del cell.table.store.rows[row]
        await restart_all(cell)
        await cell.wait_for(lambda: find_session(cell, worker) is not None)
        await finish(cell, "j2")
    assert {line["key"] for line in lines if line["event"] == "row_unreadable"} == {key}
    session = find_session(cell, worker)
    assert not session.is_usable
    assert key in session.block_reason
    await cell.submit("j3", build_spec(tasks=3, run_seconds=1.0))
    await finish(cell, "j3")
    assert not find_session(cell, worker).entries
    cell.assert_safe()


@pytest.mark.parametrize("kind", ["template", "worker", "job", "empty"])
async def test_recovered_home_restores_a_run_whose_row_is_malformed(cell, kind):
    await cell.start()
    key, worker = await run_job(cell, "j1", run_seconds=20.0)
    damage(cell, key, kind)
    await restart_all(cell)
    await finish(cell, "j1")
    assert find_session(cell, worker).is_usable
    assert not cell.list_rows("run/")
    report = cell.assert_safe()
    assert report.starts == 1, report
