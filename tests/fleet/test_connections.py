"""Calls to workers over few connections, and to workers that accept no more."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell import StartAnswer, StartOrder, WorkerInfo
from cactustiller.fleet import connections, workers
from cactustiller.fleet.workers import HttpWorkerCalls
from cactustiller.model import Amounts
from standins.fleet import Audit, FleetWorker
from standins.fleet.http import make_worker_handler, serve
from standins.fleet.relays import FullRelay
from tests.peers.builders import SilentRelay

FENCE = 3
HOLD_MS = 1000
# Connections of one owner: one for a hold call, one for starts and stops, and more
# while these wait. A worker accepts 64 from all owners, also from those that are gone.
USUAL_CONNECTIONS = 2
MOST_CONNECTIONS = 6
IDLE_SECONDS = 0.1
PATIENT_SECONDS = 10.0


class Site:
    """A worker behind a relay that limits its connections, and an owner's calls."""

    def __init__(self, limit=64):
        self._limit = limit
        self.unanswered = 0

    async def __aenter__(self):
        info = WorkerInfo("i-1", "", "recon", "z", Amounts(10**6, 10**6), born_ms=1)
        self.worker = FleetWorker(info, Audit(), lambda task: ((1, 1, 0), 30.0))
        self.worker.start()
        self._runner, target = await serve(make_worker_handler(self.worker))
        self.relay = FullRelay(target, self._limit)
        address = await self.relay.open()
        self.info = WorkerInfo("i-1", address, "recon", "z", Amounts())
        self.calls = HttpWorkerCalls()
        await self.hold(0)
        return self

    async def __aexit__(self, *exception):
        await self.calls.close()
        await self.relay.close()
        await self.worker.stop()
        await self._runner.cleanup()

    async def hold(self, wait_ms=HOLD_MS):
        deadline_ms = int(asyncio.get_running_loop().time() * 1000) + 6000
        return await self.calls.hold(self.info, FENCE, 0, deadline_ms, wait_ms)

    async def start(self, number):
        deadline_ms = int(asyncio.get_running_loop().time() * 1000) + 6000
        order = StartOrder(f"j.0.0.{number}", 1, "text", deadline_ms, FENCE)
        answer = await self.calls.start(self.info, order)
        self.unanswered += answer is StartAnswer.UNANSWERED
        return answer

    async def stop(self, number):
        return await self.calls.stop(self.info, f"j.0.0.{number}", 1, FENCE)

    async def keep_holding(self):
        while True:
            answer = await self.hold()
            if answer.is_err():
                await asyncio.sleep(0.25)


async def hold_during(site, calls):
    """Return the result of `calls` while hold calls wait at the worker."""
    holding = asyncio.create_task(site.keep_holding())
    try:
        await asyncio.sleep(0.05)
        return await calls
    finally:
        holding.cancel()
        await asyncio.gather(holding, return_exceptions=True)


async def try_until(call, is_good, tries=8):
    for _ in range(tries):
        answer = await call()
        if is_good(answer):
            return answer
        await asyncio.sleep(0.1)
    return answer


async def test_starts_and_stops_reach_a_worker_that_accepts_no_further_connection():
    # Guards against orders that are reset while hold calls keep the only connection.
    async with Site(limit=1) as site:

        async def start_and_stop():
            for number in range(3):
                answer = await try_until(
                    lambda number=number: site.start(number),
                    lambda answer: answer is StartAnswer.STARTED,
                )
                assert answer is StartAnswer.STARTED
                stopped = await try_until(
                    lambda number=number: site.stop(number),
                    lambda answer: answer.is_ok(),
                )
                assert stopped.is_ok()

        await hold_during(site, start_and_stop())
        assert site.unanswered == 0
        assert site.relay.refused >= 1


async def test_a_full_worker_is_not_asked_for_connections_all_the_time():
    async with Site(limit=1) as site:

        async def start_for_a_while():
            for number in range(60):
                await site.start(number)
                await asyncio.sleep(0.05)

        await hold_during(site, start_for_a_while())
        assert site.unanswered == 0
        assert site.relay.refused <= 4


async def test_a_connection_that_is_freed_is_used_again():
    async with Site(limit=1) as site:

        async def start_one():
            await site.start(1)
            site.relay.limit = 2
            await asyncio.sleep(1.5)
            return await site.start(2)

        assert await hold_during(site, start_one()) is StartAnswer.STARTED
        assert site.relay.opened == USUAL_CONNECTIONS


