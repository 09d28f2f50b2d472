"""Permits of a gateway to use slots of a service's executors."""

import asyncio
import contextlib
import math
import random

import structlog

from cactustiller.model.messages import AcquirePermits, HeldPermits, Permits
from cactustiller.ownership import pool_of_service
from cactustiller.scheduler.ballots import make_ballot

from .admission import Admission
from .confirmations import confirm_ballot
from .slots import Slot
from .waiting import WaitingLine

PERMITS_AHEAD = 2
IDLE_SECONDS = 1.0
SHORT_IDLE_SECONDS = 0.05
AHEAD_SECONDS = 2.0
RENEW_SECONDS = 1.0
QUEUED_SECONDS = 0.1
CONFIRM_BEFORE_SECONDS = 2.5
LINGER_SECONDS = 0.25
FIRST_PAUSE_SECONDS = 0.01
FIRST_LONGEST_MS = 2000
LONGEST_PAUSE_SECONDS = 0.1
CALL_SECONDS = 1.0

log = structlog.get_logger(__name__)


class PermitStore:
    """Permits of one service: acquired ahead of need, reused, renewed together.

    All permits end at one time. The owner's answer moves it on; while the owner
    does not answer, the confirmation of a majority of the gateways does.

    Parameters
    ----------
    service : ServiceName
    member : Member
    directory : ExecutorDirectory
    health : ExecutorHealth
    seed : int
        Seed of the back-off's jitter and of the choice of executors.
    """

    def __init__(self, service, member, directory, health, seed=0):
        self.admission = Admission(service)
        self._service = service
        self._partition = pool_of_service(service)
        self._member = member
        self._directory = directory
        self._health = health
        self._random = random.Random(seed)
        self._idle = {}
        self._in_use = {}
        self._lingering = {}
        self._closing = set()
        self._line = WaitingLine()
        self._ballot = 0
        self._renewed_ballot = 0
        self._valid_until = float("-inf")
        self._timer = None
        self._wanted_ms = FIRST_LONGEST_MS
        self._known_ms = 0
        self._must_renew = False
        self._renewed = asyncio.Event()
        self._sequence = 0
        self._used_at = float("-inf")
        self._share = 0
        self._queued = 0
        self._wake = asyncio.Event()
        self._task = None

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self._line)

    @property
    def held(self):
        """Number of permits held."""
        idle = sum(map(len, self._idle.values()))
        return idle + len(self._in_use) + len(self._lingering)

    @property
    def longest_seconds(self):
        """Longest deadline that the pool's owner knows of."""
        return self._known_ms / 1000

    @property
    def ballot(self):
        """Highest ballot known of the pool, 0 for none."""
        epoch = self._member.epoch_of(self._partition)
        return max(self._ballot, make_ballot(epoch))

    @property
    def name(self):
        """Name under which this incarnation holds permits."""
        record = self._member.record
        return f"{record.member}/{record.incarnation}"

    def start(self):
        """Begin to acquire and renew permits."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Stop and give every permit back that is not in use."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._timer is not None:
            self._timer.cancel()
        slots = [slot for slots in self._idle.values() for slot in slots]
        self._idle.clear()
        await asyncio.gather(*(slot.close() for slot in slots), *self._closing)
        await self._call_owner(0)

    def take(self, excluded=()):
        """Return an idle `Slot`, ``None`` if none suits."""
        self._used_at = asyncio.get_running_loop().time()
        if self._used_at >= self._valid_until:
            return None
        executor = self._choose(excluded)
        if executor is None:
            return None
        slots = self._idle[executor]
        slot = slots.pop()
        if not slots:
            del self._idle[executor]
        if len(self._idle) < PERMITS_AHEAD and self._count_missing():
            self._wake.set()
        return self._use(slot)

    async def wait(self, urgency, seconds, max_waiting, excluded=()):
        """Return a `Slot`, waiting for one in the order of urgency.

        Raises
        ------
        FailureError
            If too many wait or none can be expected in time; not run.
        """
        ahead = self._line.count_ahead(urgency)
        self.admission.check(ahead, self.waiting, self.held, seconds, max_waiting)
        waiter = self._line.add(urgency, tuple(excluded))
        self._wake.set()
        try:
            async with asyncio.timeout(self.admission.limit_wait(seconds)):
                slot = await waiter.future
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiter.future.done() and not waiter.future.cancelled():
                self.put(waiter.future.result())
            if isinstance(error, TimeoutError):
                reason = "no slot became free in time"
                raise self.admission.refuse(reason) from None
            raise
        finally:
            self._line.remove(waiter)
        if slot.is_cut or asyncio.get_running_loop().time() >= self._valid_until:
            self.put(slot)
            raise self.admission.refuse("the permits have just ended")
        return self._use(slot)

    def put(self, slot, seconds=None):
        """Take a slot back that is free again after `seconds` of work."""
        if seconds is not None:
            self.admission.record(seconds)
        if self._in_use.pop(slot.permit.number, None) is None:
            self._close_aside(slot)
            return
        slot.task = None
        self._offer(slot)

    def abandon(self, slot, free_at):
        """Keep a slot unused until `free_at`, since its executor may still work."""
        if self._in_use.pop(slot.permit.number, None) is None:
            self._close_aside(slot)
            return
        slot.task = None
        self._lingering[slot.permit.number] = slot
        asyncio.get_running_loop().call_at(
            free_at + LINGER_SECONDS, self._end_lingering, slot
        )

    def list_candidates(self):
        """Return the executors of the idle permits, sorted."""
        return sorted(self._idle)

    def report(self, ballot):
        """Follow a ballot and return the permits held; 0 only asks."""
        self._ballot = max(self._ballot, ballot)
        permits = self._list_held() if ballot else []
        return HeldPermits(
            permits=permits,
            epoch=self.ballot,
            gateway=self.name,
            longest_ms=self._wanted_ms,
        )

    async def limit_seconds(self, seconds):
        """Return for how long a request may run, at most `seconds`.

        The pool's owner has to know the longest deadline before a request with it
        is sent; while it cannot be told, the request gets the longest known one.
        """
        if seconds * 1000 <= self._known_ms:
            return seconds
        self._wanted_ms = max(self._wanted_ms, math.ceil(seconds * 1000))
        self._must_renew = True
        self._wake.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(CALL_SECONDS, seconds / 2)):
                while self._known_ms < seconds * 1000:
                    self._renewed.clear()
                    await self._renewed.wait()
        return min(seconds, self._known_ms / 1000)

    def _choose(self, excluded):
        """Return the less used of two executors, own availability zone first."""
        names = [
            name
            for name in self._idle
            if name not in excluded
            and self._directory.is_usable(name)
            and self._health.is_admitted(name)
        ]
        if not names:
            return None
        zone = self._member.record.zone
        near = [name for name in names if self._directory.get(name).zone == zone]
        names = near or names
        if len(names) > 2:
            names = self._random.sample(names, 2)
        return min(names, key=self._health.count_outstanding)

    def _use(self, slot):
        self._in_use[slot.permit.number] = slot
        slot.task = asyncio.current_task()
        return slot

    def _offer(self, slot):
        """Give a slot to the first request that it suits, else keep it idle."""
        if self._share and self.held >= self._share:
            self._close_aside(slot)
            self._wake.set()
            return
        is_good = self._directory.is_usable(slot.executor)
        is_good = is_good and self._health.is_admitted(slot.executor)
        if is_good and self._line.serve(slot):
            # It counts as held from now on, not from when the request wakes.
            self._in_use[slot.permit.number] = slot
            return
        slot.idle_since = asyncio.get_running_loop().time()
        self._idle.setdefault(slot.executor, []).append(slot)

    def _end_lingering(self, slot):
        if self._lingering.pop(slot.permit.number, None) is not None:
            self._offer(slot)

    def _close_aside(self, slot):
        task = asyncio.ensure_future(slot.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _run(self):
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE_SECONDS
        due = loop.time()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(due):
                    await self._wake.wait()
            self._wake.clear()
            missing = self._count_missing()
            if not (missing or self._must_renew) and loop.time() < due:
                continue
            granted = await self._renew(missing)
            due = loop.time() + (QUEUED_SECONDS if self._queued else RENEW_SECONDS)
            if loop.time() + CONFIRM_BEFORE_SECONDS > self._valid_until:
                await self._confirm()
            if granted >= missing:
                pause = FIRST_PAUSE_SECONDS
                continue
            await asyncio.sleep(self._random.uniform(pause / 2, pause))
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
            if self.waiting:
                self._wake.set()

    def _count_missing(self):
        """Return how many slots to ask for: some ahead while requests come."""
        now = asyncio.get_running_loop().time()
        ahead = PERMITS_AHEAD if now - self._used_at < AHEAD_SECONDS else 0
        return max(0, self.waiting + ahead - self._count_idle())

    def _count_idle(self):
        return sum(map(len, self._idle.values()))

    async def _renew(self, missing):
        """Renew what is held, give surplus back, ask for more; count the gain."""
        await self._drop_surplus()
        self._must_renew = False
        requested_at = asyncio.get_running_loop().time()
        longest_ms = self._wanted_ms
        answer = await self._call_owner(missing)
        if answer.is_err():
            log.warning("permits_not_renewed", reason=str(answer.unwrap_err()))
            await self._member.refresh(scan_members=False)
            return 0
        reply = answer.unwrap()
        if not isinstance(reply, Permits) or reply.epoch < self._ballot:
            log.warning("permits_ignored", service=self._service, ballot=self._ballot)
            return 0
        self._ballot = self._renewed_ballot = reply.epoch
        self._share, self._queued = reply.share, reply.queued
        self._known_ms = longest_ms
        self._renewed.set()
        for number in reply.lost:
            self._lose(number)
        self._extend(requested_at + reply.life_ms / 1000)
        for permit in reply.permits:
            self._offer(Slot(permit))
        return len(reply.permits)

    async def _call_owner(self, count):
        self._sequence += 1
        message = AcquirePermits(
            service=self._service,
            count=count,
            zone=self._member.record.zone,
            gateway=self.name,
            sequence=self._sequence,
            longest_ms=self._wanted_ms,
            held=self._list_held(),
            avoid=self._health.list_ejected(),
        )
        return await self._member.call_owner(self._partition, message, CALL_SECONDS)

    async def _confirm(self):
        """Prolong the permits if a majority of gateways knows no newer ballot."""
        if not self.held or self._ballot != self._renewed_ballot:
            return
        asked_at = asyncio.get_running_loop().time()
        until = await confirm_ballot(self._member, self._service, self._ballot)
        if until is None or self.ballot != self._renewed_ballot:
            log.warning("permits_not_confirmed", service=self._service)
            return
        if asked_at < self._valid_until:
            self._extend(until)

    def _list_held(self):
        slots = [slot for slots in self._idle.values() for slot in slots]
        slots += [*self._in_use.values(), *self._lingering.values()]
        return [slot.permit for slot in slots]

    async def _drop_surplus(self):
        now = asyncio.get_running_loop().time()
        kept_seconds = SHORT_IDLE_SECONDS if self._queued else IDLE_SECONDS
        dropped = []
        for executor in list(self._idle):
            is_good = self._directory.is_usable(executor)
            is_good = is_good and not self._health.is_ejected(executor)
            kept = []
            for slot in self._idle.pop(executor):
                is_new = now - slot.idle_since <= kept_seconds
                (kept if is_good and is_new else dropped).append(slot)
            if kept:
                self._idle[executor] = kept
        if dropped:
            await asyncio.gather(*(slot.close() for slot in dropped))

    def _extend(self, until):
        if until <= self._valid_until:
            return
        self._valid_until = until
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(until, self._end_all)

    def _end_all(self):
        """Cut the requests in flight, since others may be granted their slots.

        The permits stay listed as held: an executor may still work under them.
        """
        log.error("permits_ended", service=self._service, held=self.held)
        for slot in self._in_use.values():
            slot.cut()
        self._wake.set()

    def _lose(self, number):
        slot = self._in_use.pop(number, None)
        if slot is not None:
            slot.cut()
        self._lingering.pop(number, None)
        for executor, slots in list(self._idle.items()):
            kept = [slot for slot in slots if slot.permit.number != number]
            for slot in slots:
                if slot.permit.number == number:
                    self._close_aside(slot)
            if kept:
                self._idle[executor] = kept
            else:
                del self._idle[executor]
