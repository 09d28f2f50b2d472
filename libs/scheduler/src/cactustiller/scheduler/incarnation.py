"""One incarnation of a scheduler, from joining the cell to leaving it."""

import asyncio
import json
import time
from typing import NamedTuple

import structlog

from cactustiller.model import Role
from cactustiller.ownership import Claims, Member, SettingsReplica, list_partitions
from cactustiller.platform import InstanceListPort, TablePort, WorkerPort
from cactustiller.platform.records import InstanceListing
from cactustiller.settings import ResolvedValues, has_path, resolve

from .clock import WallClock
from .dispatch import Dispatcher
from .exchange import Exchange
from .handlers import Handlers
from .partitions import Partitions
from .views import CellView

LIST_SECONDS = 1.0
FENCE_POLL_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.3
DRAIN_SECONDS = 30.0

log = structlog.get_logger(__name__)


class Ports(NamedTuple):
    """Outside systems that a scheduler talks to."""

    table: TablePort
    instances: InstanceListPort
    workers: WorkerPort


class Incarnation:
    """Scheduler between joining the cell and leaving or being fenced.

    Parameters
    ----------
    settings : InstanceSettings
    record : MemberRecord
    ports : Ports
    peers : PeerClient, optional
        Replaces the connections to peers in tests.
    """

    def __init__(self, settings, record, ports, peers=None):
        self._settings = settings
        self._ports = ports
        self._listing = InstanceListing()
        self._drain_asked = asyncio.Event()
        self.member = Member(
            record, ports.table, settings.timing, self._handle, peers=peers
        )
        self.replica = SettingsReplica(
            self.member, settings.site, settings.cell, settings.timing
        )
        self.view = CellView()
        self.partitions = Partitions(
            self.member, ports.workers, settings.timing, WallClock(), lambda: None
        )
        self.dispatcher = Dispatcher(
            self.member,
            self.partitions.homes,
            self.view,
            self.partitions.clock,
            self.find_values,
        )
        self.exchange = Exchange(
            self.member,
            self.partitions.shards,
            self._take_views,
            self.dispatcher.feed.list_usage,
        )
        self.partitions.wake_dispatcher = self.dispatcher.wake
        self.partitions.wake_exchange = self.exchange.wake
        self.partitions.resume_home = self.dispatcher.resume
        self.handlers = Handlers(self)
        self.claims = Claims(
            self.member,
            lambda: list_partitions(self._listing),
            self.partitions.release,
            self.partitions.reopen,
            settings.timing.heartbeat_seconds,
        )
        self._tasks = []

    async def run(self, stop):
        """Join, work until fenced or told to stop, then hand over."""
        await self.member.listen()
        try:
            await self._work(stop)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self.dispatcher.stop()
            await self.replica.stop()
            await self.partitions.stop()
            await self.member.stop()

    async def _work(self, stop):
        await self.member.start()
        await self.replica.start()
        self.member.ownership_changes.subscribe(self.partitions.note_ownership)
        self.partitions.note_ownership(self.member.ownership)
        await self._refresh_listing()
        self._tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.claims.run(),
                self.dispatcher.run(),
                self.exchange.report_regularly(),
                self.exchange.publish_regularly(),
                self.exchange.publish_usage_regularly(),
                self.partitions.run(),
                self._list_regularly(),
            )
        ]
        await self._wait_for_end(stop)
        if not self.member.is_fenced:
            await self._drain()

    async def _wait_for_end(self, stop):
        while not (stop.is_set() or self._drain_asked.is_set()):
            if self.member.is_fenced:
                return
            self._raise_failed_task()
            await asyncio.sleep(FENCE_POLL_SECONDS)
        stop.set()

    def _raise_failed_task(self):
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()

    async def _drain(self):
        """Hand every partition over, as far as others can take them."""
        await self.member.mark_leaving()
        self._tasks[0].cancel()
        loop = asyncio.get_running_loop()
        until = loop.time() + DRAIN_SECONDS
        while loop.time() < until:
            await self.member.refresh()
            others = [
                record
                for record in self.member.list_members(Role.SCHEDULER)
                if not record.leaving and record.member != self.member.member
            ]
            if not others or await self.claims.hand_over_all():
                log.info("scheduler_drained", handed_over=bool(others))
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def ask_to_drain(self):
        """Begin a graceful shutdown."""
        self._drain_asked.set()

    def find_values(self, team, queue):
        """Return the `ResolvedValues` of a team's queue; defaults if unknown."""
        tree = self.replica.tree
        names = (self._settings.site, self._settings.cell, team)
        if tree is None:
            return ResolvedValues()
        if has_path(tree, "/".join((*names, queue))):
            return resolve(tree, *names, queue)
        if has_path(tree, "/".join(names)):
            return resolve(tree, *names)
        return ResolvedValues()

    def take_views(self, views):
        """Take digests of workers' capacity."""
        self._take_views(views)

    def export_stats(self):
        """Return the member's counters as JSON text."""
        commits = self.member.committer.counters
        traffic = self.member.traffic
        counters = {
            "decisions": self.dispatcher.decisions,
            "table_transactions": commits.transactions,
            "table_records": commits.records,
            "lost_answers_resolved": commits.lost_answers,
            "peer_sent_bytes": traffic.sent_bytes,
            "peer_received_bytes": traffic.received_bytes,
            "peer_sent_messages": traffic.sent_messages,
            "processor_milliseconds": int(time.process_time() * 1000),
        }
        return json.dumps({"counters": counters, "histograms": {}})

    def _take_views(self, views):
        self.view.take_views(views)
        self.dispatcher.wake()

    async def _handle(self, message, hello):
        return await self.handlers.handle(message, hello)

    async def _list_regularly(self):
        while True:
            await asyncio.sleep(LIST_SECONDS)
            await self._refresh_listing()

    async def _refresh_listing(self):
        answer = await self._ports.instances.list_instances()
        if answer.is_err():
            log.warning("instances_not_listed", reason=str(answer.unwrap_err()))
            return
        self._listing = answer.unwrap()
        self.view.set_listing(self._listing)
        await self.partitions.set_listing(self._listing)
