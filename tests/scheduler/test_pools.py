import asyncio

import pytest
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import AcquirePermits, HeldPermits, ReturnPermits
from cactustiller.platform import BackendInfo
from cactustiller.scheduler.pools import PERMIT_LIFE_SECONDS, Pool

SLOTS = 8
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


def acquire(pool, count, zone="a", gateway="g1"):
    message = AcquirePermits(service="prices", count=count, zone=zone, gateway=gateway)
    return pool.acquire(message)


def give_back(pool, permits, gateway="g1"):
    return pool.give_back(
        ReturnPermits(service="prices", permits=permits, gateway=gateway)
    )


async def test_slots_are_never_granted_twice():
    pool = Pool("prices", 1, [build_executor("x1"), build_executor("x2")])
    granted = acquire(pool, 12).permits + acquire(pool, 12, gateway="g2").permits
    assert pool.count_used() == {"x1": SLOTS, "x2": SLOTS}
    assert len(granted) == 2 * SLOTS
    give_back(pool, granted[:1])
    give_back(pool, granted[:1])
    assert len(acquire(pool, 12).permits) == 1
    assert acquire(pool, 1).queued > 0


async def test_own_zone_comes_first_while_it_has_room():
    pool = Pool("prices", 1, [build_executor("x1", "b"), build_executor("x2")])
    zones = [permit.executor for permit in acquire(pool, SLOTS + 1).permits]
    assert zones == ["x2"] * SLOTS + ["x1"]


async def test_leaving_executor_gets_no_grants():
    pool = Pool("prices", 1, [build_executor("x1")])
    permits = acquire(pool, 3).permits
    pool.set_executors([build_executor("x1", state="leaving")])
    assert acquire(pool, 1).permits == []
    assert pool.count_used() == {"x1": 3}
    give_back(pool, permits)
    assert pool.count_used() == {}


async def test_unreturned_permit_counts_until_it_expires():
    pool = Pool("prices", 1, [build_executor("x1")])
    acquire(pool, SLOTS)
    await asyncio.sleep(PERMIT_LIFE_SECONDS)
    assert acquire(pool, 1).permits == []
    await asyncio.sleep(2)
    assert len(acquire(pool, SLOTS).permits) == SLOTS


async def test_takeover_counts_what_gateways_hold():
    permits = acquire(Pool("prices", 1, [build_executor("x1")]), 5).permits
    pool = Pool("prices", 2, [build_executor("x1")])

    async def call_gateways(message):
        assert message.epoch == 2
        assert acquire(pool, 1).permits == []
        return {
            "g1": Ok(HeldPermits(permits=permits)),
            "g2": Ok(HeldPermits(permits=[])),
        }

    await pool.recover(call_gateways)
    assert len(acquire(pool, SLOTS, gateway="g2").permits) == SLOTS - 5
    give_back(pool, permits)
    assert len(acquire(pool, SLOTS).permits) == 5


async def test_takeover_waits_for_permits_of_silent_gateway():
    pool = Pool("prices", 2, [build_executor("x1")])

    async def call_gateways(message):
        failure = Failure(code=ErrorCode.TIMEOUT, step="test", reason="silent")
        return {"g1": Err(failure)}

    await pool.recover(call_gateways)
    await asyncio.sleep(PERMIT_LIFE_SECONDS)
    assert acquire(pool, 1).permits == []
    await asyncio.sleep(2)
    assert len(acquire(pool, SLOTS).permits) == SLOTS
