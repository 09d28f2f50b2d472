import asyncio

import pytest
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import AcquirePermits, HeldPermits
from cactustiller.ports import BackendInfo
from cactustiller.scheduler.ballots import CONFIRMED_SECONDS
from cactustiller.scheduler.fairness import find_fair_share
from cactustiller.scheduler.pools import (
    CHECK_INTERVAL_SECONDS,
    EXPIRY_MARGIN_SECONDS,
    PERMIT_LIFETIME_SECONDS,
    Pool,
)

SLOTS = 8
LIFE_SECONDS = PERMIT_LIFETIME_SECONDS + EXPIRY_MARGIN_SECONDS
LONGEST_SECONDS = 2.0
RELEASE_SECONDS = LIFE_SECONDS + CONFIRMED_SECONDS + LONGEST_SECONDS
SILENT = Err(Failure(code=ErrorCode.TIMEOUT, step="test", reason="silent"))
pytestmark = pytest.mark.looptime


def build_executor(name, zone="a", state="live"):
    return BackendInfo(
        executor=name,
        service="prices",
        address="127.0.0.1:1",
        zone=zone,
        slots=SLOTS,
        connections=64,
        state=state,
    )


def build_pool(*executors, epoch=1, has_lease=lambda: True):
    executors = executors or (build_executor("x1"),)
    return Pool("prices", epoch, executors, has_lease)


class Holder:
    """Gateway that confirms ballots and lists its permits in each request."""

    def __init__(self, name="g1", zone="a"):
        self.name = name
        self.zone = zone
        self.sequence = 0
        self.ballot = 0
        self.held = []

    def acquire(self, pool, count):
        """Request slots and keep the permits of the answer."""
        reply = self.ask(pool, count)
        self.held += reply.permits
        return reply.permits

    def ask(self, pool, count):
        self.sequence += 1
        return pool.acquire(
            AcquirePermits(
                service="prices",
                count=count,
                zone=self.zone,
                gateway=self.name,
                sequence=self.sequence,
                held=self.held,
                longest_ms=int(LONGEST_SECONDS * 1000),
            )
        )

    def report(self, message):
        self.ballot = max(self.ballot, message.epoch)
        return HeldPermits(
            permits=self.held,
            epoch=self.ballot,
            gateway=self.name,
            longest_ms=int(LONGEST_SECONDS * 1000),
        )


def connect(*holders, silent=()):
    """Return the function that calls the gateways; those in `silent` fail."""

    async def call_gateways(message):
        return {
            holder.name: SILENT if holder.name in silent else Ok(holder.report(message))
            for holder in holders
        }

    return call_gateways


async def test_slots_are_never_granted_twice():
    pool = build_pool(build_executor("x1"), build_executor("x2"))
    first, second = Holder("g1"), Holder("g2")
    granted = first.acquire(pool, 8) + second.acquire(pool, 12)
    assert pool.count_used() == {"x1": SLOTS, "x2": SLOTS}
    assert len({permit.number for permit in granted}) == 2 * SLOTS
    first.held.pop()
    assert first.ask(pool, 0).queued > 0
    assert len(second.acquire(pool, 12)) == 1


async def test_own_zone_is_preferred_while_it_has_free_slots():
    pool = build_pool(build_executor("x1", "b"), build_executor("x2"))
    names = [permit.executor for permit in Holder().acquire(pool, SLOTS + 1)]
    assert names == ["x2"] * SLOTS + ["x1"]


async def test_leaving_executor_gets_no_grants():
    pool, holder = build_pool(), Holder()
    holder.acquire(pool, 3)
    pool.set_executors([build_executor("x1", state="leaving")])
    assert holder.acquire(pool, 1) == []
    assert pool.count_used() == {"x1": 3}
    holder.held.clear()
    holder.ask(pool, 0)
    assert pool.count_used() == {}


async def test_request_older_than_the_latest_is_refused():
    pool, holder = build_pool(), Holder()
    holder.acquire(pool, 2)
    holder.sequence -= 1
    holder.held = []
    assert isinstance(holder.ask(pool, 1), Failure)
    assert pool.count_used() == {"x1": 2}


async def test_lost_answer_frees_its_slots_with_the_next_request():
    pool, holder = build_pool(), Holder()
    holder.ask(pool, SLOTS)
    assert len(holder.acquire(pool, SLOTS)) == SLOTS


