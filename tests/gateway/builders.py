"""Fakes and builders for tests of the gateway."""

import asyncio

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from result import Err, Ok

from cactustiller.gateway import build_app
from cactustiller.gateway.access import AccessControl
from cactustiller.gateway.context import Gateway
from cactustiller.gateway.deduplication import RequestRecordStore
from cactustiller.gateway.executors import ExecutorDirectory
from cactustiller.gateway.owner_client import OwnerClient
from cactustiller.gateway.routing import RequestRouter
from cactustiller.model import ErrorCode, Failure, MemberRecord, Outcome
from cactustiller.model.messages import (
    AcquirePermits,
    AnnounceOwnership,
    AnnounceSettings,
    Done,
    GetSettings,
    JobList,
    JobView,
    ListJobs,
    SettingsBody,
    SubmitJob,
)
from cactustiller.ownership import (
    OWNERSHIP_KEY,
    Member,
    Metrics,
    Owner,
    Ownership,
    SettingsEditor,
    SettingsReplica,
    ZoneEvacuations,
    list_homes,
    pool_of_service,
)
from cactustiller.ports import BackendInfo, InstanceListing, ReadReply, TransactReply
from cactustiller.ports.records import GotRow, Row, ScanPage
from cactustiller.scheduler.pools import Pool
from cactustiller.settings import TimingSettings, add_key, add_queue, add_team
from cactustiller.settings import create_key as make_key

SERVICE = "prices"
HOME_ADDRESS = "127.0.0.1:1"
LIMITS = {"cpu_millis": 100, "memory_mib": 10, "accelerators": 0}
FAILED = Failure(
    code=ErrorCode.UNAVAILABLE, step="test", reason="down", outcome=Outcome.UNKNOWN
)


