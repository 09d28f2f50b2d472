"""Pool of a service's executor slots, each granted to one gateway at a time."""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

import structlog

from cactustiller.model import ErrorCode, Failure, InstanceState
from cactustiller.model.messages import Permit, Permits

from .ballots import CONFIRMED_SECONDS, Ballots
from .fairness import find_fair_share

PERMIT_LIFETIME_SECONDS = 4.0
EXPIRY_MARGIN_SECONDS = 0.5
WAITING_TTL_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 0.5
HOLDER_TTL_SECONDS = 60.0
EPOCH_SHIFT = 44
GENERATION_SHIFT = 32

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class Grant:
    """Slot that a gateway may use; counted until freed, also when not renewed."""

    executor: str
    gateway: str
    renewed_until: float


@dataclass(slots=True)
class Holder:
    """One incarnation of a gateway, as the pool last heard of it."""

    sequence: int = 0
    numbers: set = field(default_factory=set)
    waiting: int = 0
    last_seen_at: float = float("-inf")


@dataclass(slots=True)
class Release:
    """Grants that ended before `ended_before` are freed at `at`."""

    at: float
    expired_before: float


class Pool:
    """Slots of the executors of one service.

    A gateway names all the permits that it holds in each request, which renews
    them; the others of its permits are free. The slots of a gateway that is silent
    are freed only once a majority of gateways follows a newer ballot and whatever
    was confirmed before has run out.

    Parameters
    ----------
    service : ServiceName
    epoch : int
        Epoch of the pool's partition.
    executors : list of BackendInfo
    has_lease : callable
        Returns whether this owner's lease holds now.
    generation : int
        How many pools this process has built before, so that a pool built again
        under its epoch neither repeats numbers nor follows its own old ballots.
    """

    def __init__(self, service, epoch, executors, has_lease, generation=0):
        self.service = service
        self.epoch = epoch
        self.ballots = Ballots(service, epoch, generation)
        self._has_lease = has_lease
        self._executors = {}
        self._grants = {}
        self._used = Counter()
        self._reported_slots = Counter()
        self._is_recovering = False
        self._holders = {}
        self._release = None
        self._longest_ms = 0
        self._first_number = (epoch << EPOCH_SHIFT) + (generation << GENERATION_SHIFT)
        self._next_number = self._first_number
        self._task = None
        self.set_executors(executors)

    def set_executors(self, executors):
        """Take the listed executors; grants of others stay counted."""
        self._executors = {
            info.executor: info for info in executors if info.service == self.service
        }

    def start(self, call_gateways):
        """Begin to confirm the right to grant and to free what silent ones held."""
        self._task = asyncio.create_task(self._run(call_gateways))

    async def stop(self):
        """Stop granting and renewing."""
        self.ballots.supersede()
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def may_grant(self, now):
        """Return whether no other owner can have granted anything by `now`."""
        if self.ballots.is_superseded:
            return False
        return self._has_lease() or now < self.ballots.confirmed_until

    def acquire(self, message):
        """Renew what the gateway holds, then grant up to `count` further slots.

        Parameters
        ----------
        message : AcquirePermits

        Returns
        -------
        Permits or Failure
        """
        # The time comes first: a pause after it only shortens what is granted.
        now = asyncio.get_running_loop().time()
        holder = self._holders.setdefault(message.gateway, Holder())
        refusal = self._find_refusal(message, holder, now)
        if refusal is not None:
            return refusal
        holder.sequence = message.sequence
        holder.last_seen_at = now
        self._longest_ms = max(self._longest_ms, message.longest_ms)
        lost = self._renew(message, holder, now)
        holder.waiting = message.count
        share = self._find_share(now)
        permits = []
        while len(permits) < message.count:
            if share and len(holder.numbers) >= share and self._is_owed(share, now):
                break
            info = self._choose_executor(message)
            if info is None:
                break
            permits.append(self._grant(info, message.gateway, now))
        holder.waiting = message.count - len(permits)
        return Permits(
            permits=permits,
            queued=self._count_waiting(now),
            epoch=self.ballots.current,
            life_ms=int(PERMIT_LIFETIME_SECONDS * 1000),
            share=share if share and self._is_owed(share, now) else 0,
            lost=lost,
        )

    async def recover(self, call_gateways):
        """Learn after a takeover which permits of earlier epochs are held.

        Until every gateway has answered, or what a silent one may hold has run
        out, only slots that were reported by a gateway are granted anew.

        Parameters
        ----------
        call_gateways : callable
            Coroutine function of a message that returns a dict of `MemberId` to
            `Result` of the reply, for every gateway that may hold permits.
        """
        self._is_recovering = True
        unconfirmed = await self._confirm_ballot(call_gateways, True)
        log.info(
            "pool_recovered", service=self.service, epoch=self.epoch, silent=unconfirmed
        )

    async def check(self, call_gateways):
        """Confirm the right to grant, and begin or end the release of slots."""
        now = asyncio.get_running_loop().time()
        self._free_expired_grants(now)
        self._expire_holders(now)
        has_ended = any(grant.renewed_until <= now for grant in self._grants.values())
        must_release = self._release is None and (has_ended or self._is_recovering)
        if self._has_lease() and not must_release:
            return
        if must_release and has_ended:
            self.ballots.start_round()
        await self._confirm_ballot(call_gateways, must_release)

    def count_used(self):
        """Return the number of granted slots by executor."""
        return +self._used

    async def _confirm_ballot(self, call_gateways, must_release):
        """Ask the gateways to follow the ballot; return those that are silent."""
        loop = asyncio.get_running_loop()
        expired_before = loop.time()
        outcome = await self.ballots.confirm(call_gateways)
        now = loop.time()
        for reply in outcome.replies:
            self._longest_ms = max(self._longest_ms, reply.longest_ms)
        if self._is_recovering:
            for reply in outcome.replies:
                holder = self._holders.setdefault(reply.gateway, Holder())
                for permit in reply.permits:
                    self._adopt(permit, reply.gateway, holder, now)
            self._is_recovering = bool(outcome.unconfirmed)
        if must_release and outcome.has_majority:
            # Executors may go on until the deadline of the last request sent.
            seconds = (
                CONFIRMED_SECONDS + PERMIT_LIFETIME_SECONDS + EXPIRY_MARGIN_SECONDS
            )
            seconds += self._longest_ms / 1000
            self._release = Release(now + seconds, expired_before)
        return outcome.unconfirmed

    def _free_expired_grants(self, now):
        if self._release is None or now < self._release.at:
            return
        ended = [
            number
            for number, grant in self._grants.items()
            if grant.renewed_until <= self._release.expired_before
        ]
        for number in ended:
            self._free(number)
        self._is_recovering = False
        self._release = None
        log.info("slots_released", service=self.service, slots=len(ended))

    def _expire_holders(self, now):
        expired = [
            name
            for name, holder in self._holders.items()
            if not holder.numbers and now - holder.last_seen_at > HOLDER_TTL_SECONDS
        ]
        for name in expired:
            del self._holders[name]

    async def _run(self, call_gateways):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            await self.check(call_gateways)

    def _find_refusal(self, message, holder, now):
        if not self.may_grant(now):
            reason = "the owner's lease is not confirmed"
        elif message.sequence <= holder.sequence:
            reason = f"request {message.sequence} was overtaken"
        else:
            return None
        return Failure(
            code=ErrorCode.UNAVAILABLE,
            step=f"grant slots of {self.service}",
            reason=reason,
            retry_after_ms=200,
        )

    def _renew(self, message, holder, now):
        """Renew the held permits, free the others; return the lost numbers."""
        named = {permit.number for permit in message.held}
        for number in holder.numbers - named:
            self._free(number)
        lost = []
        for permit in message.held:
            if permit.number in holder.numbers:
                self._grants[permit.number].renewed_until = _find_expiry(now)
            elif not self._adopt(permit, message.gateway, holder, now):
                lost.append(permit.number)
        return lost

    def _adopt(self, permit, gateway, holder, now):
        """Take over a grant of an earlier owner; return whether it may stand."""
        if permit.number in self._grants or not self._is_recovering:
            return False
        if permit.number >= self._first_number:
            return False
        info = self._executors.get(permit.executor)
        if info is not None and self._reported_slots[permit.executor] >= info.slots:
            return False
        self._reported_slots[permit.executor] += 1
        self._add(permit.number, permit.executor, gateway, now)
        return True

    def _choose_executor(self, message):
        """Return the executor with most free slots, in the zone if one has any."""
        best = None
        best_rank = (False, 0, "")
        for name, info in self._executors.items():
            most = self._reported_slots[name] if self._is_recovering else info.slots
            free = min(most, info.slots) - self._used[name]
            if free <= 0 or info.state is not InstanceState.LIVE:
                continue
            rank = (info.zone == message.zone, free, name)
            if rank > best_rank and name not in message.avoid:
                best, best_rank = info, rank
        return best

    def _grant(self, info, gateway, now):
        self._next_number += 1
        self._add(self._next_number, info.executor, gateway, now)
        return Permit(
            executor=info.executor,
            number=self._next_number,
            epoch=self.ballots.current,
        )

    def _add(self, number, executor, gateway, now):
        self._grants[number] = Grant(executor, gateway, _find_expiry(now))
        self._holders[gateway].numbers.add(number)
        self._used[executor] += 1

    def _free(self, number):
        grant = self._grants.pop(number)
        self._used[grant.executor] -= 1
        self._holders[grant.gateway].numbers.discard(number)

    def _find_share(self, now):
        """Return the most that a gateway may hold, 0 while there is enough."""
        wanted = [
            len(holder.numbers) + self._count_wanted(holder, now)
            for holder in self._holders.values()
        ]
        return find_fair_share(wanted, self._count_slots())

    def _is_owed(self, share, now):
        """Return whether the free slots are all due to gateways below the share."""
        owed = sum(
            max(0, min(share - held, self._count_wanted(holder, now)))
            for holder in self._holders.values()
            if (held := len(holder.numbers)) < share
        )
        return owed > 0 and self._count_slots() - self._used.total() <= owed

    def _count_slots(self):
        return sum(
            info.slots
            for info in self._executors.values()
            if info.state is InstanceState.LIVE
        )

    def _count_wanted(self, holder, now):
        return holder.waiting if now - holder.last_seen_at < WAITING_TTL_SECONDS else 0

    def _count_waiting(self, now):
        return sum(self._count_wanted(holder, now) for holder in self._holders.values())


def _find_expiry(now):
    return now + PERMIT_LIFETIME_SECONDS + EXPIRY_MARGIN_SECONDS
