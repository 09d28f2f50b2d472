"""Callers that come back while the store is away."""

import asyncio

import pytest

from cactustiller.cell import Acceptance
from cactustiller.cell.backoff import choose_retry_seconds
from standins.fleet import FleetCell, make_job, make_queue
from standins.fleet.store import Trouble

TRIES = 5
OUTAGE_SECONDS = 5.0


@pytest.mark.parametrize(
    ("estimate_ms", "away", "seconds"),
    [
        (640, 0.0, 1),
        (640, 0.9, 1),
        (640, 1.8, 2),
        (640, 4.0, 2),
        (3400, 0.2, 1),
        (3400, 1.8, 2),
        (3400, 4.0, 3),
    ],
)
def test_the_pause_grows_with_the_outage(estimate_ms, away, seconds):
    spec = make_job(1, make_queue(objective_ms=250.0), estimate_ms=estimate_ms)
    assert choose_retry_seconds(spec, away) == seconds


@pytest.mark.looptime
async def test_callers_outlast_an_outage():
    queue = make_queue("batch", priority=2)
    outcomes = {}
    async with FleetCell(queues=[queue]) as cell:

        async def hand_in(number, member):
            spec = make_job(number, queue, estimate_ms=3400)
            for _ in range(TRIES):
                outcome = await cell.submit(spec, 3.4, member)
                outcomes[number] = outcome
                if outcome is Acceptance.ACCEPTED:
                    return
                intake = cell.members[member].intake
                await asyncio.sleep(intake.choose_retry_seconds(spec))

        for store in cell.stores.values():
            store.trouble = Trouble.REFUSING
        calls = []
        for number in range(1, 41):
            calls.append(asyncio.create_task(hand_in(number, f"m{number % 3}")))
            await asyncio.sleep(OUTAGE_SECONDS / 40)
        for store in cell.stores.values():
            store.trouble = Trouble.NONE
        await asyncio.gather(*calls)
        assert set(outcomes.values()) == {Acceptance.ACCEPTED}
