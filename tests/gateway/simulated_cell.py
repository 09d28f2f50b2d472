"""Simulation of pools and permit stores in virtual time, with fault injection."""

import asyncio
import random
from types import SimpleNamespace

import looptime
from result import Err, Ok

from cactustiller.gateway.ejection import ExecutorHealth
from cactustiller.gateway.permits import PermitStore
from cactustiller.model import ErrorCode, Failure, FailureError, Outcome, Urgency
from cactustiller.model.messages import ReportPermits
from cactustiller.ports import BackendInfo
from cactustiller.scheduler.pools import Pool

SERVICE = "prices"
LEASE_SECONDS = 2.0
CALL_SECONDS = 1.0
# Longest timeout of a request that the settings allow.
TIMEOUT_LIMIT_MS = 20_000


def build_executor(name, zone="a", state="live", slots=2):
    return BackendInfo(
        executor=name,
        service=SERVICE,
        address="127.0.0.1:1",
        zone=zone,
        slots=slots,
        connections=64,
        state=state,
    )


def fail(reason, outcome=Outcome.UNKNOWN):
    return Err(
        Failure(code=ErrorCode.UNAVAILABLE, step="test", reason=reason, outcome=outcome)
    )


class Owner:
    """Scheduler that owns the pool in one epoch, or still assumes that it does."""

    def __init__(self, cell, epoch):
        self.cell = cell
        self.name = f"s{epoch}"
        self.epoch = epoch
        self.lease_until = 0.0
        self.pool = Pool(SERVICE, epoch, cell.executors, self.has_lease)
        self.is_ready = False
        self.task = asyncio.create_task(self._serve())

    def has_lease(self):
        return asyncio.get_running_loop().time() < self.lease_until

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.pool.stop()

    async def _serve(self):
        await self.pool.recover(self._call_gateways)
        self.is_ready = True
        self.pool.start(self._call_gateways)

    async def _call_gateways(self, message):
        names = list(self.cell.gateways)
        calls = [self.cell.ask_gateway(self.name, name, message) for name in names]
        return dict(zip(names, await asyncio.gather(*calls), strict=True))


class Gateway:
    """Gateway with a `PermitStore`, and its fake member, directory and peers."""

    def __init__(self, cell, name, incarnation, has_predecessor):
        self.has_predecessor = has_predecessor
        self.cell = cell
        self.name = name
        self.record = SimpleNamespace(
            member=name, incarnation=str(incarnation), zone="a", peer_address=name
        )
        self.member = name
        self.peers = self
        self.is_paused = False
        self.known_epoch = cell.table_epoch
        self.lease_until = float("inf")
        infos = {info.executor: info for info in cell.executors}
        health = ExecutorHealth(lambda: set(infos))
        directory = SimpleNamespace(
            is_usable=infos.__contains__,
            get=infos.get,
            is_evacuated=lambda executor: False,
            list_evacuated=lambda service: [],
            evacuations=SimpleNamespace(zones=frozenset()),
        )
        self.store = PermitStore(
            SERVICE, self, directory, health, lambda: TIMEOUT_LIMIT_MS
        )
        self.store.start()

    def list_members(self, role):
        return [gateway.record for gateway in self.cell.gateways.values()]

    def epoch_of(self, partition):
        return self.known_epoch

    async def refresh(self, scan_members=True):
        if not self.cell.is_table_down:
            self.known_epoch = self.cell.table_epoch

    async def call_owner(self, partition, message, timeout_seconds):
        return await self.cell.ask_owner(self, message)

    async def call(self, address, message, timeout_seconds):
        return await self.cell.ask_gateway(self.name, address, message)


