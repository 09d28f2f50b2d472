"""Distribution of approval calls over the members (processes) of the cell.

An approval call asks the approval service which of the named workers may run a step.
The answer has a ticket for each approved worker; a start on that worker needs it.
"""

import asyncio
import random
from collections import Counter

from cactustiller.model import WorkerId
from cactustiller.model.messages import AskApproval

from ..decisions.service_turns import ServiceTurns
from ..ports import Approval
from ..reporting.events import Event, log_event

# While it reaches other members, this member, the owner, makes only calls with an
# expected duration up to this, so that short calls are not queued behind long ones.
SHORT_CALL_SECONDS = 0.06
# Added to the expected duration of a call to get its timeout.
CALL_SLACK_SECONDS = 1.0
# A member whose call failed gets no further calls for this long; the time doubles with
# each failure in succession, since a step waits for seconds at a member that is lost.
MEMBER_PAUSE_SECONDS = 2.0
MAX_MEMBER_PAUSE_SECONDS = 16.0
MAX_WORKERS_PER_CALL = 100
RETRY_SECONDS = 0.2
# `start_calls` returns once it has found no free member for this many steps.
MAX_STEPS_WITHOUT_MEMBER = 4


def may_be_approved(step, rules, worker):
    """Return whether the service may approve a worker for the step.

    Excludes workers that were refused for the step, since the answer never changes.
    """
    info = worker.info
    label = step.spec.required_label
    is_refused = info.worker in step.asked_workers and info.worker not in (
        step.approved or {}
    )
    return (
        info.service == rules.service
        and worker.is_listed
        and not info.is_draining
        and not worker.is_evacuated
        and not is_refused
        and (not label or label in info.labels)
        and step.spec.counted.fits_within(info.capacity)
    )


