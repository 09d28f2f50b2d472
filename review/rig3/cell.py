"""Daemons of the project as processes, on stand-ins of the platform in this one."""

import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web
from orjson import dumps, loads

from .executors import Fleet
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
# The command of `deploy/system.toml`.
COMMAND = ("-m", "cactustiller.fleet.daemon")
HOST = "nony24.example"
PREFIX = "/lohu930/"
KEY = "key-of-the-tenant"
SERVICE = "basket-recon"
CAPACITY = {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 0}
CALL_SECONDS = 3.0
# Exit codes that no error of the interpreter has; `run.sh` maps them.
HELD, BROKEN, NOT_RUN = 10, 11, 12

NODE = """
NodeName = "{name}"
Role = "entry"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
InternalPorts = [7420,7435]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Orders = "rpc"
[Zones]
z0 = "r"
z1 = "r"
z2 = "r"
[ListenAddrs]
Frontend = "{ip}:8183"
Ready = "{ip}:8184"
[Limits]
CpuQuota = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 3000
GraceS = 6
HoldMaxMs = 10000
StopMs = 200
GangMs = 3000
status_s = 120
[platform]
Address = "{store}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
CrossShard = false
HistoryS = 20
"""


class Job:
    """A job of a client, as sent.

    Parameters
    ----------
    job_id : str
        16 hexadecimal digits.
    steps : list of dict
    work_ms : float or callable
        Work of each task; or takes the name of a task and returns its work.
    describe_end : callable
        Name of a task and number of its run to how the run ends, by itself.
    """

    def __init__(self, job_id, steps, work_ms, describe_end=lambda task, run: "done"):
        self.id = job_id
        self.body = {"Spec": "text", "Steps": steps}
        self.work_ms = work_ms
        self.describe_end = describe_end
        self.answers = []


