"""Permits that a gateway holds to use slots of a service's executors.

A service's slots form a pool, a partition with one owner: the scheduler that is its
leader, elected by lease and fencing token. The owner grants each slot to one gateway
at a time.
"""

import asyncio
import contextlib
import math
import random

import structlog

from cactustiller.model import ErrorCode, Failure
from cactustiller.model.messages import AcquirePermits, HeldPermits, Permits
from cactustiller.model.supervision import keep_running
from cactustiller.ownership import pool_of_service
from cactustiller.scheduler.ballots import is_plausible, make_ballot

from .admission import AdmissionControl
from .confirmations import confirm_ballot
from .queueing import RequestQueue
from .selection import choose_executor
from .slots import Slot

SPARE_PERMITS = 2
MAX_IDLE_SECONDS = 1.0
CONTENDED_MAX_IDLE_SECONDS = 0.05
SPARE_PERMITS_SECONDS = 2.0
RENEWAL_INTERVAL_SECONDS = 1.0
CONTENDED_RENEWAL_INTERVAL_SECONDS = 0.1
CONFIRMATION_LEAD_SECONDS = 2.5
WITHHOLD_MARGIN_SECONDS = 0.25
MIN_BACKOFF_SECONDS = 0.01
INITIAL_TIMEOUT_MS = 2000
MAX_BACKOFF_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 1.0

log = structlog.get_logger(__name__)