class SlotCell:
    """Gateways and successive owners of one pool, connected by a faulty network.

    Executors never stop early: they work until a request is done or its deadline
    passes, even if its gateway fails.
    """

    def __init__(self, gateways=3, executors=2, slots=2, seed=0):
        self.random = random.Random(seed)
        self.executors = [
            build_executor(f"x{i}", slots=slots) for i in range(executors)
        ]
        self.busy = {info.executor: 0 for info in self.executors}
        self.slots = slots
        self.highest = 0
        self.finished = 0
        self.refused = 0
        self.cut_links = set()
        self.lost_answers = 0.0
        self.is_table_down = False
        self.table_epoch = 0
        self.owners = []
        self.tasks = set()
        self.gateways = {}
        for number in range(gateways):
            self.start_gateway(f"g{number}")

    def start_gateway(self, name, has_predecessor=False):
        incarnation = self.random.randrange(10**9)
        self.gateways[name] = Gateway(self, name, incarnation, has_predecessor)

    async def restart_gateway(self, name):
        """Replace a gateway; executors continue to work on its requests."""
        old = self.gateways.pop(name)
        old.is_paused = True
        old.store._task.cancel()
        self.start_gateway(name, has_predecessor=True)

    async def renew_leases(self):
        """Renew the current owner's lease while it can reach the table."""
        while True:
            now = asyncio.get_running_loop().time()
            owner = self.owners[-1] if self.owners else None
            if (
                owner
                and not self.is_table_down
                and (owner.name, "table") not in (self.cut_links)
            ):
                owner.lease_until = now + LEASE_SECONDS
            await asyncio.sleep(0.5)

    async def send_regularly(self):
        """Send requests of different durations to every gateway."""
        while True:
            for name in list(self.gateways):
                work = self.random.choice([0.1, 0.5, 3.0, 20.0])
                self.send(name, work, self.random.choice([1.0, 8.0, 20.0]))
            await asyncio.sleep(0.7)

    async def renew_ownership(self):
        """Let the gateways read the current owner's epoch from the table."""
        while True:
            for gateway in self.gateways.values():
                if not gateway.is_paused and (gateway.name, "table") not in (
                    self.cut_links
                ):
                    await gateway.refresh()
            await asyncio.sleep(0.5)

    def take_over(self):
        """Start a new owner of the pool if the previous one's lease has expired."""
        if self.is_table_down:
            return False
        if self.owners and self.owners[-1].has_lease():
            return False
        self.table_epoch += 1
        owner = Owner(self, self.table_epoch)
        owner.lease_until = asyncio.get_running_loop().time() + LEASE_SECONDS
        self.owners.append(owner)
        return True

    async def ask_owner(self, gateway, message):
        owner = next((o for o in self.owners if o.epoch == gateway.known_epoch), None)
        if owner is None or not owner.is_ready:
            return fail("not served", Outcome.NOT_RUN)

        async def answer():
            return owner.pool.acquire(message)

        return await self._pass(gateway.name, owner.name, answer)

    async def ask_gateway(self, sender, name, message):
        gateway = self.gateways.get(name)
        assert isinstance(message, ReportPermits)

        async def answer():
            return gateway.store.report(message.epoch)

        return await self._pass(sender, name, answer)

    async def _pass(self, sender, receiver, answer):
        delay = self.random.uniform(0.0, 0.02)
        await asyncio.sleep(delay)
        paused = {name for name, item in self.gateways.items() if item.is_paused}
        if {sender, receiver} & paused or (sender, receiver) in self.cut_links:
            await asyncio.sleep(CALL_SECONDS)
            return fail("no answer")
        reply = await answer()
        await asyncio.sleep(self.random.uniform(0.0, 0.02))
        if self.random.random() < self.lost_answers:
            await asyncio.sleep(CALL_SECONDS)
            return fail("lost answer")
        return Err(reply) if isinstance(reply, Failure) else Ok(reply)

    def send(self, name, work_seconds, deadline_seconds):
        """Start a request at a gateway."""
        task = asyncio.create_task(self._request(name, work_seconds, deadline_seconds))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _request(self, name, work_seconds, deadline_seconds):
        loop = asyncio.get_running_loop()
        gateway = self.gateways[name]
        store = gateway.store
        if gateway.is_paused:
            return False
        seconds = min(deadline_seconds, await store.register_timeout(deadline_seconds))
        deadline = loop.time() + seconds
        slot = None if gateway.is_paused else store.take_idle()
        try:
            slot = slot or await store.wait_for_slot(Urgency.NORMAL, seconds, 100)
        except FailureError:
            self.refused += 1
            return False
        if gateway.is_paused:
            # A paused process sends nothing; its timers fire late.
            store.release(slot)
            return False
        self._work(slot.executor, min(work_seconds, deadline - loop.time()))
        try:
            await asyncio.sleep(work_seconds)
        except asyncio.CancelledError:
            store.withhold(slot, deadline)
            if not slot.is_revoked:
                raise
            return False
        store.release(slot, work_seconds)
        self.finished += 1
        return True

    def _work(self, executor, seconds):
        self.busy[executor] += 1
        self.highest = max(self.highest, self.busy[executor])

        def end():
            self.busy[executor] -= 1

        asyncio.get_running_loop().call_later(max(0.0, seconds), end)

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways.values():
            gateway.store._task.cancel()
        for owner in self.owners:
            await owner.stop()


def new_loop():
    return looptime.new_event_loop(start=0, noop_cycles=0)