class Cell:
    """Daemons, executors, the store and clients of one small installation.

    Parameters
    ----------
    folder : Path
        Folder of the case, for its record.
    members, executors : int
    cap : dict
        Limit of the tenant.

    Attributes
    ----------
    jobs : dict of str to Job
    members : dict of str to Process
    """

    def __init__(self, folder, members=3, executors=8, cap=None, max_attempts=3):
        self._began_at = time.monotonic()
        self._record = (Path(folder) / "record.txt").open("w")
        self._temporary = Path(tempfile.mkdtemp(prefix="cell-"))
        self.store = Store(self.tell)
        self.fleet = Fleet(self.store, self.tell, self._describe)
        self.jobs, self.members = {}, {}
        self._counts = (members, executors)
        self._session = self._runner = None
        self._store_address = ""
        # Addresses of this machine that nothing else uses; the ports are fixed.
        self._network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._config = {
            "Version": 7,
            "Routes": [
                {
                    "Name": "r-1",
                    "Host": HOST,
                    "PathPrefix": PREFIX,
                    "Service": SERVICE,
                    "Priority": 1,
                    "MaxAttempts": max_attempts,
                    "SlackFactor": 2.5,
                    "TargetLatencyMs": 1000,
                }
            ],
            "Services": [{"Name": SERVICE, "AdmissionCheck": False}],
            "Limits": {},
            "Tenants": [
                {"Name": "t-1", "ApiKeys": [KEY], "Weight": 100, "Cap": cap or {}}
            ],
        }

    def tell(self, text):
        """Write a line to the record."""
        seconds = time.monotonic() - self._began_at
        self._record.write(f"{seconds:8.3f} {text}\n")

    async def __aenter__(self):
        members, executors = self._counts
        self._session = aiohttp.ClientSession()
        server = web.Server(self.store.handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, f"{self._network}.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self._store_address = f"{self._network}.1:{port}"
        self.store.put("op", "config", dumps(self._config))
        await self.fleet.start(f"{self._network}.2", executors, CAPACITY, SERVICE)
        for index in range(members):
            await self.start_member(f"m{index}", index)
        return self

    async def __aexit__(self, *error):
        for name in list(self.members):
            await self.end_member(name, signal.SIGKILL)
        await self.fleet.stop()
        await self._runner.cleanup()
        await self._session.close()
        self._record.close()
        shutil.rmtree(self._temporary, ignore_errors=True)

    async def add_foreign_executor(self, service, fence):
        """Let an executor of another system register itself."""
        await self.fleet.add_foreign(f"{self._network}.3", CAPACITY, service, fence)

    async def start_member(self, name, index):
        """Start a daemon."""
        ip = f"{self._network}.{10 + index}"
        path = self._temporary / f"{name}.toml"
        text = NODE.format(
            name=name, ip=ip, zone=f"z{index % 3}", store=self._store_address
        )
        path.write_text(text)
        keys = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in keys if key in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CACTUSTILLER_NODE_FILE": str(path),
        }
        log = (self._temporary / f"{name}.log").open("ab")
        self.members[name] = await asyncio.create_subprocess_exec(
            sys.executable, *COMMAND, env=environment, cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    async def end_member(self, name, number):
        """Send a signal to a daemon and wait for its end."""
        process = self.members.pop(name)
        if process.returncode is None:
            process.send_signal(number)
            await process.wait()

    def read_log(self, name):
        """Return the lines that a daemon has written."""
        return (self._temporary / f"{name}.log").read_text().splitlines()

    def find_owner(self):
        """Return the epoch and the name of the daemon that owns the cell, or None."""
        value = self.store.read_value("owner", "cell", "owner")
        if value is None:
            return None
        fields = loads(value)
        return fields[0], fields[1].partition("@")[0]

    async def call(self, method, rest, name, body=None, seconds=CALL_SECONDS):
        """Make one call of a client; return its status and content, None without."""
        index = int(name[1:])
        headers = {
            "Host": HOST,
            "X-Credential": KEY,
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(int(seconds * 1000)),
        }
        try:
            async with self._session.request(
                method,
                f"http://{self._network}.{10 + index}:8183{PREFIX}{rest}",
                data=None if body is None else dumps(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=seconds),
            ) as response:
                content = await response.read()
                return response.status, loads(content) if content else {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None, None

    async def wait_until_ready(self, seconds=20.0):
        """Wait until every daemon answers and one owns the cell."""
        async with asyncio.timeout(seconds):
            for name in self.members:
                while (await self.call("GET", "", name))[0] != 200:
                    await asyncio.sleep(0.1)

    async def submit(self, job, names=None, seconds=12.0, tries=None):
        """Hand a job in, at one daemon after another; return whether it is accepted."""
        self.jobs[job.id] = job
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        number = 0
        while loop.time() < until and (tries is None or number < tries):
            known = names or list(self.members)
            name = known[number % len(known)]
            number += 1
            status, _ = await self.call("POST", job.id, name, job.body)
            job.answers.append(status)
            self.tell(f"client: POST {job.id} at {name}: {status}")
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(1.0 if status in (429, 503) else 0.1)
        return False

    async def cancel(self, job, name):
        """Cancel a job; return the status of the answer."""
        status, _ = await self.call("DELETE", job.id, name)
        self.tell(f"client: DELETE {job.id} at {name}: {status}")
        return status

    async def find_state(self, job):
        """Return the state of a job that some daemon shows, else None."""
        for name in list(self.members):
            status, content = await self.call("GET", job.id, name, seconds=2.0)
            if status == 200:
                return content["State"]
        return None

    async def wait_for_state(self, job, state, seconds):
        """Return whether a job is shown in a state in time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        shown = None
        while loop.time() < until:
            found = await self.find_state(job)
            if found != shown:
                shown = found
                self.tell(f"client: GET {job.id}: {found}")
            if found == state:
                return True
            await asyncio.sleep(0.2)
        return False

    def _describe(self, task, run):
        job = self.jobs.get(task.partition(".")[0])
        if job is None:
            return None
        step = job.body["Steps"][int(task.split(".")[2])]
        work_ms = job.work_ms(task) if callable(job.work_ms) else job.work_ms
        return step, work_ms, job.describe_end(task, run)


def has_trouble():
    """Return whether the case shall bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play):
    """Run a case and end this process with its result.

    Parameters
    ----------
    play : callable
        Coroutine function that returns `HELD`, `BROKEN` or `NOT_RUN`.
    """
    try:
        result = asyncio.run(_limit(play))
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
        result = NOT_RUN
    sys.exit(result)


async def _limit(play):
    # Ends the daemons if the case itself is ended.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(110.0):
            return await play()
    except asyncio.CancelledError:
        return NOT_RUN
