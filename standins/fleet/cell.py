"""A whole cell in one process: members, workers, store, approvals and callers."""

import asyncio
import itertools
from dataclasses import replace

from cactustiller.cell import (
    Dependencies,
    DesiredState,
    JobSpec,
    Member,
    MemberSettings,
    Queue,
    QueueRules,
    RowKey,
    StepSpec,
    Team,
    WorkerInfo,
)
from cactustiller.model import Amounts, JobId, MemberId, QueueName, TeamId, WorkerId

from .approvals import FleetApprovals
from .audit import Audit
from .peers import PeerNetwork
from .store import Store, StoreClient
from .workers import FleetWorker, WorkerClient, WorkerTrouble

SERVICE = "recon"
WORKER_TABLE = "workers"
CONFIG_TABLE = "settings"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
CAPACITY = Amounts(32_000, 65_536, 0)
PEER_PORT = 7000
# Time after which a crashed worker is replaced, and that after which the entry of a
# silent one is removed.
CRASH_DOWN_SECONDS = 3.0
ENTRY_LIFETIME_SECONDS = 4.5


def make_queue(name="urgent", **rules):
    """Return a queue of the cell's only service."""
    defaults = {"slack_factor": 2.0, "objective_ms": 1000.0, "max_attempts": 3}
    return Queue(
        QueueName(name), "host", f"/{name}/", QueueRules(SERVICE, **defaults | rules)
    )


def make_job(number=1, queue=None, count=1, cpu=1000, estimate_ms=1000, **step):
    """Return a job of one step."""
    queue = queue or make_queue()
    spec = StepSpec(
        count=count, amounts=Amounts(cpu, 100, 0), estimate_ms=estimate_ms, **step
    )
    return JobSpec(
        job=JobId(f"{number:016x}"),
        queue=queue.name,
        team=TeamId("team"),
        payload="text",
        steps=(spec,),
        rules=queue.rules,
        accepted_ms=0,
    )