class PermitStore:
    """Permits of one service: acquired ahead of demand, reused, renewed together.

    All permits expire at the same time. A reply of the pool's owner extends it;
    while the owner does not answer, confirmation by a majority of the gateways does.

    Parameters
    ----------
    service : ServiceName
    member : Member
    directory : ExecutorDirectory
    health : ExecutorHealth
    seed : int
        Seed of the backoff jitter and of the choice of executors.
    find_timeout_limit_ms : callable
        Returns the longest timeout that the settings allow any request, None if the
        settings are not known.
    """

    def __init__(
        self, service, member, directory, health, find_timeout_limit_ms, seed=0
    ):
        self.admission = AdmissionControl(service)
        self._service = service
        self._partition = pool_of_service(service)
        self._member = member
        self._directory = directory
        self._health = health
        self._find_timeout_limit_ms = find_timeout_limit_ms
        self._started_at = asyncio.get_running_loop().time()
        self._random = random.Random(seed)
        self._idle = {}
        self._in_use = {}
        self._withheld = {}
        self._closing = set()
        self._queue = RequestQueue()
        self._ballot = 0
        self._renewed_ballot = 0
        self._valid_until = float("-inf")
        self._expiry_timer = None
        self._requested_timeout_ms = INITIAL_TIMEOUT_MS
        self._acknowledged_timeout_ms = 0
        self._must_renew = False
        self._renewed = asyncio.Event()
        self._sequence = 0
        self._last_request_at = float("-inf")
        self._is_owner_unavailable = False
        self._share_limit = 0
        self._queued_in_pool = 0
        self._wake = asyncio.Event()
        self._task = None

    @property
    def queue_length(self):
        """Number of requests queued for a slot."""
        return len(self._queue)

    @property
    def held_count(self):
        """Number of permits held, idle, in use or withheld."""
        idle = sum(map(len, self._idle.values()))
        return idle + len(self._in_use) + len(self._withheld)

    @property
    def usable_count(self):
        """Number of permits held outside evacuated zones."""
        if not self._directory.evacuations.zones:
            return self.held_count
        is_evacuated = self._directory.is_evacuated
        return sum(not is_evacuated(permit.executor) for permit in self._list_held())

    @property
    def acknowledged_timeout_seconds(self):
        """Longest request timeout that the pool's owner has acknowledged."""
        return self._acknowledged_timeout_ms / 1000

    @property
    def ballot(self):
        """Highest ballot seen for the pool, 0 for none."""
        epoch = self._member.epoch_of(self._partition)
        return max(self._ballot, make_ballot(epoch))

    @property
    def holder_id(self):
        """Name under which this incarnation of the gateway holds permits."""
        record = self._member.record
        return f"{record.member}/{record.incarnation}"

    def start(self):
        """Start acquiring and renewing permits in the background."""
        step = f"renew permits of {self._service}"
        self._task = asyncio.create_task(keep_running(step, self._run))

    async def stop(self):
        """Stop and return every idle permit to the owner."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        closing = [slot.close() for slots in self._idle.values() for slot in slots]
        self._idle.clear()
        await asyncio.gather(*closing, *self._closing)
        await self._call_owner(0)

    def take_idle(self, excluded=()):
        """Return an idle `Slot` now in use, ``None`` if no executor is eligible."""
        self._last_request_at = asyncio.get_running_loop().time()
        if self._last_request_at >= self._valid_until:
            return None
        executor = choose_executor(
            (name for name in self._idle if name not in excluded),
            self._directory,
            self._health,
            self._member.record.zone,
            self._random,
        )
        if executor is None:
            return None
        slots = self._idle[executor]
        slot = slots.pop()
        if not slots:
            del self._idle[executor]
        if len(self._idle) < SPARE_PERMITS and self._count_needed():
            self._wake.set()
        return self._mark_in_use(slot)

    async def wait_for_slot(self, urgency, seconds, max_queued, excluded=()):
        """Queue by urgency until a `Slot` is free and return it.

        Raises
        ------
        FailureError
            If the queue is full or no slot is expected in time; not run.
        """
        ahead = self._queue.count_ahead(urgency)
        self.admission.check(
            ahead, self.queue_length, self.usable_count, seconds, max_queued
        )
        waiter = self._queue.add(urgency, tuple(excluded))
        self._wake.set()
        try:
            async with asyncio.timeout(self.admission.get_max_wait(seconds)):
                slot = await waiter.future
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result())
            if isinstance(error, TimeoutError):
                reason = "no slot became free in time"
                raise self.admission.make_refusal(reason) from None
            raise
        finally:
            self._queue.remove(waiter)
        if slot.is_revoked or asyncio.get_running_loop().time() >= self._valid_until:
            self.release(slot)
            raise self.admission.make_refusal("the permits have just expired")
        return self._mark_in_use(slot)

    def release(self, slot, work_seconds=None):
        """Return a slot that a request used for `work_seconds`, ``None`` if unused."""
        if work_seconds is not None:
            self.admission.record(work_seconds)
        if self._in_use.pop(slot.permit.number, None) is None:
            self._close_in_background(slot)
            return
        slot.task = None
        self._make_available(slot)

    def withhold(self, slot, free_at):
        """Keep a slot unused until the loop time `free_at`.

        Its executor may still work on a request whose outcome is unknown.
        """
        if self._in_use.pop(slot.permit.number, None) is None:
            self._close_in_background(slot)
            return
        slot.task = None
        self._withheld[slot.permit.number] = slot
        asyncio.get_running_loop().call_at(
            free_at + WITHHOLD_MARGIN_SECONDS, self._release_withheld, slot
        )

    def renew_soon(self):
        """Return unusable idle permits and renew the others without delay."""
        self._must_renew = True
        self._wake.set()

    def list_candidates(self):
        """Return the executors that have idle permits, sorted."""
        return sorted(self._idle)

    def report(self, ballot):
        """Follow a ballot and return the permits held; ballot 0 only queries.

        Returns
        -------
        HeldPermits or Failure
        """
        limit_ms = self._find_timeout_limit_ms()
        if ballot and limit_ms is None:
            return Failure(
                code=ErrorCode.UNAVAILABLE,
                step=f"report permits of {self._service}",
                peer=self._member.record.member,
                reason="the settings, which limit timeouts, are not known",
            )
        self._ballot = max(self._ballot, ballot)
        permits = self._list_held() if ballot else []
        return HeldPermits(
            permits=permits,
            epoch=self.ballot,
            gateway=self.holder_id,
            longest_ms=self._requested_timeout_ms,
            limit_ms=limit_ms or 0,
            previous_busy_ms=self._find_previous_busy_ms(limit_ms or 0),
        )

    def _find_previous_busy_ms(self, limit_ms):
        """Return for how long requests of a previous process may still run."""
        if not self._member.has_predecessor:
            return 0
        age_seconds = asyncio.get_running_loop().time() - self._started_at
        return max(0, math.ceil(limit_ms - age_seconds * 1000))

    async def register_timeout(self, timeout_seconds):
        """Return how long a request may run, at most `timeout_seconds`.

        The pool's owner must acknowledge the longest timeout before a request with
        it is sent. If it does not in time, the request gets the longest timeout
        that was acknowledged.
        """
        if timeout_seconds * 1000 <= self._acknowledged_timeout_ms:
            return timeout_seconds
        self._requested_timeout_ms = max(
            self._requested_timeout_ms, math.ceil(timeout_seconds * 1000)
        )
        self.renew_soon()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(CALL_TIMEOUT_SECONDS, timeout_seconds / 2)):
                while self._acknowledged_timeout_ms < timeout_seconds * 1000:
                    self._renewed.clear()
                    await self._renewed.wait()
        return min(timeout_seconds, self._acknowledged_timeout_ms / 1000)

    def _mark_in_use(self, slot):
        self._in_use[slot.permit.number] = slot
        slot.task = asyncio.current_task()
        return slot

    def _make_available(self, slot):
        """Assign a slot to the first matching queued request, else keep it idle.

        A slot above the gateway's share is closed, and so returned to the pool.
        """
        if self._share_limit and self.usable_count >= self._share_limit:
            self._close_in_background(slot)
            self._wake.set()
            return
        is_usable_now = self._directory.is_usable(slot.executor)
        is_usable_now = is_usable_now and self._health.is_admitted(slot.executor)
        if is_usable_now and self._queue.assign(slot):
            # The slot counts as held even before the request's task resumes.
            self._in_use[slot.permit.number] = slot
            return
        slot.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(slot.executor, []).append(slot)

    def _release_withheld(self, slot):
        if self._withheld.pop(slot.permit.number, None) is not None:
            self._make_available(slot)

    def _close_in_background(self, slot):
        task = asyncio.ensure_future(slot.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _run(self):
        loop = asyncio.get_running_loop()
        backoff_seconds = MIN_BACKOFF_SECONDS
        renew_at = loop.time()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(renew_at):
                    await self._wake.wait()
            self._wake.clear()
            needed = self._count_needed()
            if not (needed or self._must_renew) and loop.time() < renew_at:
                continue
            granted = await self._renew(needed)
            renew_at = loop.time() + (
                CONTENDED_RENEWAL_INTERVAL_SECONDS
                if self._queued_in_pool
                else RENEWAL_INTERVAL_SECONDS
            )
            if loop.time() + CONFIRMATION_LEAD_SECONDS > self._valid_until:
                await self._confirm()
            if granted >= needed:
                backoff_seconds = MIN_BACKOFF_SECONDS
                continue
            pause = self._random.uniform(backoff_seconds / 2, backoff_seconds)
            await asyncio.sleep(pause)
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
            if self.queue_length:
                self._wake.set()

    def _count_needed(self):
        """Return how many slots to request, with spares while requests arrive."""
        now = asyncio.get_running_loop().time()
        spare = (
            SPARE_PERMITS if now - self._last_request_at < SPARE_PERMITS_SECONDS else 0
        )
        return max(0, self.queue_length + spare - self._count_idle())

    def _count_idle(self):
        is_evacuated = self._directory.is_evacuated
        return sum(len(s) for name, s in self._idle.items() if not is_evacuated(name))

    async def _renew(self, needed):
        """Return surplus permits, renew the others and request `needed` more.

        Returns the number of permits granted.
        """
        await self._close_surplus()
        self._must_renew = False
        requested_at = asyncio.get_running_loop().time()
        request_timeout_ms = self._requested_timeout_ms
        answer = await self._call_owner(needed)
        if answer.is_err():
            log.warning("permits_not_renewed", reason=str(answer.unwrap_err()))
            self._is_owner_unavailable = True
            await self._member.refresh(scan_members=False)
            return 0
        reply = answer.unwrap()
        epoch = self._member.epoch_of(self._partition)
        is_newer = isinstance(reply, Permits) and reply.epoch >= self._ballot
        if not is_newer or not is_plausible(reply.epoch, epoch):
            log.warning("permits_ignored", service=self._service, ballot=self._ballot)
            return 0
        self._ballot = self._renewed_ballot = reply.epoch
        self._share_limit, self._queued_in_pool = reply.share, reply.queued
        self._is_owner_unavailable = False
        self._acknowledged_timeout_ms = request_timeout_ms
        self._renewed.set()
        for number in reply.lost:
            self._revoke(number)
        self._extend_validity(requested_at + reply.life_ms / 1000)
        for permit in reply.permits:
            self._make_available(Slot(permit))
        return len(reply.permits)

    async def _call_owner(self, count):
        self._sequence += 1
        evacuated = self._directory.list_evacuated(self._service)
        message = AcquirePermits(
            service=self._service,
            count=count,
            zone=self._member.record.zone,
            gateway=self.holder_id,
            sequence=self._sequence,
            longest_ms=self._requested_timeout_ms,
            held=self._list_held(),
            avoid=[*self._health.list_ejected(), *evacuated],
        )
        return await self._member.call_owner(
            self._partition, message, CALL_TIMEOUT_SECONDS
        )

    async def _confirm(self):
        """Extend the permits if a majority of gateways follows no newer ballot."""
        if not self.held_count or self._ballot != self._renewed_ballot:
            return
        asked_at = asyncio.get_running_loop().time()
        until = await confirm_ballot(self._member, self._service, self._ballot)
        if until is None or self.ballot != self._renewed_ballot:
            log.warning("permits_not_confirmed", service=self._service)
            return
        if asked_at < self._valid_until:
            self._extend_validity(until)

    def _list_held(self):
        slots = [slot for slots in self._idle.values() for slot in slots]
        slots += [*self._in_use.values(), *self._withheld.values()]
        return [slot.permit for slot in slots]

    async def _close_surplus(self):
        now = asyncio.get_running_loop().time()
        max_idle_seconds = (
            CONTENDED_MAX_IDLE_SECONDS if self._queued_in_pool else MAX_IDLE_SECONDS
        )
        surplus = []
        for executor in list(self._idle):
            is_usable_now = self._directory.is_usable(executor)
            is_usable_now = is_usable_now and not self._health.is_ejected(executor)
            kept = []
            for slot in self._idle.pop(executor):
                # Without an owner, no gateway can use a returned permit.
                is_kept = (
                    self._is_owner_unavailable
                    or now - slot.idle_since <= max_idle_seconds
                )
                (kept if is_usable_now and is_kept else surplus).append(slot)
            if kept:
                self._idle[executor] = kept
        if surplus:
            await asyncio.gather(*(slot.close() for slot in surplus))

    def _extend_validity(self, until):
        if until <= self._valid_until:
            return
        self._valid_until = until
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_at(until, self._expire)

    def _expire(self):
        """Cancel the requests in flight, as other gateways may get their slots.

        The permits stay listed as held, as an executor may still work under them.
        """
        log.error("permits_ended", service=self._service, held=self.held_count)
        for slot in self._in_use.values():
            slot.revoke()
        self._wake.set()

    def _revoke(self, number):
        slot = self._in_use.pop(number, None)
        if slot is not None:
            slot.revoke()
        self._withheld.pop(number, None)
        for executor, slots in list(self._idle.items()):
            kept = [slot for slot in slots if slot.permit.number != number]
            for slot in slots:
                if slot.permit.number == number:
                    self._close_in_background(slot)
            if kept:
                self._idle[executor] = kept
            else:
                del self._idle[executor]
