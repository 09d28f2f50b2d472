"""In-memory cell: the schedulers' real code on in-memory ports and peers."""

import asyncio
from types import SimpleNamespace

from result import Err, Ok

from cactustiller.model import (
    ErrorCode,
    Failure,
    JobSpec,
    MemberRecord,
    Outcome,
    Resources,
    TaskTemplate,
)
from cactustiller.model.messages import CancelJob, GetJob, SubmitJob
from cactustiller.ownership import home_of_team
from cactustiller.ports import (
    ApplyReply,
    InstanceListing,
    WatchReply,
    WorkerInfo,
)
from cactustiller.scheduler.daemon import run_incarnations
from cactustiller.scheduler.incarnation import Incarnation, Ports
from cactustiller.settings import ResolvedValues, TimingSettings
from demo.histories import TeamLimit, check_runs
from standins.history import History
from standins.instances import WorkerInfo as ListedWorker
from standins.runs import ApplyRequest, EpochRefused, WatchRequest
from standins.simulation import SimulatedWorker
from tests.scheduler.memory import MemoryTable, fail

PEER_LATENCY_SECONDS = 0.002
WORKER_LATENCY_SECONDS = 0.002
CALL_SECONDS = 2.0
LIMITED_TEAM = "limited"
LIMIT_TASKS = 4
WORKER_SIZE = Resources(cpu_millis=4000, memory_mib=4096)


