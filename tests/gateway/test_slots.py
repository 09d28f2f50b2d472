"""Slots under faults: the state machine and the cases that have a name."""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.gateway.slot_cell import SlotCell, new_loop

GATEWAYS = ["g0", "g1", "g2"]
names = st.sampled_from(GATEWAYS)


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
