"""Spreads calls to the approval service over the members."""

import asyncio

from cactustiller.model import WorkerId
from cactustiller.model.messages import AskApproval

from .events import Event, log_event
from .ports import Approval

# Longer calls leave this member's own place to short ones.
SHORT_CALL_SECONDS = 0.06
# Added to the expected time of a call before it counts as lost.
CALL_SLACK_SECONDS = 1.0
# A member that failed a call is left out for this long.
MEMBER_PAUSE_SECONDS = 2.0
# Most workers that one call may name.
MOST_WORKERS = 100
RETRY_SECONDS = 0.2


class ApprovalDesk:
    """Asks for approvals, one call at a time for each member.

    Parameters
    ----------
    engine : Engine
    service : ApprovalService
        Used for the calls of this member.
    peers : PeerClient
    members : callable
        Returns the addresses of the other members.
    on_answer : callable
        Called after each answer.
    """

    def __init__(self, engine, service, peers, members, on_answer):
        self._engine = engine
        self._service = service
        self._peers = peers
        self._members = members
        self._on_answer = on_answer
        self._busy = set()
        self._paused = {}
        self._tasks = set()

    def ask(self, steps):
        """Start calls for steps in order, as long as callers are free."""
        for step in steps:
            if step.is_asking:
                continue
            workers = self._choose_workers(step)
            if not workers:
                continue
            expected = self._expect_seconds(step, len(workers))
            caller = self._find_caller(expected <= SHORT_CALL_SECONDS)
            if caller is None:
                continue
            step.is_asking = True
            self._busy.add(caller)
            task = asyncio.create_task(self._call(caller, step, workers, expected))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def close(self):
        """End every call."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _choose_workers(self, step):
        rules = self._engine.find_rules(step.job)
        label = step.spec.required_label
        named = []
        for worker in self._engine.workers.values():
            info = worker.info
            known = info.worker in step.asked
            if info.service != rules.service or not worker.is_listed:
                continue
            if info.is_draining or (label and label not in info.labels):
                continue
            if known and info.worker not in (step.approved or {}):
                continue
            if step.spec.counted.fits_within(info.capacity):
                named.append(info.worker)
        return named[:MOST_WORKERS]

    def _expect_seconds(self, step, count):
        rules = self._engine.find_rules(step.job)
        return (rules.approval_ms + rules.approval_worker_ms * count) / 1000

    def _find_caller(self, is_short):
        now = asyncio.get_running_loop().time()
        others = [
            address
            for address in self._members()
            if address not in self._busy and self._paused.get(address, 0.0) <= now
        ]
        own = [] if "" in self._busy else [""]
        if is_short:
            return next(iter(own + others), None)
        if others:
            return others[0]
        return next(iter(own), None) if not self._members() else None

    async def _call(self, caller, step, workers, expected):
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            answer = await self._perform(caller, step, workers, expected)
            if answer.is_err():
                step.retry_at = loop.time() + RETRY_SECONDS
                if caller:
                    self._paused[caller] = loop.time() + MEMBER_PAUSE_SECONDS
                log_event(
                    Event.CALL_FAILED,
                    step="ask approval",
                    peer=caller or "local",
                    job=step.job.spec.job,
                    reason=answer.unwrap_err().reason,
                )
            else:
                self._take_answer(step, workers, answer.unwrap(), started)
        finally:
            step.is_asking = False
            self._busy.discard(caller)
            self._on_answer()

    async def _perform(self, caller, step, workers, expected):
        if not caller:
            return await self._service.ask(step.name, workers)
        seconds = expected + CALL_SLACK_SECONDS
        message = AskApproval(step=step.name, workers=workers)
        answer = await self._peers.call(caller, message, seconds)
        return answer.map(
            lambda reply: Approval(
                {WorkerId(name): ticket for name, ticket in reply.tickets.items()},
                reply.valid_ms / 1000,
            )
        )

    def _take_answer(self, step, workers, approval, started):
        now = asyncio.get_running_loop().time()
        step.asked.update(workers)
        kept = {
            worker: ticket
            for worker, ticket in (step.approved or {}).items()
            if worker not in workers
        }
        # Tickets of workers that this call did not name are older: keep the shorter.
        step.approved = kept | approval.tickets
        step.approved_until = now + approval.valid_seconds
        log_event(
            Event.APPROVAL,
            job=step.job.spec.job,
            step=step.name,
            named=len(workers),
            approved=len(approval.tickets),
            seconds=round(now - started, 3),
        )
