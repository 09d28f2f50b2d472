"""Calls to the workers: starts and stops runs, renews leases, receives listings.

A `hold` call renews the lease of all runs of a worker and waits there for a run to
end. Its answer, the listing, has the active runs and the ends of runs that the owner
has not acknowledged yet.
"""

import asyncio
from functools import partial

from cactustiller.model import ErrorCode, Outcome

from ..decisions.polling import choose_wait_ms
from ..ports import StartAnswer, StartOrder
from ..records.crashes import PROBATION_SECONDS
from ..records.runs import RunEnd, RunPhase
from ..reporting.events import Event, log_event
from ..reporting.loop_work import LoopWork, track_loop_work
from ..reporting.metrics import Count, Latency
from ..supervision import keep_running
from .call_tasks import CallTasks
from .capacity import LEASE_SECONDS
from .listing_calls import ListingFetcher

HOLD_RETRY_SECONDS = 0.25
# After this wait for the store to commit a worker's ends, the lease is renewed anyway.
COMMIT_WAIT_SECONDS = 1.0
# Delay before a refused start is retried, which prevents a busy loop.
REFUSED_PAUSE_SECONDS = 0.1
# The same for a worker that reports itself unhealthy.
UNHEALTHY_PAUSE_SECONDS = 1.5
# After an unanswered start, no runs are placed on the worker for this time; by then the
# call that checks on the worker has been answered or has failed.
UNANSWERED_PAUSE_SECONDS = 0.7
REFUSALS_WITHOUT_PAUSE = (StartAnswer.NO_TICKET, StartAnswer.OLD_RUN)


