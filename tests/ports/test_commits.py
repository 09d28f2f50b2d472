import asyncio

import pytest

from cactustiller.model import Outcome
from cactustiller.ports import Check, Committer, Conflict, Put, Write
from standins.table import Put as StoredPut
from standins.table import TransactRequest
from tests.scheduler.memory import MemoryTable

pytestmark = pytest.mark.looptime
FENCE = "member/m1"


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
async def committer(table):
    committer = Committer(table, FENCE, lambda token: {"token": token})
    committer.start(0)
    yield committer
    await committer.stop()


def build_write(key, version=None, checked=None):
    checks = [] if version is None else [Check(key=checked or key, version=version)]
    return Write(checks=checks, puts=[Put(key=key, value={})])


def write_from_outside(table, *keys):
    puts = [StoredPut(key=key, value={"token": "other"}) for key in keys]
    return table.store.transact(TransactRequest(puts=puts)).version


async def test_writes_that_check_a_row_at_two_versions_do_not_share_a_transaction(
    table, committer
):
    write_from_outside(table, "row")
    current = write_from_outside(table, "row")
    stale, fresh = await asyncio.gather(
        committer.commit(build_write("a", current - 1, "row"), "stale"),
        committer.commit(build_write("b", current, "row"), "fresh"),
    )
    assert isinstance(stale.unwrap_err(), Conflict)
    assert fresh.is_ok()
    assert "a" not in table.store.rows


async def test_write_conditional_on_a_row_fails_after_an_earlier_one_of_its_batch(
    table, committer
):
    version = write_from_outside(table, "row")
    first, second = await asyncio.gather(
        committer.commit(build_write("row", version), "takeover"),
        committer.commit(build_write("b", version, "row"), "assign"),
    )
    assert first.is_ok()
    assert isinstance(second.unwrap_err(), Conflict)


async def test_write_with_lost_replies_takes_effect_once(table, committer):
    table.lose_next = 3
    answer = await committer.commit(build_write("a", 0), "submit")
    assert answer.is_ok()
    assert committer.counters.lost_answers == 1
    assert table.store.version == 1


async def test_lease_starts_at_the_first_attempt_of_a_lost_reply(table, committer):
    started = asyncio.get_running_loop().time()
    table.lose_next = 4
    await committer.commit(Write(), "heartbeat")
    assert asyncio.get_running_loop().time() - started > 0.3
    assert committer.confirmed_at - started < 0.01


async def test_takeover_after_a_lost_reply_leaves_the_outcome_unknown(table, committer):
    table.lose_next = 1
    commit = asyncio.create_task(committer.commit(build_write("a"), "submit"))
    while not table.store.version:
        await asyncio.sleep(0.001)
    write_from_outside(table, FENCE)
    assert (await commit).unwrap_err().outcome is Outcome.UNKNOWN
    assert "a" in table.store.rows
    later = await committer.commit(build_write("b"), "submit")
    assert later.unwrap_err().outcome is Outcome.NOT_RUN


async def test_write_after_a_takeover_has_not_run(table, committer):
    write_from_outside(table, FENCE)
    answer = await committer.commit(build_write("a"), "submit")
    assert answer.unwrap_err().outcome is Outcome.NOT_RUN
    assert "a" not in table.store.rows


async def test_write_in_flight_is_unknown_after_a_stop(table, committer):
    table.is_down = True
    commits = [
        asyncio.create_task(
            committer.commit(build_write(key), "submit", 1e6, wait_if_stuck=True)
        )
        for key in ("a", "a")
    ]
    await asyncio.sleep(0.5)
    await committer.stop()
    outcomes = [(await commit).unwrap_err().outcome for commit in commits]
    assert outcomes == [Outcome.UNKNOWN, Outcome.NOT_RUN]
    assert asyncio.get_running_loop().time() < 1.0


async def test_outage_refuses_new_writes_and_then_commits_queued_ones(table, committer):
    table.is_down = True
    waiting = asyncio.create_task(committer.commit(build_write("a"), "submit", 60))
    await asyncio.sleep(5)
    refused = await committer.commit(build_write("b"), "submit")
    assert refused.unwrap_err().outcome is Outcome.NOT_RUN
    assert refused.unwrap_err().retry_after_ms
    table.is_down = False
    assert (await waiting).is_ok()
    assert "b" not in table.store.rows
