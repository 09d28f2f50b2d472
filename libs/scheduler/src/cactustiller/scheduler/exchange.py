"""Exchange of run reports and capacity digests with peers."""

import asyncio
import contextlib
from functools import partial

import structlog

from cactustiller.model import Role
from cactustiller.model.messages import PublishWorkers, ReportRuns
from cactustiller.model.supervision import keep_running

REPORT_DELAY_SECONDS = 0.03
REPORT_RETRY_SECONDS = 0.5
PUBLISH_INTERVAL_SECONDS = 0.15
USAGE_INTERVAL_SECONDS = 1.0
FULL_PUBLISH_INTERVAL_SECONDS = 30.0

log = structlog.get_logger(__name__)


class Exchange:
    """Sends reports of runs to their homes, and digests to all schedulers.

    Parameters
    ----------
    member : Member
    shards : dict of PartitionId to Shard
    receive_views : callable
        Called with the list of `WorkerView` of the member's own shards.
    list_usage : callable
        Returns the `PublishUsage` to send, None if nothing changed.
    """

    def __init__(self, member, shards, receive_views, list_usage):
        self._member = member
        self._shards = shards
        self._receive_views = receive_views
        self._list_usage = list_usage
        self._wake = asyncio.Event()
        self._must_publish = asyncio.Event()
        self._known_members = set()
        self._full_published_at = float("-inf")
        self._reporting = set()

    def wake(self):
        """Request that reports are sent soon."""
        self._wake.set()

    def publish_soon(self):
        """Request that digests of changed workers are published without delay."""
        self._must_publish.set()

    async def run_report_loop(self):
        """Send new reports to homes until cancelled."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(REPORT_DELAY_SECONDS)
            self._wake.clear()
            for shard in list(self._shards.values()):
                for home, reports in shard.list_unreported().items():
                    self._begin_report(shard, home, reports)

    async def run_publish_loop(self):
        """Publish digests of changed workers until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PUBLISH_INTERVAL_SECONDS):
                    await self._must_publish.wait()
            self._must_publish.clear()
            await self._publish()

    async def run_usage_loop(self):
        """Publish digests of changed teams until cancelled."""
        full_at = float("-inf")
        known = set()
        while True:
            await asyncio.sleep(USAGE_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            schedulers = self._member.list_members(Role.SCHEDULER)
            names = {record.member for record in schedulers}
            is_full = now - full_at >= FULL_PUBLISH_INTERVAL_SECONDS or bool(
                names - known
            )
            if is_full:
                full_at, known = now, names
            message = self._list_usage(is_full, names)
            if message is not None:
                await self._member.announce(message, schedulers)

    def _begin_report(self, shard, home, reports):
        if (shard.shard, home) in self._reporting:
            return
        self._reporting.add((shard.shard, home))
        run = partial(self._report, shard, home, reports)
        task = asyncio.create_task(keep_running(f"report to {home}", run))
        task.add_done_callback(lambda _: self._reporting.discard((shard.shard, home)))

    async def _report(self, shard, home, reports):
        message = ReportRuns(
            home=home, shard=shard.shard, epoch=shard.epoch, reports=reports
        )
        answer = await self._member.call_owner(home, message)
        if answer.is_err():
            log.info("report_retried", reason=str(answer.unwrap_err()))
            await asyncio.sleep(REPORT_RETRY_SECONDS)
        else:
            shard.mark_reported(reports, set(answer.unwrap().recorded))
        self.wake()

    async def _publish(self):
        now = asyncio.get_running_loop().time()
        schedulers = self._member.list_members(Role.SCHEDULER)
        names = {record.member for record in schedulers}
        is_full = (
            now - self._full_published_at >= FULL_PUBLISH_INTERVAL_SECONDS
            or names - self._known_members
        )
        views = []
        for shard in self._shards.values():
            changed = None if is_full else sorted(shard.changed_workers)
            present = (
                [n for n in changed if n in shard.sessions] if changed else changed
            )
            if changed is None or present:
                views.extend(shard.list_views(present))
            shard.changed_workers.clear()
        if is_full:
            self._full_published_at = now
            self._known_members = names
        if not views:
            return
        self._receive_views(views)
        message = PublishWorkers(
            member=self._member.member, full=bool(is_full), workers=views
        )
        await self._member.announce(message, schedulers)
