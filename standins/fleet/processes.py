"""The real daemons as processes, on a stand-in of the platform in this process."""

import asyncio
import os
import random
import signal
import socket
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import aiohttp
import orjson

from cactustiller.cell import RowKey, WorkerInfo
from cactustiller.model import Amounts, WorkerId

from .audit import Audit
from .hosts import WorkerHost
from .http import make_approval_handler, make_store_handler, serve
from .registry import Registry
from .relays import FullRelay
from .store import Store, StoreClient
from .workers import FleetWorker

HOST = "queue.example"
PREFIX = "/jobs/"
KEY = "key-of-the-team"
SERVICE = "recon"
CAPACITY = Amounts(32_000, 65_536, 0)
CALL_SECONDS = 5.0
# Connections that close so soon after a kill are those of the daemon.
KILL_SECONDS = 0.3
# From a stop to the end of the run.
STOP_SECONDS = (0.1, 0.4)
MAX_ATTEMPTS = 3
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "r-1",
            "Host": HOST,
            "PathPrefix": PREFIX,
            "Service": SERVICE,
            "Priority": 0,
            "MaxAttempts": MAX_ATTEMPTS,
            "SlackFactor": 2.0,
            "TargetLatencyMs": 1000,
            "Recommendation": {"DecideMs": 5, "PeriodMs": 0.1, "ValidMs": 2000},
        }
    ],
    "Services": [{"Name": SERVICE}],
    "Tenants": [{"Name": "team", "ApiKeys": [KEY], "Weight": 1000}],
}
ZONES = ("east", "west")
LISTENERS = ("frontend", "ready", "peers", "metrics")
NODE = """
NodeName = "{name}"
Role = "entry"
Ip = "{ip}"
Zone = "z"
InternalPorts = [{peer}, {peer}]
Recommendation = "{approvals}"
[ListenAddrs]
Frontend = "{ip}:{frontend}"
Ready = "{ip}:{ready}"
[Limits]
{limits}
[Bounds]
GraceS = 6
status_s = 120
[platform]
Address = "{store}"
"""


def make_body(count=2, is_gang=False, allows_copies=False):
    """Return the body of a submission of one step."""
    step = {"Count": count, "Cpu": 1000, "MemMb": 10}
    if is_gang:
        step["Gang"] = True
    if allows_copies:
        step |= {"Speculative": True, "EstimateMs": 500}
    return {"Spec": "text", "Steps": [step]}


