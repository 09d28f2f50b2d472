import pytest

from cactustiller.model.messages import AcquirePermits
from tests.scheduler.test_pools import SLOTS, Holder, build_executor, build_pool

pytestmark = pytest.mark.looptime
EXECUTORS = [build_executor("x1"), build_executor("x2", zone="b")]


async def test_no_permit_is_granted_in_an_evacuated_zone():
    """Guards against new permits there, also for gateways of the zone itself."""
    pool = build_pool(*EXECUTORS)
    pool.set_executors(EXECUTORS, frozenset("a"))
    granted = Holder(zone="a").acquire(pool, 2 * SLOTS)
    assert [permit.executor for permit in granted] == ["x2"] * SLOTS


async def test_permits_in_use_there_are_renewed():
    """Guards against a revoked permit: requests in progress may finish."""
    pool = build_pool(*EXECUTORS)
    holder = Holder(zone="a")
    holder.acquire(pool, 3)
    pool.set_executors(EXECUTORS, frozenset("a"))
    reply = holder.ask(pool, 0)
    assert reply.lost == []
    assert pool.count_used()["x1"] == 3


async def test_slots_there_do_not_count_towards_shares():
    """Guards against a gateway that keeps all slots left, as if it had but its share.

    With the zone's slots counted, the share of both would be all slots of the other
    zone, and the gateway with requests in the evacuated zone would get none of them.
    """
    pool = build_pool(*EXECUTORS)
    first, second = Holder("g1"), Holder("g2")
    first.acquire(pool, SLOTS)
    pool.set_executors(EXECUTORS, frozenset("a"))
    assert len(second.acquire(pool, SLOTS)) == SLOTS
    assert first.ask(pool, SLOTS).share == SLOTS // 2


async def test_used_slots_there_do_not_count_as_used():
    """Guards against free slots that nobody gets while requests run in the zone.

    Three slots are free and one is owed to the third gateway, which waits for another
    executor, so the first one gets two although it has its share.
    """
    pool = build_pool(*EXECUTORS)
    Holder("g0").acquire(pool, SLOTS)
    pool.set_executors(EXECUTORS, frozenset("a"))
    first, second, third = (Holder(name) for name in ("g1", "g2", "g3"))
    for holder, count in ((first, 2), (second, 2), (third, 1)):
        assert len(holder.acquire(pool, count)) == count
    waiting = AcquirePermits(
        service="prices",
        count=SLOTS,
        zone="a",
        gateway="g3",
        sequence=2,
        held=third.held,
        longest_ms=1000,
        avoid=["x2"],
    )
    assert pool.acquire(waiting).permits == []
    assert len(first.acquire(pool, SLOTS)) == 2


async def test_every_zone_evacuated_and_restored():
    """Guards against a pool that grants again only after its next takeover."""
    pool = build_pool(*EXECUTORS)
    pool.set_executors(EXECUTORS, frozenset("ab"))
    holder = Holder()
    assert holder.acquire(pool, 4) == []
    pool.set_executors(EXECUTORS, frozenset("b"))
    assert [permit.executor for permit in holder.acquire(pool, 4)] == ["x1"] * 4