class FleetCell:
    """Cell whose members run on the loop's clock.

    Parameters
    ----------
    members, workers : int
    approves : callable
        Step name and worker to whether the worker may run the step.
    settings : dict or None
        Further fields of the `MemberSettings` of the first members.

    Attributes
    ----------
    deadly_tasks : set of str
        Names of the tasks that crash each worker that starts them.
    keeps_ids : bool
        A crashed worker comes back under its id, else under a new one.
    slow_runs : dict of (str, int) to float
        Factors by which runs take longer than the others, by task name and run.
    entries : dict of WorkerId to WorkerInfo
        Entries of workers that differ from what these are.
    """

    def __init__(
        self,
        members=3,
        workers=4,
        queues=None,
        capacity=CAPACITY,
        zones=("z",),
        approves=lambda step, worker: True,
        limit=(0, 0, 0),
        settings=None,
    ):
        self.audit = Audit(self._allows_copies)
        self.slow_runs = {}
        self.deadly_tasks = set()
        self.keeps_ids = False
        self.entries = {}
        self.store = Store()
        self.network = PeerNetwork()
        self.seconds = {}
        self.jobs = {}
        self._approves = approves
        self.queues = queues = queues or [make_queue()]
        team = Team(TeamId("team"), 1000.0, limit)
        self.versions = {}
        self.set_desired(
            DesiredState(1, {queue.name: queue for queue in queues}, {team.name: team})
        )
        self.workers = {}
        for index in range(workers):
            info = WorkerInfo(
                WorkerId(f"w{index}"),
                f"w{index}:1",
                SERVICE,
                zones[index % len(zones)],
                capacity,
                ("a", f"r{index % 2}"),
                born_ms=1,
            )
            self.workers[info.worker] = self._make_worker(info)
        self.members = {}
        self.stores = {}
        self.worker_clients = {}
        self._numbers = itertools.count()
        self._count, self._settings = members, settings or {}

    async def __aenter__(self):
        await self.start()
        await self.wait_for_owner()
        return self

    async def __aexit__(self, *exception):
        await self.stop()
        if exception[0] is None:
            assert self.audit.violations == []

    async def start(self):
        """Start the workers, list them, and start the members."""
        for worker in self.workers.values():
            worker.start()
            self.list_worker(worker)
        for _ in range(self._count):
            await self.add_member(**self._settings)

    async def stop(self):
        """Stop everything."""
        for name in list(self.members):
            await self.kill(name)
        for worker in self.workers.values():
            await worker.stop()

    def _make_worker(self, info):
        return FleetWorker(
            info,
            self.audit,
            self._describe,
            crashes_on=self.deadly_tasks.__contains__,
            on_crash=self._plan_replacement,
            find_slowdown=lambda task, run: self.slow_runs.get((task, run), 1),
        )

    def _plan_replacement(self, worker):
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DOWN_SECONDS, self._replace_worker, worker)
        if not self.keeps_ids:
            loop.call_later(
                ENTRY_LIFETIME_SECONDS, self.remove_entry, worker.info.worker
            )

    def _replace_worker(self, worker):
        """Start the process that replaces a crashed worker at its address."""
        born_ms = int(asyncio.get_running_loop().time() * 1000)
        if self.keeps_ids:
            worker.trouble = WorkerTrouble.NONE
            worker.be_reborn(born_ms)
            self.list_worker(worker)
            return
        worker.trouble = WorkerTrouble.REPLACED
        worker_id = WorkerId(f"{worker.info.worker}+")
        info = replace(worker.info, worker=worker_id, born_ms=born_ms)
        self.workers[worker_id] = self._make_worker(info)
        self.workers[worker_id].start()
        self.list_worker(self.workers[worker_id])

    def list_worker(self, worker, **changes):
        """Write a worker's entry."""
        self.store.put(self._make_worker_key(worker.info.worker), b"%d" % id(worker))

    def set_desired(self, desired):
        """Write a desired state as the operator does."""
        self.desired = desired
        value = b"%d" % desired.version
        self.versions[value] = desired
        self.store.put(RowKey(CONFIG_TABLE, "", CONFIG_KEY), value)

    def evacuate_zone(self, zone):
        """Evacuate an availability zone as the operator does."""
        self.store.put(RowKey(CONFIG_TABLE, "", EVACUATION_PREFIX + zone), b"{}")

    def restore_zone(self, zone):
        """Take the evacuation of a zone back."""
        self.store.remove(RowKey(CONFIG_TABLE, "", EVACUATION_PREFIX + zone))

    def drain_worker(self, worker_id, remaining_ms):
        """Let a worker announce its leave."""
        worker = self.workers[worker_id]
        worker.info = replace(worker.info, is_draining=True, remaining_ms=remaining_ms)
        self.list_worker(worker)

    def resize_worker(self, worker_id, capacity):
        """Change a worker's capacity and its entry."""
        worker = self.workers[worker_id]
        worker.info = replace(worker.info, capacity=capacity)
        self.entries.pop(worker_id, None)
        self.list_worker(worker)

    def remove_entry(self, worker_id):
        """Remove a worker's entry."""
        self.store.remove(self._make_worker_key(worker_id))

    async def add_member(self, name=None, **settings):
        """Start one more member, or one again, and return its name.

        `settings` are further fields of its `MemberSettings`.
        """
        name = name or f"m{next(self._numbers)}"
        store = self.stores[name] = StoreClient(self.store)
        calls = self.worker_clients[name] = WorkerClient(self.workers)
        dependencies = Dependencies(
            store=store,
            worker_calls=calls,
            approvals=FleetApprovals(self._approves),
            worker_table=WORKER_TABLE,
            worker_part="",
            decode_worker=self._decode_worker,
            desired_table=CONFIG_TABLE,
            desired_part="",
            desired_key=CONFIG_KEY,
            decode_desired=lambda value: self.versions[value],
            decode_evacuation=_decode_evacuation,
            make_peers=self.network.make_peers,
            wall_clock_ms=lambda: asyncio.get_running_loop().time() * 1000,
        )
        member = Member(
            MemberSettings(MemberId(name), "z", name, PEER_PORT, **settings),
            dependencies,
        )
        await member.start()
        self.members[name] = member
        return name

    async def kill(self, name):
        """End a member without a word to the others."""
        member = self.members.pop(name)
        await member.abort()

    def find_owner(self):
        """Return the name of the member that owns the cell, or None."""
        for name, member in self.members.items():
            if member.is_owner:
                return name
        return None

    def find_engine(self):
        """Return the engine of the member that owns the cell."""
        owner, _, _ = self.members[self.find_owner()]._find_owner()
        return owner.engine

    async def wait_for_owner(self, seconds=10.0, besides=None):
        """Wait until a member owns the cell and return its name."""
        async with asyncio.timeout(seconds):
            while self.find_owner() in (None, besides):
                await asyncio.sleep(0.02)
        return self.find_owner()

    async def submit(self, spec, seconds=1.0, member=None, caller=None):
        """Hand in a job whose tasks take `seconds`; return the `Acceptance`."""
        return (await self.submit_fully(spec, seconds, member, caller)).outcome

    async def submit_fully(self, spec, seconds=1.0, member=None, caller=None):
        """Hand in a job like `submit`; return the `SubmitAnswer`."""
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        spec = replace(spec, accepted_ms=now_ms)
        self.seconds[spec.job] = seconds
        self.jobs[spec.job] = spec
        name = member or next(iter(self.members))
        return await self.members[name].intake.accept(spec, caller)

    async def wait_for_state(self, spec, state, seconds=30.0, member=None):
        """Wait until a job is shown in a state."""
        async with asyncio.timeout(seconds):
            while True:
                name = member or next(iter(self.members))
                found = await self.members[name].intake.find_state(spec.queue, spec.job)
                if found.is_known and found.value is state:
                    return
                await asyncio.sleep(0.05)

    def _describe(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job].steps[int(step)].counted, self.seconds[job]

    def _allows_copies(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job].steps[int(step)].allows_copies

    def _decode_worker(self, key, value):
        return self.entries.get(key, self.workers[key].info)

    def _make_worker_key(self, worker_id):
        return RowKey(WORKER_TABLE, "", worker_id)


def _decode_evacuation(key):
    is_evacuation = key.startswith(EVACUATION_PREFIX)
    return key.removeprefix(EVACUATION_PREFIX) if is_evacuation else None
