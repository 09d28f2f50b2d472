"""Unexpected errors in the background tasks of a gateway: logged, and it goes on."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactustiller.gateway import deduplication, executors, routing
from tests.gateway.builders import SERVICE

FAULT_SECONDS = 0.3


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    monkeypatch.setattr(executors, "POLL_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(routing, "SERVICE_POLL_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(deduplication, "SWEEP_INTERVAL_SECONDS", 0.05)


def fail(*arguments, **options):
    raise RuntimeError("malformed")


def list_failed(lines):
    return {line["step"] for line in lines if line["event"] == "task_failed"}


async def break_for_a_while(monkeypatch, owner, name):
    """Let a method raise for `FAULT_SECONDS`; return the steps of the failed tasks."""
    with capture_logs() as lines:
        with monkeypatch.context() as context:
            context.setattr(owner, name, fail)
            await asyncio.sleep(FAULT_SECONDS)
        return list_failed(lines)


async def test_directory_polls_on_after_unexpected_errors(cell, monkeypatch):
    directory = cell.gateway.directory
    await directory.stop()
    await directory.start()
    assert await break_for_a_while(monkeypatch, directory, "poll") == {
        "poll instance list"
    }
    polled = asyncio.Event()
    poll = directory.poll

    async def note():
        await poll()
        polled.set()

    monkeypatch.setattr(directory, "poll", note)
    async with asyncio.timeout(3.0):
        await polled.wait()


async def test_stores_are_opened_after_unexpected_errors(cell, monkeypatch):
    router = cell.gateway.router
    router.start()
    failed = await break_for_a_while(
        monkeypatch, cell.gateway.directory, "list_services"
    )
    assert failed == {"open permit stores"}
    async with asyncio.timeout(3.0):
        while SERVICE not in router._stores:
            await asyncio.sleep(0.02)


async def test_permits_are_acquired_after_unexpected_errors(cell, monkeypatch):
    store = cell.gateway.router.get_store(SERVICE)
    store._wake.set()
    assert await break_for_a_while(monkeypatch, store, "_renew") == {
        f"renew permits of {SERVICE}"
    }
    response, _ = await cell.call("POST", f"/v1/requests/{SERVICE}", data=b"x")
    assert response.status == 200


async def test_records_are_swept_after_unexpected_errors(cell, monkeypatch):
    records = cell.gateway.records
    records.start()
    assert await break_for_a_while(monkeypatch, records, "sweep") == {
        "sweep request records"
    }
    swept = asyncio.Event()

    async def note():
        swept.set()

    monkeypatch.setattr(records, "sweep", note)
    async with asyncio.timeout(3.0):
        await swept.wait()
    await records.stop()


@pytest.mark.parametrize("value", [{}, {"at": "soon"}, {"at": None, "state": 3}])
async def test_malformed_request_record_ends_no_sweep_and_fails_one_key(cell, value):
    # The sweep ended without a line, and the key was answered with status 500.
    path = f"/v1/requests/{SERVICE}"
    for key in ("k1", "k2"):
        headers = {"Idempotency-Key": key}
        await cell.call("POST", path, data=b"x", headers=headers)
    first, second = [row for row in cell.table.rows if row.startswith("request/")]
    cell.table.put(first, value)
    cell.table.put(second, cell.table.rows[second].value | {"at": 1.0})
    with capture_logs() as lines:
        await cell.gateway.records.sweep()
        statuses = []
        for key in ("k1", "k2"):
            headers = {"Idempotency-Key": key}
            response, _ = await cell.call("POST", path, data=b"x", headers=headers)
            statuses.append(response.status)
    assert sorted(statuses) == [200, 504]
    assert second not in cell.table.rows or cell.table.rows[second].value["at"] != 1.0
    unreadable = {line["key"] for line in lines if line["event"] == "row_unreadable"}
    assert unreadable == {first}
    assert not [line for line in lines if "exc_info" in line]
