"""One incarnation of a scheduler, from joining the cell to leaving it."""

import asyncio
import json
from typing import NamedTuple

import structlog

from cactustiller.model import Role
from cactustiller.ownership import (
    Member,
    Metrics,
    OwnershipReconciler,
    SettingsReplica,
    ZoneEvacuations,
    collect_control_counters,
    list_partitions,
)
from cactustiller.ports import InstanceListPort, TablePort, WorkerPort
from cactustiller.ports.records import InstanceListing
from cactustiller.settings import has_path, resolve

from .capacity_stats import export_capacity_stats
from .clock import WallClock
from .dispatch import Dispatcher
from .exchange import Exchange
from .handlers import Handlers
from .partitions import Partitions
from .supervision import watch_task
from .views import CellView

LISTING_INTERVAL_SECONDS = 1.0
FENCE_POLL_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.3
DRAIN_TIMEOUT_SECONDS = 30.0

log = structlog.get_logger(__name__)


class Ports(NamedTuple):
    """Ports to the external systems that a scheduler uses."""

    table: TablePort
    instances: InstanceListPort
    workers: WorkerPort


class Incarnation:
    """Scheduler from joining the cell until it leaves or is fenced.

    Parameters
    ----------
    settings : InstanceSettings
    record : MemberRecord
    ports : Ports
    transport : dict
        Arguments of `Member` that replace the peer connections in tests.
    """

    def __init__(self, settings, record, ports, **transport):
        self._settings = settings
        self._ports = ports
        self._listing = InstanceListing()
        self._drain_requested = asyncio.Event()
        self._failure = None
        self.metrics = Metrics()
        self.member = Member(
            record, ports.table, settings.timing, self._handle, **transport
        )
        self.replica = SettingsReplica(self.member, settings.timing, settings.peers)
        self.evacuations = ZoneEvacuations(self.replica, settings.site, settings.cell)
        self.view = CellView(lambda: self.evacuations.zones)
        self.partitions = Partitions(
            self.member,
            ports.workers,
            settings.timing,
            WallClock(),
            self._on_failure,
            self.evacuations,
        )
        self.dispatcher = Dispatcher(
            self.member,
            self.partitions.homes,
            self.view,
            self.partitions.clock,
            self.find_values,
        )
        self.dispatcher.on_failure = self._on_failure
        self.exchange = Exchange(
            self.member,
            self.partitions.shards,
            self._receive_views,
            self.dispatcher.feed.list_usage,
        )
        self.partitions.wake_dispatcher = self.dispatcher.wake
        self.partitions.wake_exchange = self.exchange.wake
        self.partitions.record_wait = self.metrics.record_wait
        self.partitions.resume_home = self.dispatcher.resume
        self.handlers = Handlers(self)
        self.reconciler = OwnershipReconciler(
            self.member,
            lambda: list_partitions(self._listing),
            self.partitions.release,
            self.partitions.reopen,
            settings.timing.heartbeat_seconds,
        )
        self._tasks = []

    async def run(self, stop):
        """Join the cell and work until fenced, failed or stopped.

        When stopped, hands the partitions over to other schedulers first.
        """
        await self.member.listen()
        try:
            if await self._start(stop):
                await self._work(stop)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self.dispatcher.stop()
            await self.replica.stop()
            await self.partitions.stop()
            await self._stop_member()

    async def _start(self, stop):
        """Join the cell; return False if stopped before that is done."""
        joining = asyncio.create_task(self.member.start())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait({joining, stopping}, return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if not joining.done():
            joining.cancel()
            await asyncio.gather(joining, return_exceptions=True)
            return False
        joining.result()
        return True

    async def _work(self, stop):
        self.evacuations.subscribe(self._on_zone_change)
        await self.replica.start()
        self.member.ownership_changes.subscribe(self.partitions.on_ownership_change)
        self.partitions.on_ownership_change(self.member.ownership)
        await self._refresh_listing()
        self._tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self.reconciler.run(),
                self.dispatcher.run(),
                self.exchange.run_report_loop(),
                self.exchange.run_publish_loop(),
                self.exchange.run_usage_loop(),
                self.partitions.run(),
                self._run_listing_loop(),
            )
        ]
        for task in self._tasks:
            watch_task(task, self._on_failure)
        if await self._wait_for_end(stop):
            await self._drain()

    async def _stop_member(self):
        """Leave the cell if no partition is owned any more, else only stop."""
        member = self.member
        is_drained = member.record.leaving and not member.is_fenced
        if is_drained and not member.ownership.list_owned(member.member):
            await member.leave()
        else:
            await member.stop()

    async def _wait_for_end(self, stop):
        """Wait for a stop, a drain, a fence or a failure; return whether to drain."""
        while not (stop.is_set() or self._drain_requested.is_set()):
            if self.member.is_fenced or self._failure is not None:
                return False
            await asyncio.sleep(FENCE_POLL_SECONDS)
        stop.set()
        return not self.member.is_fenced

    def _on_failure(self, error):
        """End the incarnation after an unexpected exception in a background task."""
        log.error(
            "incarnation_failed",
            reason=f"{type(error).__name__}: {error}",
            exc_info=error,
        )
        self._failure = error

    async def _drain(self):
        """Hand all partitions over, if there are other schedulers to take them."""
        await self.member.mark_leaving()
        self._tasks[0].cancel()
        loop = asyncio.get_running_loop()
        until = loop.time() + DRAIN_TIMEOUT_SECONDS
        while loop.time() < until:
            await self.member.refresh()
            others = [
                record
                for record in self.member.list_members(Role.SCHEDULER)
                if not record.leaving and record.member != self.member.member
            ]
            if not others or await self.reconciler.hand_over_all():
                log.info("scheduler_drained", handed_over=bool(others))
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def request_drain(self):
        """Request a graceful shutdown."""
        self._drain_requested.set()

    def find_values(self, team, queue):
        """Return the `ResolvedValues` of a team's queue, None if unknown.

        They are unknown, for example, after a start during an outage. The team's
        limits are then unknown as well, so none of its tasks may be placed.
        """
        tree = self.replica.tree
        names = (self._settings.site, self._settings.cell, team)
        if tree is None or not has_path(tree, "/".join(names)):
            return None
        if has_path(tree, "/".join((*names, queue))):
            return resolve(tree, *names, queue)
        return resolve(tree, *names)

    def receive_views(self, views):
        """Process digests of workers' capacity from a peer."""
        self._receive_views(views)

    def export_stats(self):
        """Return the member's counters and histograms as JSON text."""
        # Read first, so that the cost of this export is counted in the next one.
        control = collect_control_counters(self.member, self._ports._asdict())
        export = export_capacity_stats(self.partitions, self.find_values)
        counted = self.metrics.export()
        export["gauges"]["evacuated_zones"] = self.evacuations.export()
        export["histograms"] |= counted["histograms"]
        export["counters"] = (
            counted["counters"] | control | {"decisions": self.dispatcher.decisions}
        )
        return json.dumps(export)

    def _receive_views(self, views):
        self.view.receive_views(views)
        self.dispatcher.wake()

    def _on_zone_change(self, evacuated, restored):
        self.view.mark_zones(evacuated | restored)
        self.partitions.update_zones(evacuated, restored)
        self.exchange.publish_soon()
        self.dispatcher.wake()

    async def _handle(self, message, hello):
        return await self.handlers.handle(message, hello)

    async def _run_listing_loop(self):
        while True:
            await asyncio.sleep(LISTING_INTERVAL_SECONDS)
            await self._refresh_listing()

    async def _refresh_listing(self):
        answer = await self._ports.instances.list_instances()
        if answer.is_err():
            log.warning("instances_not_listed", reason=str(answer.unwrap_err()))
            return
        self._listing = answer.unwrap()
        self.view.set_listing(self._listing)
        await self.partitions.set_listing(self._listing)
