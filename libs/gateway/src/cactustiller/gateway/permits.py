"""Permits of a gateway to use slots of a service's executors."""

import asyncio
import random
from collections import deque
from typing import NamedTuple

import structlog

from cactustiller.model import ErrorCode
from cactustiller.model.messages import (
    AcquirePermits,
    HeldPermits,
    Permit,
    Permits,
    ReturnPermits,
)
from cactustiller.ownership import pool_of_service

from .errors import refuse

PERMITS_AHEAD = 2
IDLE_SECONDS = 1.0
REFRESH_SECONDS = 10.0
SWEEP_SECONDS = 0.25
FIRST_PAUSE_SECONDS = 0.01
LONGEST_PAUSE_SECONDS = 0.1
CALL_SECONDS = 1.0
RETRY_AFTER_MS = 1000

log = structlog.get_logger(__name__)


class OwnedPermit(NamedTuple):
    """Permit with the loop times of its request, return and end."""

    permit: Permit
    requested_at: float
    idle_since: float
    expires_at: float


class PermitStore:
    """Permits of one service: acquired ahead of need, reused, returned.

    Parameters
    ----------
    service : ServiceName
    member : Member
    is_usable : callable
        Returns whether an executor may be given new requests.
    seed : int
        Seed of the back-off's jitter.
    """

    def __init__(self, service, member, is_usable, seed=0):
        self._service = service
        self._member = member
        self._is_usable = is_usable
        self._random = random.Random(seed)
        self._idle = deque()
        self._in_use = {}
        self._waiters = deque()
        self._epoch = 0
        self._wake = asyncio.Event()
        self._tasks = []

    @property
    def waiting(self):
        """Requests that wait for a permit."""
        return len(self._waiters)

    def start(self):
        """Begin to acquire and return permits."""
        self._tasks = [
            asyncio.create_task(self._fill()),
            asyncio.create_task(self._sweep_regularly()),
        ]

    async def stop(self):
        """Stop and return every permit that is not in use."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._give_back(list(self._idle))
        self._idle.clear()

    async def take(self, seconds, max_waiting, excluded=()):
        """Return an `OwnedPermit` that lasts for `seconds`.

        Raises
        ------
        FailureError
            If too many requests wait or none is free in time; not run.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        owned = self._take_idle(deadline, excluded)
        if owned is not None:
            self._wake.set()
            return owned
        if self.waiting >= max_waiting:
            reason = f"{self.waiting} requests for {self._service} wait already"
            raise self._refuse(reason)
        waiter = (loop.create_future(), deadline, excluded)
        self._waiters.append(waiter)
        self._wake.set()
        try:
            async with asyncio.timeout_at(deadline):
                return await waiter[0]
        except TimeoutError:
            raise self._refuse("no slot became free in time") from None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def put(self, owned):
        """Take a permit back whose slot is free again."""
        if self._in_use.pop(_identify(owned.permit), None) is None:
            return
        now = asyncio.get_running_loop().time()
        self._offer(owned._replace(idle_since=now))

    def abandon(self, owned):
        """Let a permit expire, since its slot may still be in use."""
        # It stays in `_in_use`, so that a new owner of the pool hears of it.
        log.info("permit_abandoned", executor=owned.permit.executor)

    def list_candidates(self):
        """Return the executors of the idle permits, sorted."""
        return sorted({owned.permit.executor for owned in self._idle})

    def report(self, epoch):
        """Return the permits held to a new owner of the pool."""
        self._epoch = max(self._epoch, epoch)
        now = asyncio.get_running_loop().time()
        held = [
            owned.permit.with_changes(life_ms=int((owned.expires_at - now) * 1000))
            for owned in (*self._idle, *self._in_use.values())
            if owned.expires_at > now
        ]
        return HeldPermits(permits=held, queued=self.waiting, epoch=self._epoch)

    def _take_idle(self, deadline, excluded):
        for _ in range(len(self._idle)):
            owned = self._idle.pop()
            if self._suits(owned, deadline, excluded):
                return self._use(owned)
            self._idle.appendleft(owned)
        return None

    def _suits(self, owned, deadline, excluded):
        executor = owned.permit.executor
        return (
            owned.expires_at > deadline
            and executor not in excluded
            and self._is_usable(executor)
        )

    def _use(self, owned):
        self._in_use[_identify(owned.permit)] = owned
        return owned

    def _offer(self, owned):
        """Give a permit to the first request that it suits, else keep it."""
        for waiter in self._waiters:
            future, deadline, excluded = waiter
            if not future.done() and self._suits(owned, deadline, excluded):
                self._waiters.remove(waiter)
                future.set_result(self._use(owned))
                return
        self._idle.append(owned)

    async def _fill(self):
        pause = FIRST_PAUSE_SECONDS
        while True:
            await self._wake.wait()
            self._wake.clear()
            granted = True
            while self._count_missing() > 0:
                granted = await self._acquire(self._count_missing())
                if granted:
                    pause = FIRST_PAUSE_SECONDS
                    continue
                if not self._waiters:
                    break
                await asyncio.sleep(self._random.uniform(pause / 2, pause))
                pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    def _count_missing(self):
        return self.waiting + PERMITS_AHEAD - len(self._idle)

    async def _acquire(self, count):
        """Ask the owner for permits; return whether it granted any."""
        record = self._member.record
        message = AcquirePermits(
            service=self._service,
            count=count,
            zone=record.zone,
            gateway=record.member,
        )
        requested_at = asyncio.get_running_loop().time()
        partition = pool_of_service(self._service)
        answer = await self._member.call_owner(partition, message, CALL_SECONDS)
        if answer.is_err():
            log.warning("permits_not_acquired", reason=str(answer.unwrap_err()))
            await self._member.refresh()
            return False
        reply = answer.unwrap()
        if not isinstance(reply, Permits) or reply.epoch < self._epoch:
            log.warning("permits_ignored", service=self._service, epoch=self._epoch)
            return False
        self._epoch = reply.epoch
        for permit in reply.permits:
            expires_at = requested_at + permit.life_ms / 1000
            now = asyncio.get_running_loop().time()
            self._offer(OwnedPermit(permit, requested_at, now, expires_at))
        return bool(reply.permits)

    async def _sweep_regularly(self):
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            await self._sweep()

    async def _sweep(self):
        """Return idle permits that are unused, old or of a leaving executor."""
        now = asyncio.get_running_loop().time()
        surplus = [owned for owned in self._idle if self._is_surplus(owned, now)]
        for owned in surplus:
            self._idle.remove(owned)
        expired = [key for key, held in self._in_use.items() if held.expires_at <= now]
        for key in expired:
            del self._in_use[key]
        await self._give_back([owned for owned in surplus if owned.expires_at > now])

    def _is_surplus(self, owned, now):
        return (
            now - owned.idle_since > IDLE_SECONDS
            or now - owned.requested_at > REFRESH_SECONDS
            or not self._is_usable(owned.permit.executor)
        )

    async def _give_back(self, surplus):
        if not surplus:
            return
        message = ReturnPermits(
            service=self._service,
            permits=[owned.permit for owned in surplus],
            gateway=self._member.record.member,
        )
        partition = pool_of_service(self._service)
        answer = await self._member.call_owner(partition, message, CALL_SECONDS)
        if answer.is_err():
            # They count as used at the owner until they expire.
            log.info("permits_not_returned", reason=str(answer.unwrap_err()))

    def _refuse(self, reason):
        return refuse(
            ErrorCode.OVERLOADED,
            f"wait for a slot of {self._service}",
            reason,
            retry_after_ms=RETRY_AFTER_MS,
        )


def _identify(permit):
    return permit.executor, permit.number, permit.epoch