class FakeTable:
    """In-memory table service that can be down or lose replies."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.is_down = False
        self.lost_answers = 0

    async def transact(self, write):
        if self.is_down:
            return Err(FAILED)
        conflicts = [
            self._get(check.key)
            for check in write.checks
            if self._get(check.key).version != check.version
        ]
        if conflicts:
            return Ok(TransactReply(committed=False, conflicts=conflicts))
        self.version += 1
        for put in write.puts:
            self.put(put.key, put.value)
        for key in write.deletes:
            self.rows.pop(key, None)
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(FAILED)
        return Ok(TransactReply(committed=True, version=self.version))

    async def read(self, read):
        if self.is_down:
            return Err(FAILED)
        gets = []
        for get in read.gets:
            row = self._get(get.key)
            unchanged = 0 < row.version == get.known_version
            value = None if unchanged else row.value
            gets.append(
                GotRow(
                    key=row.key, version=row.version, value=value, unchanged=unchanged
                )
            )
        scans = [
            ScanPage(
                rows=[
                    self.rows[key]
                    for key in sorted(self.rows)
                    if key.startswith(scan.prefix)
                ]
            )
            for scan in read.scans
        ]
        return Ok(ReadReply(gets=gets, scans=scans))

    def put(self, key, value):
        self.rows[key] = Row(key=key, version=self.version, value=value)

    def _get(self, key):
        return self.rows.get(key, Row(key=key, version=0))


class FakePeers:
    """In-memory peers: message handlers by address."""

    def __init__(self):
        self.handlers = {}
        self.messages = []

    async def call(self, address, message, timeout_seconds=2.0):
        self.messages.append((address, message))
        handler = self.handlers.get(address)
        if handler is None:
            failure = FAILED.with_changes(outcome=Outcome.NOT_RUN, peer=address)
            return Err(failure)
        reply = await handler(message)
        return Err(reply) if isinstance(reply, Failure) else Ok(reply)

    async def close(self):
        return


class FakeScheduler:
    """Scheduler that accepts jobs and owns one pool of slots."""

    def __init__(self):
        self.jobs = {}
        self.submissions = 0
        self.failures = []
        self.pool = None

    async def answer(self, message):
        if isinstance(message, AcquirePermits):
            return self.pool.acquire(message)
        if isinstance(message, SubmitJob):
            return self._submit(message)
        if isinstance(message, AnnounceSettings):
            return SettingsBody(version=message.version)
        if isinstance(message, GetSettings | AnnounceOwnership):
            return Done()
        if isinstance(message, ListJobs):
            return JobList(jobs=[])
        if message.job not in self.jobs:
            return Failure(code=ErrorCode.NOT_FOUND, step="find job", reason="no job")
        return self.jobs[message.job]

    def _submit(self, message):
        self.submissions += 1
        if self.failures:
            failure, is_applied = self.failures.pop(0)
            if is_applied:
                self._store(message)
            return failure
        return self._store(message)

    def _store(self, message):
        view = JobView(job=message.job, spec=message.spec, state="waiting")
        return self.jobs.setdefault(message.job, view)


class FakeExecutor:
    """Backend server that can delay, abort or refuse its next responses."""

    def __init__(self):
        self.requests = []
        self.aborts = 0
        self.refusals = 0
        self.leaving = False
        self.release = asyncio.Event()
        self.release.set()
        self.arrived = asyncio.Event()
        app = web.Application()
        app.add_routes([web.post("/v1/run", self._run)])
        self.server = TestServer(app)

    async def _run(self, request):
        body = await request.read()
        self.requests.append(request.headers["x-request-id"])
        self.arrived.set()
        if self.refusals:
            self.refusals -= 1
            return web.Response(status=503, headers={"x-not-run": "1"})
        await self.release.wait()
        if self.aborts:
            self.aborts -= 1
            request.transport.abort()
        headers = {"x-request-id": request.headers["x-request-id"]}
        if self.leaving:
            headers["x-leaving"] = "1"
        return web.Response(body=body, headers=headers)

    def describe(self, name):
        return BackendInfo(
            executor=name,
            service=SERVICE,
            address=f"127.0.0.1:{self.server.port}",
            zone="a",
            slots=8,
            connections=64,
        )


class FakeInstanceList:
    """In-memory instance list."""

    def __init__(self, backends):
        self.backends = backends

    async def list_instances(self):
        return Ok(InstanceListing(backends=self.backends))


def build_record(name, role="gateway", address=""):
    return MemberRecord(
        member=name,
        role=role,
        instance=name,
        zone="a",
        peer_address=address,
        incarnation="",
    )


def build_submission(**changes):
    return {
        "name": "index",
        "team": "red",
        "queue": "fast",
        "task_count": 2,
        "template": {"resources": LIMITS, "run_seconds": 1.0},
    } | changes


class Cell:
    """Gateway with fake dependencies, the teams red and blue, and a key for each."""

    def __init__(self, timing=None):
        self.timing = timing or TimingSettings(commit_delay_ms=0)
        self.table = FakeTable()
        self.peers = FakePeers()
        self.scheduler = FakeScheduler()
        self.executors = {"x1": FakeExecutor(), "x2": FakeExecutor()}
        self.keys = {}
        self.key_ids = {}

    async def start(self):
        self._write_owners()
        self.peers.handlers[HOME_ADDRESS] = self.scheduler.answer
        for executor in self.executors.values():
            await executor.server.start_server()
        backends = [item.describe(name) for name, item in self.executors.items()]
        self.scheduler.pool = Pool(SERVICE, 1, backends, lambda: True)
        self.gateway = await self._start_gateway(backends)
        await self._add_teams()
        self.server = TestServer(build_app(self.gateway))
        self.client = TestClient(self.server)
        await self.client.start_server()

    async def stop(self):
        for executor in self.executors.values():
            executor.release.set()
        await self.client.close()
        await self.gateway.router.stop()
        await self.gateway.directory.stop()
        await self.gateway.replica.stop()
        await self.gateway.member.stop()
        for executor in self.executors.values():
            await executor.server.close()

    async def call(self, method, path, key="red", json=None, headers=None, data=None):
        headers = {
            "Authorization": f"Bearer {self.keys.get(key, key)}",
            **(headers or {}),
        }
        async with self.client.request(
            method, path, json=json, headers=headers, data=data
        ) as response:
            body = await response.read()
            is_json = response.content_type == "application/json"
            return response, await response.json() if is_json else body

    def _write_owners(self):
        owner = Owner(member="s1", incarnation="", epoch=1)
        partitions = [*list_homes(), pool_of_service(SERVICE)]
        ownership = Ownership(owners=dict.fromkeys(partitions, owner))
        self.table.version = 1
        self.table.put(OWNERSHIP_KEY, ownership.model_dump())
        home = build_record("s1", "scheduler", HOME_ADDRESS)
        self.table.put("member/s1", home.model_dump())

    async def _start_gateway(self, backends):
        member = Member(
            build_record("g1"), self.table, self.timing, None, peers=self.peers
        )
        await member.start()
        replica = SettingsReplica(member, self.timing)
        editor = SettingsEditor(replica, member, "demo", "main")
        await replica.start()
        await editor.create_default()
        evacuations = ZoneEvacuations(replica, "demo", "main")
        directory = ExecutorDirectory(FakeInstanceList(backends), evacuations)
        await directory.start()
        metrics = Metrics()
        return Gateway(
            member=member,
            replica=replica,
            editor=editor,
            access_control=AccessControl(replica, "demo", "main"),
            evacuations=evacuations,
            owner_client=OwnerClient(member),
            directory=directory,
            router=RequestRouter(member, directory, metrics, replica),
            records=RequestRecordStore(member),
            metrics=metrics,
            stop=asyncio.Event(),
        )

    async def _add_teams(self):
        for team in ("red", "blue"):
            await self._change(lambda t, team=team: add_team(t, "demo", "main", team))
            await self._change(
                lambda t, team=team: add_queue(t, "demo", "main", team, "fast")
            )
            await self.add_key(team, team)
        await self.add_key("operator", None, operator=True)

    async def add_key(self, name, team, operator=False):
        record, text = make_key(team, name, operator, 1.0)
        await self._change(lambda tree: add_key(tree, record))
        self.keys[name] = text
        self.key_ids[name] = record.key_id

    async def _change(self, edit):
        return (await self.gateway.editor.change(edit, "test")).unwrap()
