"""Runs of a previous owner whose zone is evacuated before they have started."""

import pytest

from cactustiller.model import RunState
from cactustiller.scheduler.runs import RunPhase
from tests.scheduler import test_previous_owners
from tests.scheduler.test_previous_owners import (
    TIMING,
    Worker,
    build,  # noqa: F401
    build_status,
    check_until,
    recover,
)

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def evacuated(monkeypatch):
    authority = test_previous_owners.Authority
    monkeypatch.setattr(authority, "find_evacuation", lambda self, zone: "evacuated")
    monkeypatch.setattr(authority, "latest_start", lambda self, info, now: now)


def count_starts(worker):
    return sum(len(apply.starts) for apply in worker.applied)


async def test_committed_run_that_never_started_goes_back_to_its_home(build):  # noqa: F811
    """Guards against a successor that starts what its predecessor did not."""
    worker = Worker()
    entry = recover(0)
    session = build(worker, [entry], honours_epochs=True)
    await check_until(session, 2.0)
    assert entry.report.state is RunState.LAPSED
    assert entry.report.reason == "not started: evacuated"
    assert count_starts(worker) == 0


async def test_start_in_flight_of_a_previous_owner_keeps_its_capacity(build):  # noqa: F811
    """Guards against a second run of a task that the old message still starts.

    The worker ignores epochs, so a message of the previous owner may take effect until
    its start window has passed.
    """
    worker = Worker()
    entry = recover(0)
    session = build(worker, [entry])
    await check_until(session, TIMING.start_window_seconds - 0.5)
    assert entry.holds_capacity
    await check_until(session, 3.0)
    assert entry.report.state is RunState.LAPSED
    assert count_starts(worker) == 0


async def test_run_that_the_old_message_has_started_goes_on(build):  # noqa: F811
    """Guards against a stop of work that runs in the zone."""
    worker = Worker()
    worker.tasks = [build_status(0, "running", lease_until=60.0)]
    entry = recover(0)
    session = build(worker, [entry])
    await check_until(session, 10.0)
    assert entry.phase is RunPhase.RUNNING
    assert not session.is_usable
