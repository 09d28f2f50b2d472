"""Malformed rows of jobs and tasks: the job is set aside and named, others go on."""

import pytest
from structlog.testing import capture_logs

from cactustiller.model import ErrorCode, JobState, TaskState
from tests.scheduler.builders import MemoryCell, build_spec
from tests.scheduler.stored_rows import change_row, replace_row, restart_all

pytestmark = pytest.mark.looptime

DAMAGES = {
    "job without a spec": ("job/", {"spec": None}),
    "job of another id": ("job/", {"job": "another"}),
    "job at no time": ("job/", {"submitted_at": float("inf")}),
    "job in no state": ("job/", {"state": "asleep"}),
    "task without an attempt": ("task/", {"attempt": None}),
    "task beyond the last": ("task/", {"index": 9}),
    "task on no shard": ("task/", {"shard": ""}),
    "empty job": ("job/", None),
    "empty task": ("task/", None),
}


@pytest.fixture
async def cell():
    # Time is virtual only inside the test, so the test starts the cell.
    cell = MemoryCell(schedulers=2, racks=1, workers_per_rack=2)
    yield cell
    await cell.stop()


def has_state(cell, job, state):
    entry = cell.find_entry(job)
    return entry is not None and entry.find_state() is state


@pytest.mark.parametrize("damage", DAMAGES)
async def test_job_with_a_malformed_row_is_set_aside_and_others_go_on(cell, damage):
    # One malformed row ended each scheduler that took the home over, without end. A
    # skipped row of a task would have run the task a second time.
    await cell.start()
    for job in ("j1", "j2"):
        await cell.submit(job, build_spec(run_seconds=20.0))
    entry = cell.find_entry("j1")
    await cell.wait_for(lambda: entry.count(TaskState.RUNNING))
    prefix, fields = DAMAGES[damage]
    (key,) = [key for key in cell.list_rows(prefix) if "/j1" in key]
    if fields is None:
        replace_row(cell, key, {})
    else:
        change_row(cell, key, **fields)
    with capture_logs() as lines:
        await restart_all(cell)
        await cell.wait_for(lambda: has_state(cell, "j2", JobState.SUCCEEDED))
    assert {line["key"] for line in lines if line["event"] == "row_unreadable"} == {key}
    # Neither a repeated submission nor a cancellation may take the job for unknown.
    answer = await cell.submit("j1", build_spec(run_seconds=20.0))
    assert answer.unwrap_err().code is ErrorCode.CONFLICT
    assert key in answer.unwrap_err().reason
    answer = await cell.cancel("j1")
    assert answer.unwrap_err().code is ErrorCode.CONFLICT
    await cell.submit("j3", build_spec(run_seconds=1.0))
    await cell.wait_for(lambda: has_state(cell, "j3", JobState.SUCCEEDED))
    assert cell.assert_safe().starts == 3