class ApprovalDispatcher:
    """Requests approvals, with at most one call in flight per member.

    Members are identified by address; the empty string is this member.

    Parameters
    ----------
    engine : Engine
    service : ApprovalService
        Service that this member calls directly.
    peers : PeerClient
        Forwards calls to other members, which call their own service.
    members : callable
        Returns the addresses of the other members.
    on_answer : callable
        Called after each call, whether it was answered or failed.
    """

    def __init__(self, engine, service, peers, members, on_answer):
        self._engine = engine
        self._service = service
        self._peers = peers
        self._members = members
        self._on_answer = on_answer
        self._turns = ServiceTurns()
        self._busy_members = set()
        self._paused_until = {}
        self._failures = Counter()
        self._tasks = set()
        self._is_closed = False

    def start_calls(self, steps):
        """Start calls for the steps in order until no member is free.

        Services with waiting steps take turns. Once closed, no more calls are started:
        each call that ends, also by its cancellation, asks for the next ones.
        """
        if self._is_closed or not self.count_free_members():
            return
        misses = 0
        for step in self._turns.order(steps, self._find_service):
            # Hundreds of steps may be pending; choosing workers for all is too slow.
            if misses == MAX_STEPS_WITHOUT_MEMBER or not self.count_free_members():
                break
            if step.has_approval_call:
                continue
            workers = self._choose_workers(step)
            if not workers:
                continue
            expected = self._estimate_seconds(step, len(workers))
            member = self._choose_member(expected <= SHORT_CALL_SECONDS)
            if member is None:
                misses += 1
                continue
            step.has_approval_call = True
            self._turns.record(self._find_service(step))
            self._busy_members.add(member)
            task = asyncio.create_task(self._call(member, step, workers, expected))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _find_service(self, step):
        return self._engine.find_rules(step.job).service

    async def close(self):
        """Cancel all calls in flight and start no more."""
        self._is_closed = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _choose_workers(self, step):
        """Return the workers to name in a call, at most `MAX_WORKERS_PER_CALL`.

        If more qualify, those that the step prefers are chosen first, then those with
        capacity for the most tasks. Ties are broken by an order random to each step, to
        spread the steps over the workers.
        """
        rules = self._engine.find_rules(step.job)
        candidates = [
            worker
            for worker in self._engine.workers.values()
            if may_be_approved(step, rules, worker)
        ]
        if len(candidates) > MAX_WORKERS_PER_CALL:
            now = asyncio.get_running_loop().time()
            # Steps that are pending at the same time see the same free capacity.
            spread = random.Random(step.name)
            amounts, count = step.spec.counted, step.spec.count
            candidates.sort(
                key=lambda worker: (
                    worker.info.worker not in step.preferred_workers,
                    -worker.count_fits(amounts, count) * worker.is_schedulable(now),
                    spread.random(),
                )
            )
        return [worker.info.worker for worker in candidates[:MAX_WORKERS_PER_CALL]]

    def _estimate_seconds(self, step, count):
        rules = self._engine.find_rules(step.job)
        return (rules.approval_ms + rules.approval_worker_ms * count) / 1000

    def count_free_members(self):
        """Return the number of members that can make a call now."""
        return len(self._find_free_members()) + ("" not in self._busy_members)

    def _find_free_members(self):
        return [
            address
            for address in self._find_reachable_members()
            if address not in self._busy_members
        ]

    def _find_reachable_members(self):
        """Return the other members but those whose latest call has just failed."""
        now = asyncio.get_running_loop().time()
        return [
            address
            for address in self._members()
            if self._paused_until.get(address, 0.0) <= now
        ]

    def _choose_member(self, is_short):
        """Return a free member for a call, or None.

        This member makes long calls only while it reaches no other members.
        """
        others = self._find_free_members()
        this_member = [] if "" in self._busy_members else [""]
        if is_short:
            return next(iter(this_member + others), None)
        if others:
            return others[0]
        return None if self._find_reachable_members() else next(iter(this_member), None)

    async def _call(self, member, step, workers, expected):
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            answer = await self._send_call(member, step, workers, expected)
            if answer.is_err():
                step.retry_at = loop.time() + RETRY_SECONDS
                if member:
                    self._pause_member(member)
                log_event(
                    Event.CALL_FAILED,
                    step="ask approval",
                    peer=member or "local",
                    job=step.job.spec.job,
                    reason=answer.unwrap_err().reason,
                )
            else:
                self._failures.pop(member, None)
                answered = min(loop.time(), started + expected)
                self._record_tickets(step, workers, answer.unwrap(), started, answered)
        finally:
            step.has_approval_call = False
            self._busy_members.discard(member)
            self._on_answer()

    def _pause_member(self, member):
        """Make no calls to a member for a time that doubles with each failure."""
        pause = MEMBER_PAUSE_SECONDS * 2 ** self._failures[member]
        if pause < MAX_MEMBER_PAUSE_SECONDS:
            self._failures[member] += 1
        now = asyncio.get_running_loop().time()
        self._paused_until[member] = now + pause

    async def _send_call(self, member, step, workers, expected):
        if not member:
            return await self._service.ask(step.name, workers)
        seconds = expected + CALL_SLACK_SECONDS
        message = AskApproval(step=step.name, workers=workers)
        answer = await self._peers.call(member, message, seconds)
        return answer.map(
            lambda reply: Approval(
                {WorkerId(name): ticket for name, ticket in reply.tickets.items()},
                reply.valid_ms / 1000,
            )
        )

    def _record_tickets(self, step, workers, approval, started, answered):
        """Replace the step's tickets for the workers named in a call.

        They are valid from the earliest time at which the service can have answered:
        the answer may have waited in this process or in the member that called.
        """
        now = asyncio.get_running_loop().time()
        step.asked_workers.update(workers)
        other_tickets = {
            worker: ticket
            for worker, ticket in (step.approved or {}).items()
            if worker not in workers
        }
        step.approved = other_tickets | approval.tickets
        step.approved_until |= dict.fromkeys(
            approval.tickets, answered + approval.valid_seconds
        )
        log_event(
            Event.APPROVAL,
            job=step.job.spec.job,
            step=step.name,
            named=len(workers),
            approved=len(approval.tickets),
            seconds=round(now - started, 3),
        )
