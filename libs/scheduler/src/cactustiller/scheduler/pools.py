"""Pool: partition that grants the executor slots of one service to gateways.

An executor is a backend server with a number of slots. A permit grants one slot to
one gateway for a limited time, under a number that is never reused. One member at a
time owns a pool, as its leader, elected by lease and fencing token; the pool's epoch
grows with each change of owner.
"""

import asyncio
from collections import Counter
from functools import partial

import structlog

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import Permit, Permits
from cactustiller.model.supervision import keep_running

from .ballots import CONFIRMED_SECONDS, Ballots
from .executor_slots import ExecutorSlots
from .fairness import find_fair_share
from .grants import (
    EXPIRY_MARGIN_SECONDS,
    PERMIT_LIFETIME_SECONDS,
    Grant,
    Holder,
    Release,
    find_expiry,
    find_first_number,
)

CHECK_INTERVAL_SECONDS = 0.5
HOLDER_TTL_SECONDS = 60.0

log = structlog.get_logger(__name__)


class Pool:
    """Slots of the executors of one service.

    Each request of a gateway lists all permits that it holds. The pool renews these
    and frees the gateway's other permits. The slots of a gateway that stops sending
    requests are freed only after a majority of the gateways has confirmed a newer
    ballot and everything allowed under earlier ballots has expired.

    Parameters
    ----------
    service : ServiceName
    epoch : int
        Epoch of the pool's partition.
    executors : list of BackendInfo
    has_lease : callable
        Returns whether this owner's lease is valid now.
    generation : int
        Number of pools that this process created before. A pool that is created
        again under the same epoch thus reuses neither permit numbers nor ballots.
    """

    def __init__(self, service, epoch, executors, has_lease, generation=0):
        self.service = service
        self.epoch = epoch
        self.ballots = Ballots(service, epoch, generation)
        self._has_lease = has_lease
        self._executors = ExecutorSlots(service)
        self._grants = {}
        self._used = Counter()
        self._reported_slots = Counter()
        self._is_recovering = False
        self._has_silent_gateways = False
        self._busy_until = float("-inf")
        self._holders = {}
        self._release = None
        self._longest_ms = 0
        self._limit_ms = 0
        self._first_number = find_first_number(epoch, generation)
        self._next_number = self._first_number
        self._task = None
        self.set_executors(executors)

    def set_executors(self, executors, evacuated_zones=frozenset()):
        """Set the listed executors; grants on unlisted ones still count as used.

        Slots in evacuated zones are not granted, and count neither as slots nor as
        used ones when the slots are shared out.
        """
        self._executors.set_listing(executors, evacuated_zones)

    def start(self, call_gateways):
        """Start the task that confirms ballots and frees expired grants."""
        step = f"check pool {self.service}"
        run = partial(self._run, call_gateways)
        self._task = asyncio.create_task(keep_running(step, run))

    async def stop(self):
        """Stop granting and renewing permits."""
        self.ballots.supersede()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def may_grant(self, now):
        """Return whether no newer owner can have granted slots by `now`."""
        if self.ballots.is_superseded:
            return False
        return self._has_lease() or now < self.ballots.confirmed_until

    def acquire(self, message):
        """Renew the permits of a gateway, then grant up to `count` more slots.

        Parameters
        ----------
        message : AcquirePermits

        Returns
        -------
        Permits or Failure
        """
        # Read first, since a pause of the process then only shortens the permits.
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
            if (
                share
                and self._count_held(holder) >= share
                and self._are_free_slots_owed(share, now)
            ):
                break
            info = self._executors.choose(message.zone, message.avoid, self._count_free)
            if info is None:
                break
            permits.append(self._grant(info, message.gateway, now))
        holder.waiting = message.count - len(permits)
        return Permits(
            permits=permits,
            queued=self._sum_unmet_demand(now),
            epoch=self.ballots.current,
            life_ms=int(PERMIT_LIFETIME_SECONDS * 1000),
            share=share if share and self._are_free_slots_owed(share, now) else 0,
            lost=lost,
        )

    async def recover(self, call_gateways):
        """Collect the permits of earlier epochs from the gateways after a takeover.

        The pool grants only slots that gateways have reported until every gateway has
        answered, or until the permits of the others have expired. A gateway that was
        restarted cannot report the requests of its previous process; the pool also
        waits until the executors have finished these.

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
        """Confirm the ballot if needed; schedule or perform the release of slots."""
        now = asyncio.get_running_loop().time()
        self._free_expired_grants(now)
        if not self._has_silent_gateways and now >= self._busy_until:
            self._is_recovering = False
        self._expire_holders(now)
        has_expired = any(grant.renewed_until <= now for grant in self._grants.values())
        must_release = self._release is None and (has_expired or self._is_recovering)
        if self._has_lease() and not must_release:
            return
        if must_release and has_expired:
            self.ballots.start_round()
        await self._confirm_ballot(call_gateways, must_release)

    def count_used(self):
        """Return the number of used slots by executor."""
        return +self._used

    async def _confirm_ballot(self, call_gateways, must_release):
        """Ask the gateways to confirm the ballot; return those that did not."""
        loop = asyncio.get_running_loop()
        expired_before = loop.time()
        outcome = await self.ballots.confirm(call_gateways)
        now = loop.time()
        for reply in outcome.replies:
            self._longest_ms = max(self._longest_ms, reply.longest_ms)
        if self._is_recovering:
            for reply in outcome.replies:
                self._limit_ms = max(self._limit_ms, reply.limit_ms)
                if reply.previous_busy_ms:
                    busy_seconds = reply.previous_busy_ms / 1000 + EXPIRY_MARGIN_SECONDS
                    self._busy_until = max(self._busy_until, now + busy_seconds)
                holder = self._holders.setdefault(reply.gateway, Holder())
                for permit in reply.permits:
                    self._adopt(permit, reply.gateway, holder, now)
            self._has_silent_gateways = bool(outcome.unconfirmed)
            self._is_recovering = self._has_silent_gateways or now < self._busy_until
        if must_release and outcome.has_majority:
            # Executors may work until the deadline of the last request sent to them.
            seconds = CONFIRMED_SECONDS + PERMIT_LIFETIME_SECONDS
            # Only the previous owner knew the longest deadline of a silent gateway.
            limit_ms = self._limit_ms if self._is_recovering else 0
            seconds += EXPIRY_MARGIN_SECONDS + max(self._longest_ms, limit_ms) / 1000
            self._release = Release(now + seconds, expired_before)
        return outcome.unconfirmed

    def _free_expired_grants(self, now):
        if self._release is None or now < self._release.at:
            return
        expired = [
            number
            for number, grant in self._grants.items()
            if grant.renewed_until <= self._release.expired_before
        ]
        for number in expired:
            self._free_grant(number)
        self._has_silent_gateways = False
        self._is_recovering = now < self._busy_until
        self._release = None
        log.info("slots_released", service=self.service, slots=len(expired))

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
            reason = f"request {message.sequence} arrived after a later one"
        else:
            return None
        return Failure(
            code=ErrorCode.UNAVAILABLE,
            step=f"grant slots of {self.service}",
            reason=reason,
            retry_after_ms=200,
        )

    def _renew(self, message, holder, now):
        """Renew the permits listed in a request and free the gateway's others.

        Returns the numbers of the listed permits that are no longer valid.
        """
        named = {permit.number for permit in message.held}
        for number in holder.numbers - named:
            self._free_grant(number)
        lost = []
        for permit in message.held:
            if permit.number in holder.numbers:
                self._grants[permit.number].renewed_until = find_expiry(now)
            elif not self._adopt(permit, message.gateway, holder, now):
                lost.append(permit.number)
        return lost

    def _adopt(self, permit, gateway, holder, now):
        """Accept a permit of an earlier owner; return whether it remains valid."""
        if permit.number in self._grants or not self._is_recovering:
            return False
        if permit.number >= self._first_number:
            return False
        info = self._executors.infos.get(permit.executor)
        if info is not None and self._reported_slots[permit.executor] >= info.slots:
            return False
        self._reported_slots[permit.executor] += 1
        self._add_grant(permit.number, permit.executor, gateway, now)
        return True

    def _count_free(self, info):
        reported = self._reported_slots[info.executor]
        most = reported if self._is_recovering else info.slots
        return min(most, info.slots) - self._used[info.executor]

    def _grant(self, info, gateway, now):
        self._next_number += 1
        self._add_grant(self._next_number, info.executor, gateway, now)
        return Permit(
            executor=info.executor,
            number=self._next_number,
            epoch=self.ballots.current,
        )

    def _add_grant(self, number, executor, gateway, now):
        self._grants[number] = Grant(executor, gateway, find_expiry(now))
        self._holders[gateway].numbers.add(number)
        self._used[executor] += 1

    def _free_grant(self, number):
        grant = self._grants.pop(number)
        self._used[grant.executor] -= 1
        self._holders[grant.gateway].numbers.discard(number)

    def _find_share(self, now):
        """Return the fair share of a gateway, 0 while the slots suffice for all."""
        wanted = [
            self._count_held(holder) + holder.get_unmet_demand(now)
            for holder in self._holders.values()
        ]
        return find_fair_share(wanted, self._executors.count_slots())

    def _are_free_slots_owed(self, share, now):
        """Return whether gateways below the share need all of the free slots."""
        owed = sum(
            max(0, min(share - held, holder.get_unmet_demand(now)))
            for holder in self._holders.values()
            if (held := self._count_held(holder)) < share
        )
        evacuated = self._executors.evacuated
        used = self._used.total() - sum(self._used[name] for name in evacuated)
        return owed > 0 and self._executors.count_slots() - used <= owed

    def _count_held(self, holder):
        """Return the number of a gateway's permits outside evacuated zones."""
        evacuated = self._executors.evacuated
        if not evacuated:
            return len(holder.numbers)
        return sum(self._grants[n].executor not in evacuated for n in holder.numbers)

    def _sum_unmet_demand(self, now):
        return sum(holder.get_unmet_demand(now) for holder in self._holders.values())
