"""Unexpected errors in background tasks of a member and its settings replica."""

import asyncio
import itertools

import pytest
from structlog.testing import capture_logs

from cactustiller.model.supervision import MAX_RESTART_SECONDS, keep_running
from cactustiller.ownership import SettingsReplica
from cactustiller.ports import Put, Write
from tests.gateway.builders import FakePeers, FakeTable
from tests.ownership.builders import TIMING
from tests.ownership.test_malformed_rows import build_member, build_record, write

pytestmark = pytest.mark.looptime
FAULT_SECONDS = 2.0


class FaultyCalls:
    """Passes the calls of a port on; while `fails`, every second one raises."""

    def __init__(self, port, *methods):
        self._port = port
        self._methods = methods
        self._count = 0
        self.fails = False

    def __getattr__(self, name):
        method = getattr(self._port, name)
        if name not in self._methods:
            return method

        async def call(*arguments, **options):
            self._count += 1
            if self.fails and self._count % 2:
                raise RuntimeError("malformed")
            return await method(*arguments, **options)

        return call


def list_failed(lines):
    return {line["step"] for line in lines if line["event"] == "task_failed"}


async def test_failed_task_is_logged_and_restarted_after_a_growing_delay():
    times = []

    async def fail():
        times.append(asyncio.get_running_loop().time())
        raise RuntimeError("malformed")

    with capture_logs() as lines:
        task = asyncio.create_task(keep_running("test", fail))
        await asyncio.sleep(20.0)
        task.cancel()
    delays = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert delays == sorted(delays)
    assert delays[-1] == pytest.approx(MAX_RESTART_SECONDS)
    assert list_failed(lines) == {"test"}
    assert len(lines) == len(times)


async def test_supervision_ends_with_its_task():
    async def finish():
        return 7

    assert await keep_running("test", finish) == 7


@pytest.mark.parametrize("method", ["read", "transact"])
async def test_member_keeps_its_lease_after_unexpected_errors(method):
    table = FakeTable()
    calls = FaultyCalls(table, method)
    member = build_member(calls)
    await member.start()
    with capture_logs() as lines:
        calls.fails = True
        await asyncio.sleep(FAULT_SECONDS)
        calls.fails = False
        write(table, "member/s2", build_record("s2").model_dump())
        await asyncio.sleep(3 * TIMING.lease_seconds)
    assert any(line["log_level"] == "error" for line in lines)
    assert member.has_lease()
    assert "s2" in member.members
    await member.stop()


async def test_write_whose_call_raises_is_committed_once():
    table = FakeTable()
    calls = FaultyCalls(table, "transact")
    member = build_member(calls)
    await member.start()
    calls.fails = True
    writes = [Write(puts=[Put(key=f"k{n}", value={})]) for n in range(4)]
    answers = [await member.committer.commit(item, "test") for item in writes]
    assert all(answer.is_ok() for answer in answers)
    assert not member.is_fenced
    await member.stop()


async def test_failed_merge_of_a_write_ends_no_later_write(monkeypatch):
    table = FakeTable()
    member = build_member(table)
    await member.start()
    merge = member.committer._merge

    def fail(batch, token):
        raise RuntimeError("malformed")

    monkeypatch.setattr(member.committer, "_merge", fail)
    with capture_logs() as lines:
        answer = await member.committer.commit(Write(), "test", 86_400.0)
    assert answer.unwrap_err().step == "commit test"
    monkeypatch.setattr(member.committer, "_merge", merge)
    await asyncio.sleep(FAULT_SECONDS)
    assert (await member.committer.commit(Write(), "test")).is_ok()
    assert list_failed(lines) == {"commit writes"}
    await member.stop()


async def test_announcement_that_raises_is_repeated():
    peers = FakePeers()
    calls = FaultyCalls(peers, "call")
    calls.fails = True
    table = FakeTable()
    write(table, "member/s2", build_record("s2").model_dump())
    member = build_member(table)
    member.peers = calls
    await member.start()
    await asyncio.sleep(FAULT_SECONDS)
    assert [address for address, _ in peers.messages] == ["s2"]
    await member.stop()


async def test_replica_polls_on_after_unexpected_errors(monkeypatch):
    table = FakeTable()
    member = build_member(table)
    replica = SettingsReplica(member, TIMING)
    await member.start()
    await replica.start()
    poll = replica.poll
    polls = []

    async def fail():
        raise RuntimeError("malformed")

    async def count():
        polls.append(1)
        await poll()

    monkeypatch.setattr(replica, "poll", fail)
    with capture_logs() as lines:
        await asyncio.sleep(3 * TIMING.settings_poll_seconds)
    assert list_failed(lines) == {"poll settings"}
    monkeypatch.setattr(replica, "poll", count)
    await asyncio.sleep(3 * TIMING.settings_poll_seconds)
    assert polls
    await replica.stop()
    await member.stop()
