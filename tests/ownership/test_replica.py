import asyncio

import pytest

from cactustiller.model.messages import AnnounceSettings, GetSettings, Hello
from cactustiller.ownership import Member, SettingsReplica
from cactustiller.settings import TimingSettings, set_value
from tests.gateway.builders import FakePeers, FakeTable, build_record

TIMING = TimingSettings(commit_delay_ms=0)
pytestmark = pytest.mark.looptime


def set_weight(weight):
    return lambda tree: set_value(tree, "", "share_weight", weight)


class Daemons:
    """Several replicas over one table and peers in memory."""

    def __init__(self):
        self.table = FakeTable()
        self.peers = FakePeers()
        self.replicas = []
        self.members = []

    async def add(self, name):
        member = Member(
            build_record(name, address=name), self.table, TIMING, None, peers=self.peers
        )
        await member.start()
        replica = SettingsReplica(member, "demo", "main", TIMING)

        async def answer(message):
            hello = Hello(member=getattr(message, "origin", ""), role="", zone="")
            return await replica.answer(message, hello)

        self.peers.handlers[name] = answer
        await replica.start()
        self.replicas.append(replica)
        self.members.append(member)
        return replica

    async def stop(self):
        for replica, member in zip(self.replicas, self.members, strict=True):
            await replica.stop()
            await member.stop()


@pytest.fixture
async def daemons():
    daemons = Daemons()
    yield daemons
    await daemons.stop()


async def test_only_one_daemon_writes_the_default_tree(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    assert first.version == second.version == 1
    assert first.is_fresh and second.is_fresh


async def test_change_reaches_peers_before_their_poll(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    await daemons.members[0].refresh()
    versions = []
    second.changes.subscribe(lambda change: versions.append(change.version))
    await first.change(set_weight(2.0), "ann")
    await asyncio.sleep(0.01)
    assert versions == [2]


async def test_racing_changes_conflict_by_expected_version(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    results = await asyncio.gather(
        first.change(set_weight(2.0), "ann", "spring", 1),
        second.change(set_weight(3.0), "bob", "autumn", 1),
    )
    lost = [result.unwrap_err() for result in results if result.is_err()]
    winner = next(
        author for author, r in zip(("ann", "bob"), results, strict=True) if r.is_ok()
    )
    assert len(lost) == 1
    assert f"{winner} committed version 2" in lost[0].reason


async def test_edits_without_expected_version_are_both_kept(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    await asyncio.gather(
        first.change(set_weight(2.0), "ann"),
        second.change(lambda tree: set_value(tree, "", "limit_tasks", 7), "bob"),
    )
    await first.poll()
    assert first.tree.values == {"share_weight": 2.0, "limit_tasks": 7}


async def test_version_never_decreases(daemons):
    replica = await daemons.add("g1")
    old = (await replica.answer(GetSettings(), None)).text
    await replica.change(set_weight(2.0), "ann")
    replica._adopt(1, old)
    assert replica.version == 2
    assert replica.tree.values == {"share_weight": 2.0}


async def test_outage_ends_freshness_and_recovery_restores_it(daemons):
    replica = await daemons.add("g1")
    daemons.table.is_down = True
    await asyncio.sleep(TIMING.freshness_seconds + 1)
    assert not replica.is_fresh
    daemons.table.is_down = False
    await asyncio.sleep(10)
    assert replica.is_fresh


async def test_announced_version_is_fetched_during_an_outage(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    await daemons.members[1].refresh()
    await first.change(set_weight(2.0), "ann")
    daemons.table.is_down = True
    message = AnnounceSettings(version=2, origin="g1")
    await second.answer(message, Hello(member="g1", role="", zone=""))
    await asyncio.sleep(0.01)
    assert second.version == 2
