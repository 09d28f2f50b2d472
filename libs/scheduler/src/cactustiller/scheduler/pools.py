"""Pool of a service's executor slots, each granted to one gateway at a time."""

import asyncio
from collections import Counter, defaultdict
from typing import NamedTuple

import structlog

from cactustiller.model import InstanceState, MemberId
from cactustiller.model.messages import Permit, Permits, ReportPermits

PERMIT_LIFE_SECONDS = 30.0
MARGIN_SECONDS = 1.0
WAITING_SECONDS = 0.5

log = structlog.get_logger(__name__)


class Grant(NamedTuple):
    """Slot in use by a gateway until a loop time at the latest."""

    gateway: MemberId
    expires_at: float


class Pool:
    """Slots of the executors of one service.

    A slot stays counted until its permit is returned or expires; a permit's life
    covers the longest time that its executor may go on working.

    Parameters
    ----------
    service : ServiceName
    epoch : int
        Epoch of the pool's partition.
    executors : list of BackendInfo
    """

    def __init__(self, service, epoch, executors):
        self.service = service
        self.epoch = epoch
        self._executors = {}
        self._grants = defaultdict(dict)
        self._waiting = {}
        self._closed_until = 0.0
        self._next_number = 0
        self.set_executors(executors)

    def set_executors(self, executors):
        """Take the listed executors; grants of others stay counted."""
        self._executors = {
            info.executor: info for info in executors if info.service == self.service
        }

    def acquire(self, message):
        """Grant up to `count` slots, those of the gateway's zone first.

        Parameters
        ----------
        message : AcquirePermits

        Returns
        -------
        Permits
            `queued` is the number of slots that gateways lately asked for in vain.
        """
        now = asyncio.get_running_loop().time()
        self._expire(now)
        permits = []
        if now >= self._closed_until:
            while len(permits) < message.count:
                info = self._choose(message.zone)
                if info is None:
                    break
                permits.append(self._grant(info, message.gateway, now))
        self._waiting[message.gateway] = (now, message.count - len(permits))
        return Permits(
            permits=permits, queued=self._count_waiting(now), epoch=self.epoch
        )

    def give_back(self, message):
        """Free the slots of returned permits; unknown ones are ignored."""
        for permit in message.permits:
            self._grants[permit.executor].pop((permit.epoch, permit.number), None)
        now = asyncio.get_running_loop().time()
        return Permits(permits=[], queued=self._count_waiting(now), epoch=self.epoch)

    async def recover(self, call_gateways):
        """Learn after a takeover which permits of earlier epochs are held.

        Nothing is granted until every gateway has answered, or every permit of
        one that has not has expired.

        Parameters
        ----------
        call_gateways : callable
            Coroutine function of a message that returns a dict of `MemberId` to
            `Result` of the reply, for every gateway that may hold permits.
        """
        loop = asyncio.get_running_loop()
        self._closed_until = float("inf")
        started = loop.time()
        message = ReportPermits(service=self.service, epoch=self.epoch)
        answers = await call_gateways(message)
        silent = [name for name, answer in answers.items() if answer.is_err()]
        for name, answer in answers.items():
            for permit in answer.unwrap().permits if answer.is_ok() else ():
                expires_at = loop.time() + permit.life_ms / 1000 + MARGIN_SECONDS
                grant = Grant(name, expires_at)
                self._grants[permit.executor][permit.epoch, permit.number] = grant
        wait_seconds = PERMIT_LIFE_SECONDS + MARGIN_SECONDS
        self._closed_until = started + wait_seconds if silent else 0.0
        log.info(
            "pool_recovered", service=self.service, epoch=self.epoch, silent=silent
        )

    def count_used(self):
        """Return the number of granted slots by executor."""
        self._expire(asyncio.get_running_loop().time())
        return Counter(
            {name: len(grants) for name, grants in self._grants.items() if grants}
        )

    def _choose(self, zone):
        """Return the executor with most free slots, in the zone if one has any."""
        free = [
            (info.zone == zone, info.slots - len(self._grants[name]), name)
            for name, info in self._executors.items()
            if info.state is InstanceState.LIVE
        ]
        best = max((entry for entry in free if entry[1] > 0), default=None)
        return self._executors[best[2]] if best else None

    def _grant(self, info, gateway, now):
        self._next_number += 1
        expires_at = now + PERMIT_LIFE_SECONDS + MARGIN_SECONDS
        key = (self.epoch, self._next_number)
        self._grants[info.executor][key] = Grant(gateway, expires_at)
        return Permit(
            executor=info.executor,
            number=self._next_number,
            epoch=self.epoch,
            life_ms=int(PERMIT_LIFE_SECONDS * 1000),
        )

    def _expire(self, now):
        for grants in self._grants.values():
            for key in [
                key for key, grant in grants.items() if grant.expires_at <= now
            ]:
                del grants[key]

    def _count_waiting(self, now):
        return sum(
            count
            for asked_at, count in self._waiting.values()
            if now - asked_at < WAITING_SECONDS
        )
