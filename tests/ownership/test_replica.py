import asyncio

import pytest

from cactustiller.model import ErrorCode, Outcome
from cactustiller.model.messages import AnnounceSettings, GetSettings, Hello
from cactustiller.ownership.freshness import PeerAnswer, find_confirmation_time
from cactustiller.settings import (
    add_key,
    create_key,
    set_value,
    verify_key,
    withdraw_key,
)
from tests.ownership.builders import TIMING, Daemon, Daemons, set_weight

pytestmark = pytest.mark.looptime


@pytest.fixture
async def daemons():
    daemons = Daemons()
    yield daemons
    await daemons.stop()


async def add_three(daemons):
    return [await daemons.add(name) for name in ("g1", "g2", "g3")]


async def test_only_one_daemon_writes_the_default_tree(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    assert first.replica.version == second.replica.version == 1
    assert first.replica.is_fresh and second.replica.is_fresh


async def test_change_is_in_force_at_its_peers_when_it_is_accepted(daemons):
    first, *others = await add_three(daemons)
    assert (await first.editor.change(set_weight(2.0), "ann")).unwrap() == 2
    assert [daemon.replica.version for daemon in others] == [2, 2]


async def test_change_without_a_majority_is_unknown_and_replicated_later(daemons):
    first, *others = await add_three(daemons)
    for daemon in others:
        daemons.cut_peers(daemon.name)
    failure = (await first.editor.change(set_weight(2.0), "ann")).unwrap_err()
    assert failure.outcome is Outcome.UNKNOWN
    assert "version 2" in failure.reason
    await asyncio.sleep(2 * TIMING.settings_poll_seconds)
    assert [daemon.replica.version for daemon in others] == [2, 2]


async def test_racing_changes_conflict_by_expected_version(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    results = await asyncio.gather(
        first.editor.change(set_weight(2.0), "ann", "spring", 1),
        second.editor.change(set_weight(3.0), "bob", "autumn", 1),
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
        first.editor.change(set_weight(2.0), "ann"),
        second.editor.change(lambda tree: set_value(tree, "", "limit_tasks", 7), "bob"),
    )
    await first.replica.poll()
    assert first.replica.tree.values == {"share_weight": 2.0, "limit_tasks": 7}


async def test_version_never_decreases(daemons):
    daemon = await daemons.add("g1")
    old = (await daemon.replica.answer(GetSettings(), None)).text
    await daemon.editor.change(set_weight(2.0), "ann")
    daemon.replica.adopt(1, old)
    assert daemon.replica.version == 2
    assert daemon.replica.tree.values == {"share_weight": 2.0}


async def test_rollback_is_a_new_version_and_restores_no_withdrawn_key(daemons):
    daemon = await daemons.add("g1")
    key, text = create_key(None, "k", True, 1.0)
    await daemon.editor.change(lambda tree: add_key(tree, key), "ann")
    await daemon.editor.change(set_weight(2.0), "ann")
    await daemon.editor.change(lambda tree: withdraw_key(tree, key.key_id, 9.0), "ann")
    assert (await daemon.editor.roll_back(2, "bob")).unwrap() == 5
    assert daemon.replica.tree.values == {}
    assert verify_key(daemon.replica.tree, text).is_err()
    history = (await daemon.editor.read_history()).unwrap()
    assert [entry.version for entry in history] == [5, 4, 3, 2, 1]
    assert history[0].changes == ["(system) share_weight: 2.0 -> None"]
    missing = (await daemon.editor.roll_back(7, "bob")).unwrap_err()
    assert missing.code is ErrorCode.NOT_FOUND


async def test_daemon_cut_off_from_table_and_peers_stops_accepting(daemons):
    first, *_ = await add_three(daemons)
    first.table.is_cut = True
    daemons.cut_peers("g1")
    await asyncio.sleep(TIMING.freshness_seconds + 1)
    assert not first.replica.is_fresh
    first.table.is_cut = False
    await asyncio.sleep(10)
    assert first.replica.is_fresh


async def test_daemon_cut_off_from_the_table_only_follows_its_peers(daemons):
    first, second, _ = await add_three(daemons)
    first.table.is_cut = True
    await asyncio.sleep(TIMING.freshness_seconds + 5)
    assert first.replica.is_fresh
    daemons.hide("g1")
    await second.editor.change(set_weight(2.0), "ann")
    await asyncio.sleep(TIMING.settings_poll_seconds + 3)
    assert first.replica.version == 2


async def test_outage_for_a_majority_keeps_keys_valid(daemons):
    replicas = [daemon.replica for daemon in await add_three(daemons)]
    daemons.table.is_down = True
    await asyncio.sleep(120)
    assert all(replica.is_fresh for replica in replicas)


async def test_minority_in_an_outage_loses_freshness(daemons):
    first, second, _ = await add_three(daemons)
    daemons.table.is_down = True
    daemons.cut_peers("g1")
    await asyncio.sleep(TIMING.freshness_seconds + 2)
    assert not first.replica.is_fresh
    assert second.replica.is_fresh


async def test_daemon_started_in_an_outage_polls_its_seed_peers(daemons):
    await add_three(daemons)
    daemons.table.is_down = True
    await asyncio.sleep(5)
    late = Daemon("g4", daemons.table, daemons.peers, ["g1", "g2", "g3"])
    await late.replica.poll()
    assert late.replica.version == 1
    assert late.replica.is_fresh
    alone = Daemon("g5", daemons.table, daemons.peers)
    await alone.replica.poll()
    assert alone.replica.version == 0
    assert not alone.replica.is_fresh


async def test_announced_version_is_fetched_during_an_outage(daemons):
    first, second = [await daemons.add(name) for name in ("g1", "g2")]
    daemons.hide("g2")
    await first.editor.change(set_weight(2.0), "ann")
    daemons.table.is_down = True
    message = AnnounceSettings(version=2, origin="g1")
    await second.replica.answer(message, Hello(member="g1", role="", zone=""))
    assert second.replica.version == 2


@pytest.mark.parametrize(
    ("answers", "members", "confirmed"),
    [
        ([], 1, False),
        ([PeerAnswer(100.0, True, 3)], 3, True),
        ([PeerAnswer(100.0, True, 3)], 4, False),
        ([PeerAnswer(100.0, True, 5)], 3, False),
        ([PeerAnswer(100.0, False, 3)], 3, False),
    ],
)
def test_outage_is_confirmed_by_a_majority_of_the_members(answers, members, confirmed):
    assert (find_confirmation_time(answers, 50.0, members) == 50.0) == confirmed


async def test_change_unknown_to_a_majority_cut_off_from_the_table_is_not_accepted(
    daemons,
):
    first, second, third = await add_three(daemons)
    second.table.is_cut = third.table.is_cut = True
    daemons.cut_peers("g1")
    result = await first.editor.change(set_weight(2.0), "ann")
    assert result.unwrap_err().outcome is Outcome.UNKNOWN
    await asyncio.sleep(12)
    # Version 1 stays in force on the other two, since version 2 is not accepted.
    assert second.replica.is_fresh and second.replica.version == 1
    daemons.cut_peers("g1", False)
    await asyncio.sleep(2)
    assert second.replica.version == third.replica.version == 2


async def test_announced_patch_is_applied_without_a_fetch_and_a_wrong_one_rejected(
    daemons,
):
    first, second, _ = await add_three(daemons)
    daemons.peers.messages.clear()
    await first.editor.change(set_weight(2.0), "ann")
    asked = [m for _, m in daemons.peers.messages if isinstance(m, GetSettings)]
    assert asked == [] and second.replica.version == 2
    wrong = AnnounceSettings(
        version=3, base_version=2, patch='{"values":{"share_weight":9}}', digest="0"
    )
    await second.replica.answer(wrong, Hello(member="none", role="", zone=""))
    assert second.replica.version == 2


async def test_members_that_left_do_not_count_for_a_majority(daemons):
    first, *others = await add_three(daemons)
    for daemon in others:
        await daemon.replica.stop()
        await daemon.member.leave()
        daemons.cut_peers(daemon.name)
    await first.member.refresh()
    assert (await first.editor.change(set_weight(2.0), "ann")).unwrap() == 2
