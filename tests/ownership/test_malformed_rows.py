"""Malformed rows of members and ownership: named, the last good one stays."""

import asyncio

import pytest
from structlog.testing import capture_logs

from cactustiller.model import MemberRecord
from cactustiller.ownership import OWNERSHIP_KEY, Member, OwnershipReconciler
from cactustiller.ownership.records import Owner, Ownership, member_key
from tests.gateway.builders import FakePeers, FakeTable
from tests.ownership.builders import TIMING

pytestmark = pytest.mark.looptime


def build_record(name):
    return MemberRecord(
        member=name,
        role="scheduler",
        instance=name,
        zone="a",
        peer_address=name,
        incarnation="",
    )


def build_member(table, name="s1"):
    return Member(build_record(name), table, TIMING, None, peers=FakePeers())


def write(table, key, value):
    table.version += 1
    table.put(key, value)


@pytest.fixture
async def table():
    return FakeTable()


@pytest.fixture
async def member(table):
    member = build_member(table)
    yield member
    await member.stop()


def list_unreadable(lines):
    return {line["key"] for line in lines if line["event"] == "row_unreadable"}


@pytest.mark.parametrize("value", [{}, {"member": 7}, {"zones": []}])
async def test_malformed_member_row_hides_no_other_member(table, member, value):
    # It ended a daemon at its start, and the refresh of a running one without a line.
    write(table, "member/bad", value)
    with capture_logs() as lines:
        await member.start()
        write(table, "member/s2", build_record("s2").model_dump())
        await asyncio.sleep(5.0)
    assert sorted(member.members) == ["s1", "s2"]
    assert list_unreadable(lines) == {"member/bad"}
    errors = [line for line in lines if line["log_level"] == "error"]
    assert len(errors) == 1, errors


async def test_owner_with_a_malformed_row_keeps_its_partitions_while_it_commits(
    table, member
):
    # A row of a newer version has unknown fields, and its member is alive.
    await member.start()
    owner = Owner(member="s2", incarnation="i2", epoch=3)
    ownership = Ownership(owners={"home-01": owner})
    write(table, OWNERSHIP_KEY, ownership.model_dump())
    reconciler = OwnershipReconciler(member, list, None, None, 1.0)
    for number in range(10):
        write(table, member_key("s2"), {"member": "s2", "token": str(number)})
        await asyncio.sleep(TIMING.heartbeat_seconds)
        await member.refresh()
        await reconciler.run_round()
    assert member.ownership.owners["home-01"] == owner
    await asyncio.sleep(3 * TIMING.lease_seconds)
    await reconciler.run_round()
    assert member.owns("home-01")
    assert member.epoch_of("home-01") == 4


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"owners": []},
        {"owners": {"home-01": {"member": "s1", "incarnation": "i"}}},
        {"owners": {"home-01": None}},
    ],
)
async def test_malformed_ownership_row_changes_no_ownership(table, member, value):
    # It ended the refresh without a line. Assigned anew, epochs would start at 1.
    await member.start()
    owner = Owner(member="s2", incarnation="i2", epoch=3)
    write(table, OWNERSHIP_KEY, Ownership(owners={"home-01": owner}).model_dump())
    await member.refresh()
    write(table, OWNERSHIP_KEY, value)
    reconciler = OwnershipReconciler(member, list, None, None, 1.0)
    with capture_logs() as lines:
        for _ in range(5):
            await member.refresh()
            await reconciler.run_round()
            await asyncio.sleep(1.0)
    assert member.ownership.owners == {"home-01": owner}
    assert table.rows[OWNERSHIP_KEY].value == value
    assert list_unreadable(lines) == {OWNERSHIP_KEY}
    repaired = Ownership(owners={"home-01": owner.with_changes(epoch=4)})
    write(table, OWNERSHIP_KEY, repaired.model_dump())
    await member.refresh()
    assert member.epoch_of("home-01") == 4


async def test_daemon_that_starts_with_a_malformed_ownership_row_takes_nothing(
    table, member
):
    write(table, OWNERSHIP_KEY, {"owners": 1})
    await member.start()
    reconciler = OwnershipReconciler(member, lambda: ["home-01"], None, None, 1.0)
    await reconciler.run_round()
    assert table.rows[OWNERSHIP_KEY].value == {"owners": 1}
    assert not member.owns("home-01")
