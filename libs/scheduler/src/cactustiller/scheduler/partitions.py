"""Partitions of the cell that a member serves: homes, shards and pools.

The ownership row in the table assigns each partition to a member with an epoch.
"""

import asyncio
import itertools

import structlog

from cactustiller.model import ErrorCode, Failure, Role
from cactustiller.ownership import shard_of_rack
from cactustiller.ownership.partitions import HOME_PREFIX, POOL_PREFIX, SHARD_PREFIX
from cactustiller.ports.records import InstanceListing

from .home import Home
from .pools import Pool
from .shard import Shard
from .supervision import watch_task

RECOVER_RETRY_SECONDS = 0.5
GATEWAY_CALL_TIMEOUT_SECONDS = 1.0

log = structlog.get_logger(__name__)


class Partitions:
    """Starts and stops the partitions of a member as its ownership changes.

    Parameters
    ----------
    member : Member
    worker_port : WorkerPort
    timing : TimingSettings
    clock : WallClock
    on_failure : callable
        Called with an exception that has ended a background task.
    evacuations : ZoneEvacuations

    Attributes
    ----------
    homes, shards, pools : dict of PartitionId to Home, Shard or Pool
    wake_dispatcher, wake_exchange : callable
        Called when there may be tasks to place, or reports to send.
    resume_home : callable
        Called with each recovered home.
    record_wait : callable
        Called at a task's first start with its kind, team, queue and seconds since
        the submission.
    """

    def __init__(self, member, worker_port, timing, clock, on_failure, evacuations):
        self.homes = {}
        self.shards = {}
        self.pools = {}
        self.clock = clock
        self.wake_dispatcher = lambda: None
        self.wake_exchange = lambda: None
        self.resume_home = lambda home: None
        self._on_failure = on_failure
        self.record_wait = lambda kind, team, queue, seconds: None
        self._member = member
        self._worker_port = worker_port
        self._timing = timing
        self._evacuations = evacuations
        self._listing = InstanceListing()
        self._changed = asyncio.Event()
        self._has_listing = asyncio.Event()
        self._home_owners = {}
        self._starting = {}
        self._generations = itertools.count()
        self._released = set()

    def on_ownership_change(self, _ownership):
        """Request an update of the partitions from the ownership row."""
        self._changed.set()

    async def run(self):
        """Start newly owned partitions and stop lost ones until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._stop_lost()
            self._start_gained()
            self._resend_reports_to_new_owners()

    async def stop(self):
        """Stop all partitions."""
        for task in list(self._starting.values()):
            task.cancel()
        await asyncio.gather(*self._starting.values(), return_exceptions=True)
        for group in (self.homes, self.shards, self.pools):
            await asyncio.gather(*(item.stop() for item in group.values()))
            group.clear()

    async def release(self, partition):
        """Stop new work in a partition before its handover."""
        self._released.add(partition)
        item = self.homes.get(partition) or self.shards.get(partition)
        if item is not None:
            await item.release()

    def reopen(self, partition):
        """Resume work in a partition after a failed handover."""
        self._released.discard(partition)
        item = self.homes.get(partition) or self.shards.get(partition)
        if item is not None:
            item.reopen()

    async def set_listing(self, listing):
        """Process the platform's list of workers and executors."""
        self._listing = listing
        self._has_listing.set()
        for shard in list(self.shards.values()):
            await shard.set_workers(self._list_workers(shard.shard))
        for pool in self.pools.values():
            pool.set_executors(listing.backends, self._evacuations.zones)

    def update_zones(self, evacuated, restored):
        """Enforce a change of the evacuated zones.

        Parameters
        ----------
        evacuated, restored : frozenset of str
        """
        for pool in self.pools.values():
            pool.set_executors(self._listing.backends, self._evacuations.zones)
        shards = list(self.shards.values())
        for event, zones in (
            ("zone_evacuated", evacuated),
            ("zone_restored", restored),
        ):
            for zone in sorted(zones):
                workers = sum(shard.update_zones({zone}) for shard in shards)
                self._log_zone(event, zone, workers)

    def find(self, group, partition):
        """Return a partition that this member serves, else None."""
        item = group.get(partition)
        if item is None or partition in self._released:
            return None
        return item

    def refuse(self, partition):
        """Return the `Failure` of a request for a partition that is not served here."""
        owner = self._member.find_owner(partition)
        where = owner.peer_address if owner else "unknown"
        return Failure(
            code=ErrorCode.NOT_OWNER,
            step=f"find {partition}",
            peer=self._member.member,
            reason=f"{partition} is not served here; its owner is {where}",
            retry_after_ms=200,
        )

    async def _stop_lost(self):
        for group in (self.homes, self.shards, self.pools):
            for partition, item in list(group.items()):
                if self._is_current(partition, item.epoch):
                    continue
                del group[partition]
                self._released.discard(partition)
                await item.stop()
                log.info("partition_stopped", partition=partition, epoch=item.epoch)
        for (partition, epoch), task in list(self._starting.items()):
            if not self._is_current(partition, epoch):
                task.cancel()

    def _is_current(self, partition, epoch):
        member = self._member
        return member.owns(partition) and member.epoch_of(partition) == epoch

    def _start_gained(self):
        member = self._member
        for partition in member.ownership.list_owned(member.member):
            epoch = member.epoch_of(partition)
            key = (partition, epoch)
            is_served = any(
                partition in group and group[partition].epoch == epoch
                for group in (self.homes, self.shards, self.pools)
            )
            if is_served or key in self._starting or not member.owns(partition):
                continue
            task = asyncio.create_task(self._start(partition, epoch))
            watch_task(task, self._on_failure)
            self._starting[key] = task
            task.add_done_callback(lambda _, key=key: self._starting.pop(key, None))

    async def _start(self, partition, epoch):
        if partition.startswith(HOME_PREFIX):
            await self._start_home(partition, epoch)
        elif partition.startswith(SHARD_PREFIX):
            await self._start_shard(partition, epoch)
        elif partition.startswith(POOL_PREFIX):
            await self._start_pool(partition, epoch)

    async def _start_home(self, partition, epoch):
        home = Home(partition, epoch, self._member, self.clock, self.wake_dispatcher)
        home.on_failure = self._on_failure
        home.record_wait = self.record_wait
        while not await home.recover():
            await asyncio.sleep(RECOVER_RETRY_SECONDS)
        self.homes[partition] = home
        self.resume_home(home)

    async def _start_shard(self, partition, epoch):
        shard = Shard(
            partition,
            epoch,
            self._member,
            self._worker_port,
            self._timing,
            self._evacuations,
        )
        shard.on_change = self.wake_exchange
        shard.on_failure = self._on_failure
        await self._evacuations.refresh()
        # Without a list all workers would be treated as removed.
        await self._has_listing.wait()
        while not await shard.recover():
            await asyncio.sleep(RECOVER_RETRY_SECONDS)
        self.shards[partition] = shard
        await shard.set_workers(self._list_workers(partition))
        for zone in sorted(self._evacuations.zones):
            workers = shard.update_zones({zone})
            if workers:
                self._log_zone("zone_evacuated", zone, workers)

    async def _start_pool(self, partition, epoch):
        def has_lease():
            return self._member.has_lease() and self._is_current(partition, epoch)

        # Every gateway that may hold permits joined before the takeover, so this
        # refresh makes the list of gateways to ask complete.
        while not await self._member.refresh():
            await asyncio.sleep(RECOVER_RETRY_SECONDS)
        await self._evacuations.refresh()
        service = partition.removeprefix(POOL_PREFIX)
        generation = next(self._generations)
        pool = Pool(service, epoch, self._listing.backends, has_lease, generation)
        await pool.recover(self._call_gateways)
        pool.set_executors(self._listing.backends, self._evacuations.zones)
        pool.start(self._call_gateways)
        self.pools[partition] = pool

    def _log_zone(self, event, zone, workers):
        log.info(event, zone=zone, version=self._evacuations.version, workers=workers)

    async def _call_gateways(self, message):
        records = self._member.list_members(Role.GATEWAY)
        answers = await asyncio.gather(
            *(
                self._member.peers.call(
                    record.peer_address, message, GATEWAY_CALL_TIMEOUT_SECONDS
                )
                for record in records
            )
        )
        names = [record.member for record in records]
        return dict(zip(names, answers, strict=True))

    def _list_workers(self, partition):
        return {
            info.worker: info
            for info in self._listing.workers
            if shard_of_rack(info.rack) == partition
        }

    def _resend_reports_to_new_owners(self):
        owners = {
            partition: (owner.member, owner.epoch)
            for partition, owner in self._member.ownership.owners.items()
            if partition.startswith(HOME_PREFIX)
        }
        for home, owner in owners.items():
            if self._home_owners.get(home) != owner:
                for shard in self.shards.values():
                    shard.resend_reports(home)
        self._home_owners = owners
