"""Slots under faults: a stateful property test and single scenarios."""

import asyncio
import contextlib
import functools

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.gateway.simulated_cell import SlotCell, new_loop

GATEWAYS = ["g0", "g1", "g2"]
names = st.sampled_from(GATEWAYS)


# Hypothesis derives the seed of its examples from the source text of this class.
class SlotMachine(RuleBasedStateMachine):
    """Owner changes, pauses, restarts, cut links, lost answers, table outages.

    `SlotCell` checks at every start that no executor is over its slots.
    """

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.loop = new_loop()
        self.cell = self.run(self._build(seed))

    async def _build(self, seed):
        cell = SlotCell(seed=seed)
        cell.take_over()
        self.tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                cell.renew_leases(),
                cell.renew_ownership(),
                cell.send_regularly(),
            )
        ]
        await asyncio.sleep(0.3)
        return cell

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(seconds=st.sampled_from([0.3, 1.7, 5.0, 12.0]))
    def let_time_pass(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule()
    def change_owner(self):
        async def change():
            if self.cell.take_over():
                await asyncio.sleep(3.0)

        self.run(change())

    @rule()
    def cut_owner_from_table(self):
        self.cell.cut_links.add((self.cell.owners[-1].name, "table"))
        self.run(asyncio.sleep(2.5))

    @rule(name=names, is_paused=st.booleans())
    def pause(self, name, is_paused):
        self.cell.gateways[name].is_paused = is_paused

    @rule(name=names)
    def restart(self, name):
        self.run(self.cell.restart_gateway(name))

    @rule(name=names, other=st.sampled_from(["g0", "g1", "g2", "s1", "s2", "s3"]))
    def cut(self, name, other):
        self.cell.cut_links |= {(name, other), (other, name)}

    @rule()
    def mend(self):
        self.cell.cut_links.clear()

    @rule(is_down=st.booleans())
    def break_table(self, is_down):
        self.cell.is_table_down = is_down

    @rule(share=st.sampled_from([0.0, 0.3]))
    def lose_answers(self, share):
        self.cell.lost_answers = share

    @invariant()
    def no_executor_is_over_its_slots(self):
        if hasattr(self, "cell"):
            assert self.cell.highest <= self.cell.slots

    def teardown(self):
        async def stop():
            await self.cell.stop()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        if hasattr(self, "cell"):
            self.run(stop())
            self.loop.close()


SlotMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestSlots = SlotMachine.TestCase


def run_on_new_loop(function):
    """Return a test that runs a coroutine function on its own event loop."""

    @functools.wraps(function)
    def run():
        loop = new_loop()
        try:
            loop.run_until_complete(function())
        finally:
            loop.close()

    # The pytest plugin for coroutines would otherwise find the wrapped function.
    del run.__wrapped__
    return run


@contextlib.asynccontextmanager
async def open_cell(slots=2):
    cell = SlotCell(slots=slots, seed=7)
    cell.take_over()
    tasks = [
        asyncio.create_task(coroutine)
        for coroutine in (cell.renew_leases(), cell.renew_ownership())
    ]
    await asyncio.sleep(1.5)
    try:
        yield cell
    finally:
        for task in tasks:
            task.cancel()
        await cell.stop()


async def send_until(cell, seconds, work_seconds=0.1):
    """Send requests from every gateway in turn; return how many succeeded."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    answered = 0
    while loop.time() < until:
        for name in GATEWAYS:
            answered += await cell.send(name, work_seconds, 1.0)
        await asyncio.sleep(0.05)
    return answered


@run_on_new_loop
async def test_requests_continue_during_a_table_outage_and_an_owner_crash():
    async with open_cell(slots=8) as cell:
        assert await send_until(cell, 3) > 20
        cell.is_table_down = True
        assert await send_until(cell, 8) > 60
        cell.owners[-1].is_ready = False
        await cell.owners[-1].stop()
        assert await send_until(cell, 15) > 110
        cell.is_table_down = False
        cell.owners[-1].lease_until = 0.0
        cell.take_over()
        await asyncio.sleep(2.0)
        assert await send_until(cell, 4) > 25
        assert cell.highest <= cell.slots


@run_on_new_loop
async def test_gateway_partitioned_only_from_the_owner_stops():
    async with open_cell() as cell:
        tasks = [cell.send("g0", 60.0, 2.0) for _ in range(4)]
        await asyncio.sleep(0.3)
        assert sum(cell.busy.values()) == 4
        cell.cut_links |= {("g0", "s1"), ("s1", "g0")}
        await asyncio.gather(*tasks)
        await asyncio.sleep(20.0)
        assert cell.gateways["g0"].store.take_idle() is None
        tasks = [cell.send("g1", 1.0, 2.0) for _ in range(4)]
        assert sum(await asyncio.gather(*tasks)) == 4
        assert cell.highest <= cell.slots


@run_on_new_loop
async def test_confirmation_requires_a_majority():
    async with open_cell() as cell:
        assert await cell.send("g0", 0.1, 1.0)
        cell.is_table_down = True
        await cell.owners[-1].stop()
        cell.cut_links |= {("g0", "g1"), ("g0", "g2"), ("g0", "s1")}
        await asyncio.sleep(10.0)
        assert cell.gateways["g0"].store.take_idle() is None
        assert await cell.send("g0", 0.1, 1.0) is False


@pytest.mark.parametrize("seed", range(4))
def test_new_owner_does_not_grant_slots_that_a_restarted_gateway_forgot(seed):
    machine = SlotMachine()
    machine.start(seed)
    try:
        machine.cut_owner_from_table()
        machine.restart("g0")
        machine.change_owner()
        machine.let_time_pass(12.0)
        machine.let_time_pass(12.0)
        machine.no_executor_is_over_its_slots()
        assert machine.cell.owners[-1].pool.count_used().total() > 2
    finally:
        machine.teardown()


@run_on_new_loop
async def test_new_owner_allows_for_long_requests_of_a_silent_gateway():
    async with open_cell() as cell:
        long_requests = [cell.send("g0", 20.0, 20.0) for _ in range(4)]
        await asyncio.sleep(1.5)
        assert sum(cell.busy.values()) == 4
        cell.gateways["g0"].is_paused = True
        cell.cut_links.add((cell.owners[-1].name, "table"))
        await asyncio.sleep(2.5)
        assert cell.take_over()
        await send_until(cell, 16, work_seconds=1.0)
        assert cell.highest <= cell.slots
        for request in long_requests:
            request.cancel()