async def test_owner_without_lease_grants_only_what_a_majority_confirms():
    holders = [Holder(f"g{number}") for number in range(3)]
    pool = build_pool(has_lease=lambda: False)
    assert isinstance(holders[0].ask(pool, 1), Failure)
    await pool.check(connect(*holders, silent=["g1", "g2"]))
    assert isinstance(holders[0].ask(pool, 1), Failure)
    await pool.check(connect(*holders, silent=["g2"]))
    assert len(holders[0].acquire(pool, 1)) == 1
    await asyncio.sleep(CONFIRMED_SECONDS)
    assert isinstance(holders[0].ask(pool, 1), Failure)


async def test_owner_that_is_superseded_grants_nothing():
    holders = [Holder(f"g{number}") for number in range(3)]
    pool = build_pool()
    await build_pool(epoch=2).recover(connect(*holders, silent=["g1", "g2"]))
    await pool.recover(connect(*holders))
    assert isinstance(holders[1].ask(pool, 1), Failure)


async def test_slots_of_an_unresponsive_gateway_are_freed_once_its_work_has_expired():
    pool = build_pool()
    dead, live, other = Holder("g1"), Holder("g2"), Holder("g3")
    dead.acquire(pool, SLOTS)
    call_gateways = connect(dead, live, other, silent=["g1"])
    await asyncio.sleep(LIFE_SECONDS)
    await pool.check(call_gateways)
    await asyncio.sleep(RELEASE_SECONDS - CHECK_INTERVAL_SECONDS)
    await pool.check(call_gateways)
    assert live.acquire(pool, 1) == []
    await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    await pool.check(call_gateways)
    assert len(live.acquire(pool, SLOTS)) == SLOTS


async def test_slots_stay_counted_without_a_majority():
    pool = build_pool()
    dead, live = Holder("g1"), Holder("g2")
    dead.acquire(pool, SLOTS)
    call_gateways = connect(dead, live, Holder("g3"), silent=["g1", "g3"])
    for _ in range(100):
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        await pool.check(call_gateways)
    assert live.acquire(pool, 1) == []


async def test_gateway_that_responds_again_keeps_its_slots():
    pool, holder = build_pool(), Holder()
    holder.acquire(pool, SLOTS)
    await asyncio.sleep(LIFE_SECONDS)
    await pool.check(connect(holder))
    holder.ask(pool, 0)
    await asyncio.sleep(RELEASE_SECONDS)
    await pool.check(connect(holder))
    assert pool.count_used() == {"x1": SLOTS}


async def test_takeover_counts_permits_that_gateways_report():
    first, second = Holder("g1"), Holder("g2")
    first.acquire(build_pool(), 5)
    pool = build_pool(epoch=2)
    await pool.recover(connect(first, second))
    assert len(second.acquire(pool, SLOTS)) == SLOTS - 5
    first.held.clear()
    first.ask(pool, 0)
    assert len(second.acquire(pool, SLOTS)) == 5


async def test_takeover_grants_only_reported_slots_while_a_gateway_is_unresponsive():
    old = build_pool()
    silent, live, other = Holder("g1"), Holder("g2"), Holder("g3")
    silent.acquire(old, 2)
    live.acquire(old, 3)
    pool = build_pool(epoch=2)
    call_gateways = connect(silent, live, other, silent=["g1"])
    await pool.recover(call_gateways)
    assert other.acquire(pool, 1) == []
    live.held.pop()
    live.ask(pool, 0)
    assert len(other.acquire(pool, 2)) == 1
    await asyncio.sleep(RELEASE_SECONDS)
    await pool.check(call_gateways)
    assert len(other.acquire(pool, SLOTS)) == SLOTS - 3


async def test_unresponsive_gateway_that_recovers_keeps_its_permits():
    old = build_pool()
    late, live, other = Holder("g1"), Holder("g2"), Holder("g3")
    late.acquire(old, 2)
    pool = build_pool(epoch=2)
    await pool.recover(connect(late, live, other, silent=["g1"]))
    assert late.ask(pool, 0).lost == []
    assert pool.count_used() == {"x1": 2}


@pytest.mark.parametrize(
    ("wanted", "available", "level"),
    [([3, 4], 7, 0), ([1, 9, 9], 11, 5), ([9, 9, 9], 9, 3), ([5, 5, 5], 2, 1)],
)
def test_fair_share_divides_the_available_slots(wanted, available, level):
    assert find_fair_share(wanted, available) == level


async def test_pool_recreated_under_its_epoch_keeps_existing_permits():
    holder, other = Holder("g1"), Holder("g2")
    holder.acquire(build_pool(), 5)
    again = Pool("prices", 1, [build_executor("x1")], lambda: True, generation=1)
    await again.recover(connect(holder, other))
    assert len(other.acquire(again, SLOTS)) == SLOTS - 5
    numbers = [permit.number for permit in holder.held + other.held]
    assert len(set(numbers)) == SLOTS
    assert holder.ask(again, 0).lost == []