@pytest.fixture
def patient_calls(monkeypatch):
    """Let a stall of this process, which also serves the calls, time out none."""
    monkeypatch.setattr(workers, "CALL_TIMEOUT_SECONDS", PATIENT_SECONDS)
    monkeypatch.setattr(connections, "QUEUE_SECONDS", PATIENT_SECONDS)
    monkeypatch.setattr(connections, "OPEN_TIMEOUT_SECONDS", PATIENT_SECONDS)


@pytest.mark.usefixtures("patient_calls")
async def test_many_starts_share_few_connections():
    # Guards against owners that fill a worker's 64 connections when they lose power.
    async with Site() as site:
        starts = asyncio.gather(*(site.start(number) for number in range(60)))
        answers = await hold_during(site, starts)
        assert set(answers) == {StartAnswer.STARTED}
        assert site.relay.most_open <= MOST_CONNECTIONS


@pytest.mark.usefixtures("patient_calls")
async def test_connections_of_a_burst_are_closed_after_it(monkeypatch):
    # Guards against the same, when the owner is lost some time after a burst.
    monkeypatch.setattr(connections, "EXTRA_IDLE_SECONDS", IDLE_SECONDS)
    async with Site() as site:
        await asyncio.gather(*(site.start(number) for number in range(60)))
        async with asyncio.timeout(PATIENT_SECONDS):
            while max(site.calls.count_connections()) > USUAL_CONNECTIONS:
                await asyncio.sleep(IDLE_SECONDS)


@pytest.mark.usefixtures("patient_calls")
async def test_connections_in_use_are_not_replaced(monkeypatch):
    # Guards against a price for new connections while there is a burst now and then.
    monkeypatch.setattr(connections, "EXTRA_IDLE_SECONDS", 1.0)
    async with Site() as site:
        for burst in range(20):
            numbers = range(20 * burst, 20 * burst + 20)
            await asyncio.gather(*(site.start(number) for number in numbers))
            await asyncio.sleep(0.2)
        assert site.relay.opened <= MOST_CONNECTIONS


async def test_a_closed_pool_opens_no_connection():
    # Guards against orders to the address that a worker had before.
    async with Site() as site:
        starts = [asyncio.create_task(site.start(number)) for number in range(40)]
        await asyncio.sleep(0)
        pool = site.calls._get_client(site.info)
        await pool.close()
        answers = await asyncio.gather(*starts)
        assert StartAnswer.UNHEALTHY in answers
        await asyncio.sleep(IDLE_SECONDS)
        assert pool.open_connections == 0
        assert await site.start(40) is StartAnswer.UNHEALTHY


@pytest.mark.usefixtures("patient_calls")
async def test_connections_are_kept_between_starts():
    # Guards against a price for new connections with each start.
    async with Site() as site:

        async def start_in_turn():
            for number in range(20):
                assert await site.start(number) is StartAnswer.STARTED
                await asyncio.sleep(0.01)

        await hold_during(site, start_in_turn())
        assert site.relay.opened == USUAL_CONNECTIONS


async def test_replaced_silent_connections_do_not_add_up():
    # Guards against one more set of connections after each time-out.
    async with Site() as site, SilentRelay(site.info.address) as relay:
        site.info = replace(site.info, address=relay.address)
        for number in range(3):
            await try_until(lambda: site.hold(0), lambda answer: answer.is_ok())
            assert await hold_during(site, site.start(number)) is StartAnswer.STARTED
            relay.silence()
            assert await site.start(number) is not StartAnswer.STARTED
            counts = site.calls.count_connections()
            assert max(counts) <= USUAL_CONNECTIONS


@pytest.mark.usefixtures("patient_calls")
async def test_a_connection_that_a_call_has_just_taken_is_not_closed(monkeypatch):
    # Guards against starts that are broken off by the close of an idle connection.
    monkeypatch.setattr(connections, "EXTRA_IDLE_SECONDS", 0.0)
    async with Site() as site:
        await asyncio.gather(*(site.start(number) for number in range(60)))
        pool = site.calls._get_client(site.info)
        for _ in range(MOST_CONNECTIONS - len(pool._clients)):
            await pool._open()
        starts = [asyncio.create_task(site.start(number)) for number in range(60, 64)]
        pool._close_extra()
        assert {await start for start in starts} == {StartAnswer.STARTED}
