"""Listings that are fetched beside the hold call of a worker."""

import asyncio
from collections import Counter

import pytest

from cactustiller.cell.owner.listing_calls import ListingFetcher
from standins.fleet import FleetCell, make_job
from standins.fleet.workers import WorkerTrouble

from .builders import make_worker

pytestmark = pytest.mark.looptime

CALL_SECONDS = 0.1


async def test_a_burst_of_unanswered_starts_does_not_flood_its_worker_with_calls():
    async with FleetCell(workers=1) as cell:
        await asyncio.sleep(1)
        worker = cell.workers["w0"]
        held = Counter()
        take_hold = worker.take_hold

        def count_hold(*arguments):
            held[worker.trouble] += 1
            return take_hold(*arguments)

        worker.take_hold = count_hold
        worker.trouble = WorkerTrouble.ORDERS_LATE
        spec = make_job(count=200, cpu=100)
        await cell.submit(spec, seconds=0.5)
        await asyncio.sleep(1.2)
        assert held[WorkerTrouble.ORDERS_LATE] < 20
        worker.trouble = WorkerTrouble.NONE
        await asyncio.sleep(10)


async def test_listings_of_a_worker_are_fetched_one_at_a_time():
    loop = asyncio.get_running_loop()
    calls = []

    async def fetch(worker):
        started_at = loop.time()
        await asyncio.sleep(CALL_SECONDS)
        calls.append((worker.info.worker, started_at))

    fetcher = ListingFetcher(fetch)
    workers = [make_worker("w0"), make_worker("w1")]
    first = [asyncio.create_task(fetcher.fetch(worker)) for worker in workers]
    await asyncio.sleep(CALL_SECONDS / 2)
    later = [asyncio.create_task(fetcher.fetch(workers[0])) for _ in range(50)]
    await asyncio.gather(*first, *later)
    assert Counter(name for name, _ in calls) == {"w0": 2, "w1": 1}


async def test_a_listing_that_was_requested_earlier_does_not_answer_a_later_fetch():
    # It may lack what the later caller has just learned of.
    loop = asyncio.get_running_loop()
    started = []

    async def fetch(worker):
        started.append(loop.time())
        await asyncio.sleep(CALL_SECONDS)

    fetcher = ListingFetcher(fetch)
    worker = make_worker()
    first = asyncio.create_task(fetcher.fetch(worker))
    await asyncio.sleep(CALL_SECONDS / 2)
    asked_at = loop.time()
    await fetcher.fetch(worker)
    await first
    assert started[-1] >= asked_at


async def test_a_failed_fetch_does_not_block_the_next_one():
    calls = []

    async def fetch(worker):
        calls.append(worker)
        if len(calls) == 1:
            raise ValueError("malformed")

    fetcher = ListingFetcher(fetch)
    with pytest.raises(ValueError, match="malformed"):
        await fetcher.fetch(make_worker())
    await fetcher.fetch(make_worker())
    assert len(calls) == 2


async def test_a_cancelled_caller_does_not_end_the_fetch_of_the_others():
    done = []

    async def fetch(worker):
        await asyncio.sleep(CALL_SECONDS)
        done.append(worker)

    fetcher = ListingFetcher(fetch)
    worker = make_worker()
    callers = [asyncio.create_task(fetcher.fetch(worker)) for _ in range(2)]
    await asyncio.sleep(CALL_SECONDS / 2)
    callers[0].cancel()
    await callers[1]
    assert done == [worker]