class Gate:
    """Blocks all calls of and to a paused daemon."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    def close(self):
        self._open.clear()

    def open(self):
        self._open.set()

    async def call(self, function, *arguments):
        await self._open.wait()
        answer = await function(*arguments)
        await self._open.wait()
        return answer


class GatedTable:
    def __init__(self, table, gate):
        self._table = table
        self._gate = gate

    async def transact(self, write):
        return await self._gate.call(self._table.transact, write)

    async def read(self, read):
        return await self._gate.call(self._table.read, read)


class GatedWorkers:
    def __init__(self, workers, gate):
        self._workers = workers
        self._gate = gate

    async def apply(self, info, apply):
        return await self._gate.call(self._workers.apply, info, apply)

    async def watch(self, info, watch):
        return await self._gate.call(self._workers.watch, info, watch)


class MemoryWorkers:
    """Port to simulated workers; those in `down` do not answer.

    An `apply` to a worker in `late_seconds` arrives that much later, and its caller
    gets a timeout.
    """

    def __init__(self, infos):
        self.history = History()
        self.workers = {
            info.worker: SimulatedWorker(info, self.history) for info in infos
        }
        self.down = set()
        self.late_seconds = {}
        self._late = set()

    async def apply(self, info, apply):
        request = ApplyRequest.model_validate(apply.model_dump())
        await asyncio.sleep(WORKER_LATENCY_SECONDS / 2)
        if info.worker in self.late_seconds:
            seconds = self.late_seconds[info.worker]
            task = asyncio.create_task(self._apply_late(info.worker, request, seconds))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(CALL_SECONDS)
            return fail("no answer in time")
        if info.worker in self.down:
            return fail("worker down")
        reply = self.workers[info.worker].apply(request)
        await asyncio.sleep(WORKER_LATENCY_SECONDS / 2)
        return self._answer(info, reply, ApplyReply)

    async def watch(self, info, watch):
        await asyncio.sleep(WORKER_LATENCY_SECONDS)
        if info.worker in self.down:
            return fail("worker down")
        request = WatchRequest.model_validate(watch.model_dump())
        reply = await self.workers[info.worker].watch(request)
        return self._answer(info, reply, WatchReply)

    async def _apply_late(self, worker, request, seconds):
        await asyncio.sleep(seconds)
        self.workers[worker].apply(request)

    def _answer(self, info, reply, reply_class):
        if info.worker in self.down:
            return fail("worker down")
        if isinstance(reply, EpochRefused):
            return Err(
                Failure(code=ErrorCode.FENCED, step="test", reason="older epoch")
            )
        return Ok(reply_class.model_validate(reply.model_dump()))


class MemoryList:
    def __init__(self, infos):
        self.workers = {
            info.worker: WorkerInfo.model_validate(info.model_dump()) for info in infos
        }

    async def list_instances(self):
        return Ok(InstanceListing(workers=list(self.workers.values())))


class PeerNetwork:
    """Delivers calls between the daemons of a cell."""

    def __init__(self):
        self.handlers = {}
        self.gates = {}
        self.messages = 0

    def connect(self, hello, gate):
        return _PeerClient(self, hello, gate)

    def create_server(self, hello, handle, traffic):
        return _PeerServer(self, hello, handle)


class _PeerClient:
    def __init__(self, network, hello, gate):
        self._network = network
        self._hello = hello
        self._gate = gate

    async def call(self, address, message, timeout_seconds=CALL_SECONDS):
        self._network.messages += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._gate.call(self._deliver, address, message)
        except TimeoutError:
            return fail("no reply in time")

    async def _deliver(self, address, message):
        await asyncio.sleep(PEER_LATENCY_SECONDS)
        handle = self._network.handlers.get(address)
        if handle is None:
            return fail("cannot connect", Outcome.NOT_RUN)
        gate = self._network.gates[address]
        # The receiver continues after its caller timed out.
        reply = await asyncio.shield(gate.call(handle, message, self._hello))
        await asyncio.sleep(PEER_LATENCY_SECONDS)
        return Err(reply) if isinstance(reply, Failure) else Ok(reply)

    async def close(self):
        return


class _PeerServer:
    def __init__(self, network, hello, handle):
        self._network = network
        self._address = build_address(hello.member)
        self._handle = handle

    async def start(self, host, port, ssl_context=None):
        self._network.handlers[self._address] = self._handle

    async def stop(self):
        if self._network.handlers.get(self._address) == self._handle:
            del self._network.handlers[self._address]


class LimitedIncarnation(Incarnation):
    """Incarnation whose team `LIMITED_TEAM` has an upper limit."""

    are_settings_known = True

    def find_values(self, team, queue):
        if not self.are_settings_known:
            return None
        limit = LIMIT_TASKS if team == LIMITED_TEAM else 0
        return ResolvedValues(limit_tasks=limit)


class Daemon:
    """One scheduler of the cell, killed and paused as a process would be."""

    def __init__(self, cell, name, zone):
        self.name = name
        self.incarnation = None
        self._cell = cell
        self._zone = zone
        self._gate = Gate()
        self._stop = None
        self._task = None

    @property
    def is_running(self):
        return self._task is not None and self.incarnation is not None

    @property
    def member(self):
        return self.incarnation.member

    def start(self):
        self.incarnation = None
        self._gate = Gate()
        self._stop = asyncio.Event()
        self._task = asyncio.create_task(run_incarnations(self._create, self._stop))

    async def kill(self):
        # Blocks all calls, so that the cancelled tasks cannot leave the cell cleanly.
        self._gate.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def drain(self):
        self._stop.set()
        await self._task
        self._task = None

    def pause(self):
        self._gate.close()

    def resume(self):
        self._gate.open()

    def _create(self):
        cell, gate = self._cell, self._gate
        address = build_address(self.name)
        record = MemberRecord(
            member=self.name,
            role="scheduler",
            instance=self.name,
            zone=self._zone,
            peer_address=address,
            incarnation="",
        )
        ports = Ports(
            table=GatedTable(cell.table, gate),
            instances=cell.listing,
            workers=GatedWorkers(cell.workers, gate),
        )
        cell.network.gates[address] = gate
        self.incarnation = LimitedIncarnation(
            SimpleNamespace(timing=cell.timing, site="s", cell="c", peers=()),
            record,
            ports,
            peers=cell.network.connect(
                SimpleNamespace(member=self.name, role="scheduler"), gate
            ),
            create_server=cell.network.create_server,
        )
        return self.incarnation


class MemoryCell:
    """Schedulers, workers and table in one process on the loop's clock."""

    def __init__(self, schedulers=3, racks=3, workers_per_rack=2, **changes):
        infos = build_workers(racks, workers_per_rack, **changes)
        self.timing = TimingSettings(task_lease_seconds=10.0)
        self.table = MemoryTable()
        self.table.latency_seconds = 0.004
        self.workers = MemoryWorkers(infos)
        self.listing = MemoryList(infos)
        self.network = PeerNetwork()
        self.daemons = [
            Daemon(self, f"s{n}", "abc"[n % 3]) for n in range(1, schedulers + 1)
        ]
        self.teams = {}

    async def start(self):
        for daemon in self.daemons:
            daemon.start()
        await self.wait_for(self.is_settled)

    async def stop(self):
        for daemon in self.daemons:
            if daemon.is_running:
                await daemon.kill()

    def is_settled(self):
        """Return whether every partition is served by one running daemon."""
        running = [daemon for daemon in self.daemons if daemon.is_running]
        shards = {info.rack for info in self.listing.workers.values()}
        served = [
            shard
            for daemon in running
            for shard in daemon.incarnation.partitions.shards.values()
            if shard.sessions and all(s.is_usable for s in shard.sessions.values())
        ]
        homes = [
            home
            for daemon in running
            for home in daemon.incarnation.partitions.homes.values()
            if home.is_recovered
        ]
        return len(served) == len(shards) and len(homes) == 32

    async def wait_for(self, condition, seconds=60.0):
        """Return the virtual seconds until a condition holds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            if loop.time() - started > seconds:
                raise AssertionError(f"not within {seconds} s")
            await asyncio.sleep(0.05)
        return loop.time() - started

    def find_owner(self, partition):
        """Return the running daemon that serves a partition, or None."""
        for daemon in self.daemons:
            if daemon.is_running:
                partitions = daemon.incarnation.partitions
                if partition in partitions.homes or partition in partitions.shards:
                    return daemon
        return None

    async def ask(self, message):
        """Call the owner of a message's home, as a gateway would."""
        client = self.network.connect(
            SimpleNamespace(member="g1", role="gateway"), Gate()
        )
        daemon = self.find_owner(message.home)
        if daemon is None:
            return fail("no owner", Outcome.NOT_RUN)
        return await client.call(build_address(daemon.name), message, 6.0)

    async def submit(self, job, spec):
        self.teams[job] = spec.team
        message = SubmitJob(home=home_of_team(spec.team), job=job, spec=spec, key="k")
        return await self.ask(message)

    async def cancel(self, job):
        return await self.ask(CancelJob(home=home_of_team(self.teams[job]), job=job))

    async def read(self, job):
        message = GetJob(home=home_of_team(self.teams[job]), job=job, detail=True)
        return (await self.ask(message)).ok()

    def find_entry(self, job):
        """Return a job's entry at the owner of its home, or None."""
        home = home_of_team(self.teams[job])
        owner = self.find_owner(home)
        if owner is None:
            return None
        return owner.incarnation.partitions.homes[home].jobs.get(job)

    def check(self):
        """Return the check report of the runs that the workers executed."""
        for worker in self.workers.workers.values():
            worker.settle()
        limits = {LIMITED_TEAM: TeamLimit(tasks=LIMIT_TASKS)}
        return check_runs(self.workers.history.show(), self.teams, limits)

    def assert_safe(self):
        report = self.check()
        assert report.tasks_in_two_places == 0, report
        assert report.over_capacity == 0, report
        assert report.teams_over_limit == 0, report
        return report

    def list_rows(self, prefix):
        rows = self.table.store.rows
        return [key for key in rows if key.startswith(prefix)]


def build_address(name):
    return f"{name}:1"


def build_workers(racks, per_rack, honours_epochs=True):
    return [
        ListedWorker(
            worker=f"w{rack}{number}",
            address="127.0.0.1:1",
            rack=f"r{rack}",
            zone="abc"[rack % 3],
            region="r1",
            make="amd",
            resources=WORKER_SIZE,
            honours_epochs=honours_epochs,
        )
        for rack in range(racks)
        for number in range(per_rack)
    ]


def build_spec(team="free", kind="batch", tasks=1, run_seconds=5.0, cpu_millis=1000):
    resources = Resources(cpu_millis=cpu_millis, memory_mib=256)
    return JobSpec(
        name="a",
        team=team,
        queue="q",
        kind=kind,
        task_count=tasks,
        template=TaskTemplate(resources=resources, run_seconds=run_seconds),
    )
