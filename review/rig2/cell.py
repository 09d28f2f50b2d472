"""The project's daemons on the stand-ins, started by the deploy file's command."""

import asyncio
import os
import random
import signal
import socket
import tomllib
from pathlib import Path

import aiohttp
import orjson

from .executors import Executor, Gangs
from .store import Gate, Store

ROOT = Path(__file__).parents[2]
HOST = "queue.example"
PREFIX = "/batch/"
URGENT_PREFIX = "/urgent/"
KEY = "key-of-the-tenant"
SERVICE = "recon"
CAPACITY = {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 0}
START_SECONDS = 20.0
CALL_SECONDS = 3.0
LATER_STATUSES = (429, 502, 503, 504)
SETTINGS = """
NodeName = "{name}"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "{ip}"
Zone = "z-1"
Region = "r-1"
InternalPorts = [{peer}, {peer}]
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
Orders = "rpc"
Recommendation = ""
[ListenAddrs]
Frontend = "{ip}:{frontend}"
Ready = "{ip}:{ready}"
[Limits]
CpuQuota = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
[Bounds]
GraceS = 6
status_s = 120
[platform]
Address = "{store}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
HistoryS = 20
"""


def make_route(prefix, priority, service=SERVICE, **fields):
    """Return the route of a queue."""
    route = {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST,
        "PathPrefix": prefix,
        "Service": service,
        "Priority": priority,
        "MaxAttempts": 3,
        "SlackFactor": 2.0,
        "TargetLatencyMs": 1000,
    }
    return route | fields


DEFAULT_ROUTES = (make_route(PREFIX, 1), make_route(URGENT_PREFIX, 0))


def make_config(routes):
    """Return a desired state with one tenant."""
    services = sorted({route["Service"] for route in routes})
    return {
        "Version": 1,
        "Routes": list(routes),
        "Services": [{"Name": name, "AdmissionCheck": False} for name in services],
        "Tenants": [{"Name": "tenant", "ApiKeys": [KEY], "Weight": 1000}],
    }