class Dispatcher:
    """Sends an engine's decisions to the workers and applies their listings.

    Parameters
    ----------
    engine : Engine
    calls : WorkerCalls
    fencing_token : Epoch
        The owner's epoch; workers refuse calls with a lower one than they have seen.
    wake : callable
        Called after each change to the engine.
    on_fenced : callable
        Called when a worker has seen a higher fencing token.
    metrics : Metrics
    """

    def __init__(self, engine, calls, fencing_token, wake, on_fenced, metrics):
        self._engine = engine
        self._metrics = metrics
        engine.on_run_ended = self._record_end
        engine.on_copy_settled = self._record_copy
        engine.on_runs_kept = lambda worker: self._tasks.start(
            self._listings.fetch(worker)
        )
        self._calls = calls
        self._fencing_token = fencing_token
        self._wake = wake
        self._on_fenced = on_fenced
        self._committed = asyncio.Event()
        self._hold_tasks = {}
        self._tasks = CallTasks()
        self._listings = ListingFetcher(self._fetch_listing)

    def send_starts(self, placements):
        """Send starts without waiting for their answers."""
        # The run is passed along because the task may get another one before the call
        # is made.
        self._tasks.start_all(
            [partial(self._send_start, item, item.task.run) for item in placements]
        )

    def send_stops(self, stops):
        """Send stops without waiting for their answers."""
        self._tasks.start_all([partial(self._send_stop, stop) for stop in stops])

    def send_paces(self, paces):
        """Send speed limits of runs without waiting for their answers."""
        self._tasks.start_all([partial(self._send_pace, order) for order in paces])

    def on_committed(self):
        """Resume the hold loops that wait for their worker's ends to be stored."""
        self._committed.set()
        self._committed = asyncio.Event()

    async def close(self):
        """Cancel every call."""
        holds = list(self._hold_tasks.values())
        for task in holds:
            task.cancel()
        await asyncio.gather(*holds, return_exceptions=True)
        await self._tasks.close()
        await self._listings.close()

    def follow_workers(self):
        """Start a hold loop for each worker that has none."""
        for worker_id, worker in self._engine.workers.items():
            if worker_id not in self._hold_tasks and worker.info.address:
                hold = partial(self._hold_worker, worker)
                task = asyncio.create_task(
                    keep_running(f"renew lease of {worker_id}", hold)
                )
                self._hold_tasks[worker_id] = task
                task.add_done_callback(self._tasks.on_done)
                task.add_done_callback(
                    lambda _, worker_id=worker_id: self._hold_tasks.pop(worker_id, None)
                )

    async def _hold_worker(self, worker):
        """Renew a worker's lease and apply its listings until it is removed."""
        loop = asyncio.get_running_loop()
        key = worker.info.worker
        while self._engine.workers.get(key) is worker:
            is_caught_up = worker.acked_through == worker.processed_through
            may_wait = worker.is_synchronized and worker.is_reachable and is_caught_up
            sent_at = loop.time()
            ack, born_ms = worker.choose_ack(), worker.born_ms
            info = worker.info
            answer = await self._calls.hold(
                info,
                self._fencing_token,
                ack,
                worker.grant_lease_ms(sent_at, LEASE_SECONDS),
                choose_wait_ms(worker, len(self._engine.workers), sent_at)
                if may_wait
                else 0,
            )
            if answer.is_err():
                self._mark_unreachable(worker, answer.unwrap_err(), info.address)
                await asyncio.sleep(HOLD_RETRY_SECONDS)
                continue
            self._mark_reachable(worker)
            self._apply_listing(worker, answer.unwrap(), sent_at)
            worker.confirm_ack(ack, born_ms)
            self._wake()
            await self._wait_until_acknowledged(worker)

    async def _wait_until_acknowledged(self, worker):
        """Wait until all ends that a worker listed are stored and acknowledged.

        An earlier call would only return the same ends again.
        """
        try:
            async with asyncio.timeout(COMMIT_WAIT_SECONDS):
                while worker.processed_through != worker.acked_through:
                    await self._committed.wait()
        except TimeoutError:
            return

    def _mark_unreachable(self, worker, failure, address):
        if worker.is_reachable:
            worker.is_reachable = False
            if failure.code is ErrorCode.UNAVAILABLE:
                # A connection breaks at the moment of a crash.
                worker.broke_at = asyncio.get_running_loop().time()
            log_event(
                Event.WORKER_LOST,
                worker=worker.info.worker,
                peer=failure.peer,
                reason=failure.reason,
                runs=len(worker.runs),
            )
        if failure.code is ErrorCode.REPLACED and address == worker.info.address:
            # Another process at an earlier address says nothing of the present one.
            self._engine.end_replaced_worker(worker)
        # The connection was refused: no process listens at the worker's address.
        worker.refuses_connections = (
            failure.code is ErrorCode.UNAVAILABLE and failure.outcome is Outcome.NOT_RUN
        )
        if failure.code is ErrorCode.FENCED:
            self._on_fenced()
        self._wake()

    def _mark_reachable(self, worker):
        worker.refuses_connections = False
        if not worker.is_reachable:
            worker.is_reachable = True
            log_event(
                Event.WORKER_RECOVERED, worker=worker.info.worker, runs=len(worker.runs)
            )

    async def _send_start(self, placement, run):
        task, worker, ticket, _ = placement
        loop = asyncio.get_running_loop()
        step = task.step
        if task.is_isolated:
            # A crash says something about the start of a suspect only if its worker was
            # alive before, and a worker that is not would hold it up for a lease.
            await self._listings.fetch(worker)
            if worker.runs.get(task.name) != (task, run):
                return
        sent_at = loop.time()
        if task.run == run:
            task.start_sent_at = sent_at
        deadline_ms = worker.grant_lease_ms(sent_at, LEASE_SECONDS)
        if deadline_ms is None or (task.run == run and task.is_stopping):
            # The worker became unreachable after the placement, or the job has ended.
            log_event(
                Event.RUN_REFUSED,
                job=step.job.spec.job,
                task=task.name,
                run=run,
                worker=worker.info.worker,
                answer="not sent",
            )
            self._engine.reject_start(worker, task, run, sent_at)
            return
        order = StartOrder(
            task=task.name,
            run=run,
            payload=step.job.spec.payload,
            deadline_ms=deadline_ms,
            fencing_token=self._fencing_token,
            checkpoint=task.checkpoint,
            ticket=ticket,
        )
        answer = await self._calls.start(worker.info, order)
        now = loop.time()
        fields = {
            "job": step.job.spec.job,
            "task": task.name,
            "run": run,
            "worker": worker.info.worker,
        }
        if answer is StartAnswer.STARTED:
            log_event(
                Event.RUN_STARTED,
                **fields,
                waited=round(sent_at - step.eligible_at, 3),
                ticket_left=round(self._find_ticket_left(placement, sent_at), 3),
            )
            self._engine.confirm_start(task, run, now)
            if task.is_isolated:
                self._tasks.start(self._check_after_probation(worker))
            if task.original is None:
                priority = self._engine.find_rules(step.job).priority
                self._metrics.record(
                    Latency.START_WAIT, sent_at - step.eligible_at, str(priority)
                )
            return
        if answer is StartAnswer.FENCED:
            self._on_fenced()
        if answer is StartAnswer.UNANSWERED:
            log_event(Event.RUN_UNANSWERED, **fields, seconds=round(now - sent_at, 3))
            task.is_start_unanswered = task.run == run
            worker.avoided_until = max(
                worker.avoided_until, now + UNANSWERED_PAUSE_SECONDS
            )
            # The hold call may wait for longer before it shows that the worker is lost.
            self._tasks.start(self._listings.fetch(worker))
        else:
            log_event(Event.RUN_REFUSED, **fields, answer=answer.value)
            self._handle_refusal(placement, run, answer, now)
        self._wake()

    def _find_ticket_left(self, placement, now):
        until = placement.task.step.approved_until
        return until.get(placement.worker.info.worker, now) - now

    def _record_end(self, task, end):
        self._metrics.count(Count.RUNS_ENDED, end.value)
        if end is not RunEnd.DONE and task.started_at:
            seconds = asyncio.get_running_loop().time() - task.started_at
            cores = task.step.spec.amounts[0] / 1000
            self._metrics.count(
                Count.WASTED_CORE_SECONDS, end.value, amount=seconds * cores
            )

    def _record_copy(self, outcome):
        self._metrics.count(Count.COPIES, outcome.value)

    def _handle_refusal(self, placement, run, answer, now):
        task, worker = placement.task, placement.worker
        if answer is StartAnswer.NO_TICKET:
            task.step.approved_until.pop(worker.info.worker, None)
        if answer is StartAnswer.UNHEALTHY:
            worker.avoided_until = now + UNHEALTHY_PAUSE_SECONDS
        pause = 0.0 if answer in REFUSALS_WITHOUT_PAUSE else REFUSED_PAUSE_SECONDS
        self._engine.reject_start(worker, task, run, now + pause)

    async def _send_stop(self, stop):
        answer = await self._calls.stop(
            stop.worker.info, stop.task, stop.run, self._fencing_token
        )
        if answer.is_ok():
            now = asyncio.get_running_loop().time()
            self._engine.confirm_stop(stop, now)
            log_event(
                Event.RUN_STOPPED,
                task=stop.task,
                run=stop.run,
                worker=stop.worker.info.worker,
            )
            if not self._is_running(stop):
                # Its absence from a listing shows that the run can no longer start.
                await self._listings.fetch(stop.worker)

    def _is_running(self, stop):
        """Return whether a run has started, so that the hold call reports its end."""
        task, run = stop.worker.runs.get(stop.task, (None, 0))
        return run == stop.run and task.run == run and task.phase is RunPhase.RUNNING

    async def _send_pace(self, order):
        answer = await self._calls.pace(
            order.worker.info,
            order.task.name,
            order.run,
            order.percent,
            self._fencing_token,
        )
        if answer.is_ok():
            self._engine.confirm_pace(order)

    async def _check_after_probation(self, worker):
        """Fetch the listing that shows whether a suspect has crashed its worker."""
        await asyncio.sleep(PROBATION_SECONDS)
        await self._listings.fetch(worker)

    async def _fetch_listing(self, worker):
        """Fetch a worker's listing by a second call while its hold call is waiting.

        Without an answer the worker counts as unreachable until a hold call succeeds.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        info = worker.info
        answer = await self._calls.hold(info, self._fencing_token, 0, None, 0)
        if answer.is_err():
            self._mark_unreachable(worker, answer.unwrap_err(), info.address)
            return
        self._apply_listing(worker, answer.unwrap(), sent_at)
        self._wake()

    def _apply_listing(self, worker, listing, sent_at):
        with track_loop_work(
            self._metrics,
            LoopWork.LISTING,
            worker=worker.info.worker,
            runs=len(listing.active),
            ends=len(listing.ended),
        ):
            now = asyncio.get_running_loop().time()
            self._engine.apply_listing(worker, listing, sent_at, now)
