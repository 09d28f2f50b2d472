"""Malformed rows of the settings: named, the version in force stays."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactustiller.ownership.settings_rows import HEAD_KEY, body_key, log_key
from tests.ownership.builders import TIMING, Daemons, set_weight
from tests.ownership.test_malformed_rows import list_unreadable, write

pytestmark = pytest.mark.looptime


@pytest.fixture
async def daemons():
    daemons = Daemons()
    yield daemons
    await daemons.stop()


@pytest.mark.parametrize("value", [{}, {"version": "new"}, {"version": -1}])
async def test_malformed_settings_head_keeps_the_version_in_force(daemons, value):
    # It ended the poll of every daemon without a line, and each start.
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    head = daemons.table.rows[HEAD_KEY].value
    write(daemons.table, HEAD_KEY, value)
    with capture_logs() as lines:
        third = await daemons.add("g3")
        await asyncio.sleep(3 * TIMING.freshness_seconds)
    replicas = [daemon.replica for daemon in (first, second, third)]
    assert [replica.version for replica in replicas] == [1, 1, 1]
    # The members confirm the version to each other as in an outage.
    assert all(replica.is_fresh for replica in replicas)
    assert list_unreadable(lines) == {HEAD_KEY}
    write(daemons.table, HEAD_KEY, head)
    assert (await first.editor.change(set_weight(2.0), "ann")).unwrap() == 2
    assert [replica.version for replica in replicas] == [2, 2, 2]


@pytest.mark.parametrize("value", [{}, {"version": 1, "token": "t", "text": 5}])
async def test_malformed_settings_body_does_not_end_the_poll(daemons, value):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    daemons.cut_peers("g2")
    (await first.editor.change(set_weight(2.0), "ann")).unwrap_err()
    body = daemons.table.rows[body_key(2)].value
    write(daemons.table, body_key(2), value)
    with capture_logs() as lines:
        await asyncio.sleep(2 * TIMING.settings_poll_seconds)
    assert second.replica.version == 1
    assert list_unreadable(lines) == {body_key(2)}
    write(daemons.table, body_key(2), body)
    await asyncio.sleep(2 * TIMING.settings_poll_seconds)
    assert second.replica.version == 2


async def test_malformed_log_entry_hides_no_other_entry(daemons):
    # Each request for the history was answered with an internal error.
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    await first.editor.change(set_weight(2.0), "ann")
    write(daemons.table, log_key(2), {"version": 2})
    history = (await second.editor.read_history()).unwrap()
    assert [entry.version for entry in history] == [1]
    failure = (await second.editor.change(set_weight(3.0), "bob", "", 1)).unwrap_err()
    assert "version 1 is not in force" in failure.reason
    write(daemons.table, body_key(1), {})
    failure = (await first.editor.roll_back(1, "ann")).unwrap_err()
    assert body_key(1) in failure.reason