class Cell:
    """Daemons, executors and a store on loopback addresses.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder for settings and logs.
    record : Record
    daemons, executors : int
    routes : list of dict
    other_service : str
        Service of `other_executors` further executors, which are on a rack of their
        own.
    """

    def __init__(
        self,
        folder,
        record,
        daemons=3,
        executors=4,
        routes=DEFAULT_ROUTES,
        other_service="",
        other_executors=0,
    ):
        self.folder, self.record = folder, record
        self.store = Store(record)
        self.gates, self.executors, self.daemons = {}, [], {}
        self._daemon_count = daemons
        self._config = make_config(routes)
        self._places = [(SERVICE, f"r1-{number % 3}") for number in range(executors)]
        self._places += [(other_service, "r1-9")] * other_executors
        self._frontends = {}
        self._session = None
        # A network of its own, so that every daemon has the same fixed ports.
        self._network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"

    async def __aenter__(self):
        gangs = Gangs()
        self._session = aiohttp.ClientSession()
        self.store.put("op", "config", self._config)
        for number, (service, rack) in enumerate(self._places):
            executor = Executor(
                f"i-{random.getrandbits(40):010x}",
                service,
                rack,
                f"{self._network}.{100 + number}",
                self.store,
                self.record,
                CAPACITY,
            )
            executor.gangs = gangs
            await executor.open()
            self.executors.append(executor)
        for number in range(self._daemon_count):
            name = f"frontend-{number + 1}"
            ip = f"{self._network}.{number + 1}"
            gate = self.gates[name] = Gate(self.store, name)
            await gate.open(ip)
            self._write_settings(name, ip, gate.address)
            await self.start_daemon(name)
        await self.wait_for_owner(START_SECONDS)
        return self

    async def __aexit__(self, *exception):
        for name in list(self.daemons):
            await self.end_daemon(name, signal.SIGKILL)
        for executor in self.executors:
            await executor.close()
        for gate in self.gates.values():
            await gate.close()
        await self._session.close()

    async def start_daemon(self, name):
        """Start a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = kept | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CACTUSTILLER_NODE_FILE": str(self.folder / f"{name}.toml"),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.daemons[name] = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(name, "is started")

    def signal_daemon(self, name, number):
        """Send a signal to a daemon."""
        self.record.note(name, f"gets {signal.Signals(number).name}")
        self.daemons[name].send_signal(number)

    async def end_daemon(self, name, number=signal.SIGKILL):
        """End a daemon by a signal and wait for its end."""
        process = self.daemons.pop(name)
        if process.returncode is None:
            process.send_signal(number)
            await process.wait()
        self.record.note(name, f"has ended by {signal.Signals(number).name}")

    def find_owner(self):
        """Return the name of the daemon in the owner's row, or None."""
        record = self.store.read("owner", "owner", "cell")
        return record[1].partition("@")[0] if record else None

    async def wait_for_owner(self, seconds=START_SECONDS):
        """Wait until an owner answers a call; return its name."""
        async with asyncio.timeout(seconds):
            while True:
                name = self.find_owner()
                if name in self.daemons:
                    status, _ = await self.call("GET", "", name, is_noted=False)
                    if status == 200:
                        return name
                await asyncio.sleep(0.05)

    async def call(
        self, method, rest, name, content=None, is_noted=True, prefix=PREFIX
    ):
        """Call a daemon as a client does; return status and content, or None twice."""
        headers = {
            "Host": HOST,
            "X-Credential": KEY,
            "X-Deadline-Ms": str(int(CALL_SECONDS * 1000)),
        }
        status = answer = None
        try:
            async with self._session.request(
                method,
                f"http://{self._frontends[name]}{prefix}{rest}",
                data=None if content is None else orjson.dumps(content),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_SECONDS),
            ) as response:
                answer = orjson.loads(await response.read() or b"{}")
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        if is_noted:
            self.record.note("client", f"{method} {rest} at {name}: {status} {answer}")
        return status, answer

    async def submit(self, job, content, names=None, seconds=15.0, prefix=PREFIX):
        """Hand a job in until it is accepted; return whether it was."""
        names = names or list(self.daemons)
        until = asyncio.get_running_loop().time() + seconds
        for number in range(1000):
            name = names[number % len(names)]
            status, _ = await self.call("POST", job, name, content, prefix=prefix)
            if status == 200:
                return True
            if asyncio.get_running_loop().time() > until:
                break
            await asyncio.sleep(1.0 if status in LATER_STATUSES else 0.1)
        return False

    async def find_state(self, job, seconds=3.0, prefix=PREFIX):
        """Return the state that a daemon shows for a job, or the status."""
        until = asyncio.get_running_loop().time() + seconds
        while True:
            status = None
            for name in list(self.daemons):
                status, answer = await self.call(
                    "GET", job, name, is_noted=False, prefix=prefix
                )
                if status == 200:
                    return answer["State"]
            if asyncio.get_running_loop().time() > until:
                return status
            await asyncio.sleep(0.2)

    def list_starts(self, task):
        """Return ``(time, executor, run)`` of each start of a task, in order."""
        return sorted(
            (at, executor.id, run)
            for executor in self.executors
            for at, name, run, _ in executor.starts
            if name == task
        )

    def list_ends(self, task):
        """Return ``(time, executor, run, how)`` of each end of a task, in order."""
        return sorted(
            (at, executor.id, run, how)
            for executor in self.executors
            for at, name, run, how in executor.ends
            if name == task
        )

    def _write_settings(self, name, ip, store):
        frontend, ready, peer = _find_free_ports(ip, 3)
        self._frontends[name] = f"{ip}:{frontend}"
        text = SETTINGS.format(
            name=name, ip=ip, frontend=frontend, ready=ready, peer=peer, store=store
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