class ProcessCell:
    """Daemons of one cell, each a process of its own.

    Parameters
    ----------
    folder : Path
        For settings and log files.
    members, workers : int
    task_seconds : float
        Work of each task.
    seed : int
        Of the faults of single calls.
    connections : int or None
        Maximum number of connections to each worker, kept by a relay.
    limits, client_limits : dict or None
        Of each machine in its settings file, and of clients in the desired state.

    Attributes
    ----------
    addresses : dict of str to dict of str to str
        Of each daemon, by `LISTENERS`.
    relays : list of FullRelay
        In front of the workers, if these limit their connections.
    copied_jobs, gangs : set of str
        Jobs whose tasks may have a second run, and jobs whose tasks run together.
    deadly_tasks : set of str
        Tasks that crash each worker that starts them.
    ended : list of str
        Daemons that have ended by themselves.
    """

    def __init__(
        self,
        folder,
        members=3,
        workers=4,
        task_seconds=0.5,
        seed=0,
        connections=None,
        limits=None,
        client_limits=None,
    ):
        self.folder = Path(folder)
        self.copied_jobs, self.gangs, self.deadly_tasks = set(), set(), set()
        self.audit = Audit(
            lambda task: task.partition(".")[0] in self.copied_jobs, self.tell
        )
        self.store = Store()
        self.store_client = StoreClient(self.store)
        self.members = {}
        self.frontends, self.addresses = {}, {}
        self.ended = []
        self._task_seconds = task_seconds
        self._counts = (members, workers)
        self._connections = connections
        self._limits, self._client_limits = limits or {}, client_limits or {}
        # A network of its own, since ports are free for others while a daemon or worker
        # is down: for connections of this machine, or for another cell.
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._worker_ip, self._member_ip = f"{network}.1", f"{network}.2"
        self._runners = []
        self._record = (self.folder / "workers.log").open("a", buffering=1)
        self.registry = Registry(self.store, self.store_client)
        self.hosts = []
        self._seed = seed
        self._expiry = None
        self.relays = []
        self._session = None

    async def __aenter__(self):
        members, workers = self._counts
        self._session = aiohttp.ClientSession()
        store = await self._serve(make_store_handler(self.store_client))
        approvals = await self._serve(make_approval_handler())
        config = CONFIG | {"Limits": self._client_limits}
        self.store.put(RowKey("op", "", "config"), orjson.dumps(config))
        for index in range(workers):
            await self._add_host(index)
        self._expiry = asyncio.create_task(self.registry.expire_entries())
        for index in range(members):
            self._write_settings(f"m{index}", store, approvals)
            await self.start_member(f"m{index}")
        return self

    async def __aexit__(self, *exception):
        for name in list(self.members):
            await self.end_member(name, signal.SIGKILL)
        self._expiry.cancel()
        for host in self.hosts:
            await host.stop()
        for relay in self.relays:
            await relay.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._session.close()
        self._record.close()

    def tell(self, event):
        """Write what workers saw to `workers.log`, with the time of day."""
        now = datetime.now(UTC).isoformat(timespec="milliseconds")
        self._record.write(f"{now} {event}\n")

    async def start_member(self, name):
        """Start a daemon."""
        metrics_port = self.addresses[name]["metrics"].rpartition(":")[2]
        environment = os.environ | {
            "CACTUSTILLER_NODE_FILE": str(self.folder / f"{name}.toml")
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.members[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cactustiller.fleet.daemon",
                f"--metrics-port={metrics_port}",
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def end_member(self, name, number=signal.SIGTERM):
        """Send a signal to a daemon and wait for its end; return its exit code."""
        process = self.members.pop(name)
        if process.returncode is not None:
            self.ended.append(name)
            return process.returncode
        process.send_signal(number)
        return await process.wait()

    async def lose_power(self, name):
        """End a daemon as if with its machine: its connections stay open for long."""
        until = asyncio.get_running_loop().time() + KILL_SECONDS
        for host in self.hosts:
            host.server.lingers_until = until
        await self.end_member(name, signal.SIGKILL)

    def find_owner(self):
        """Return the name of the daemon in the owner's row, or None."""
        row = self.store.rows.get(RowKey("owner", "cell", "owner"))
        return orjson.loads(row.value)[1].partition("@")[0] if row else None

    async def wait_for_owner(self, seconds=15.0):
        """Wait until an owner answers, and return its name."""
        async with asyncio.timeout(seconds):
            while True:
                owner = self.find_owner()
                if owner in self.members:
                    status, _ = await self.call("GET", "", owner)
                    if status == 200:
                        return owner
                await asyncio.sleep(0.05)

    async def call(self, method, rest, name, content=None):
        """Call a daemon as callers do; return status and body, or None for both."""
        try:
            async with self._session.request(
                method,
                f"http://{self.frontends[name]}{PREFIX}{rest}",
                data=None if content is None else orjson.dumps(content),
                headers={"Host": HOST, "X-Credential": KEY},
                timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            ) as response:
                return response.status, orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None, None

    async def submit(self, job, count=2, names=None, seconds=15.0):
        """Hand a job in, again and again, until a daemon accepts it."""
        body = make_body(count)
        async with asyncio.timeout(seconds):
            while True:
                for name in names or list(self.members):
                    status, _ = await self.call("POST", job, name, body)
                    if status == 200:
                        return
                await asyncio.sleep(0.1)

    async def wait_for_state(self, job, state, seconds=20.0):
        """Wait until some daemon shows a job in a state."""
        async with asyncio.timeout(seconds):
            while True:
                for name in list(self.members):
                    status, content = await self.call("GET", job, name)
                    if status == 200 and content["State"] == state:
                        return
                await asyncio.sleep(0.1)

    async def _serve(self, handle):
        runner, address = await serve(handle)
        self._runners.append(runner)
        return address

    def evacuate_zone(self, zone):
        """Evacuate an availability zone as the operator does."""
        self.store.put(RowKey("op", "", f"evacuate/{zone}"), b"{}")

    def restore_zone(self, zone):
        """Take the evacuation of a zone back."""
        self.store.remove(RowKey("op", "", f"evacuate/{zone}"))

    async def _add_host(self, index):
        generator = random.Random(f"{self._seed} host {index}")
        stop_seconds = generator.uniform(*STOP_SECONDS)

        def make_worker(worker_id, address, clock_zero, on_crash):
            return FleetWorker(
                WorkerInfo(
                    worker_id,
                    address,
                    SERVICE,
                    ZONES[index % len(ZONES)],
                    CAPACITY,
                    ("a", "r0"),
                    born_ms=int(time.time() * 1000),
                ),
                self.audit,
                lambda task: ((1000, 10, 0), self._task_seconds),
                crashes_on=self.deadly_tasks.__contains__,
                on_crash=on_crash,
                clock_zero=clock_zero,
                stop_seconds=stop_seconds,
            )

        name = WorkerId(f"i-{index}")
        host = WorkerHost(name, self._worker_ip, make_worker, self.registry, generator)
        await host.start(self._open_relay)
        self.hosts.append(host)

    async def _open_relay(self, address):
        """Return the address of a relay if the workers limit their connections."""
        if self._connections is None:
            return address
        self.relays.append(FullRelay(address, self._connections))
        return await self.relays[-1].open()

    def _write_settings(self, name, store, approvals):
        ports = _find_free_ports(self._member_ip, len(LISTENERS))
        frontend, ready, peer, _ = ports
        addresses = [f"{self._member_ip}:{port}" for port in ports]
        self.addresses[name] = dict(zip(LISTENERS, addresses, strict=True))
        self.frontends[name] = addresses[0]
        text = NODE.format(
            name=name,
            ip=self._member_ip,
            peer=peer,
            frontend=frontend,
            ready=ready,
            store=store,
            approvals=approvals,
            limits="\n".join(f"{key} = {value}" for key, value in self._limits.items()),
        )
        (self.folder / f"{name}.toml").write_text(text)


def _find_free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()
