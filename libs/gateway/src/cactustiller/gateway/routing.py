"""Routes interactive requests to executors: permits, retries, outcomes."""

import asyncio
import random
from functools import partial

import structlog
from result import Err

from cactustiller.model import ErrorCode, Failure, FailureError, Outcome

from .ejection import ExecutorHealth
from .errors import make_refusal
from .forwarding import forward
from .permits import PermitStore

MAX_RETRY_TOKENS = 10.0
RETRY_DELAY_SECONDS = 0.05
SERVICE_POLL_INTERVAL_SECONDS = 1.0

log = structlog.get_logger(__name__)


class RetryBudget:
    """Allows a percentage of requests to be retried."""

    def __init__(self):
        self._tokens = MAX_RETRY_TOKENS

    def record_request(self, percent):
        """Count one request, which earns a part of a retry."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + percent / 100)

    def spend(self):
        """Take one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RequestRouter:
    """Sends requests to executors that hold a permit for them.

    Parameters
    ----------
    member : Member
    directory : ExecutorDirectory
    metrics : Metrics
    seed : int
        Seed of the back-off's jitter.
    """

    def __init__(self, member, directory, metrics, seed=0):
        self._member = member
        self._directory = directory
        self._metrics = metrics
        self._seed = seed
        self._random = random.Random(seed)
        self._stores = {}
        self._health = {}
        self._budget = RetryBudget()
        self._store_task = None

    def start(self):
        """Begin to follow the pools of all listed services."""
        self._store_task = asyncio.create_task(self._open_stores_regularly())

    async def stop(self):
        """Return every permit."""
        if self._store_task is not None:
            self._store_task.cancel()
            await asyncio.gather(self._store_task, return_exceptions=True)
        stores = self._stores.values()
        await asyncio.gather(*(store.stop() for store in stores))

    def report_permits(self, message):
        """Return the permits held of a service to the pool's new owner."""
        return self.get_store(message.service).report(message.epoch)

    async def route(self, request, values):
        """Return the `ServiceResponse` to a request.

        A request is sent again only after an attempt that certainly did not run,
        or if it is idempotent and the retry budget allows it.

        Raises
        ------
        FailureError
            With the outcome that is certain.
        """
        if not self._directory.has_service(request.service):
            reason = f"no executor of service {request.service} is listed"
            raise make_refusal(ErrorCode.NOT_FOUND, "find service", reason)
        self._budget.record_request(values.request_retry_percent)
        deadline = asyncio.get_running_loop().time() + request.timeout_seconds
        store = self.get_store(request.service)
        if request.timeout_seconds > store.acknowledged_deadline_seconds:
            started_at = asyncio.get_running_loop().time()
            deadline = started_at + await store.register_deadline(
                request.timeout_seconds
            )
        health = self._health[request.service]
        tried = []
        failure = None
        while True:
            slot = store.take_idle(tried)
            if slot is None:
                slot = await self._wait_for_slot(
                    store, request, values, deadline, tried, failure
                )
            answer = await self._send(store, health, slot, request, deadline, tried)
            if answer.is_ok():
                return answer.unwrap()
            failure = _choose_less_certain(failure, answer.unwrap_err())
            tried.append(slot.executor)
            if not self._may_retry(request, answer.unwrap_err(), deadline):
                raise FailureError(failure)
            self._metrics.count("request_retries")
            await self._delay_if_all_tried(request, tried)

    async def _delay_if_all_tried(self, request, tried):
        """Wait, then allow every executor again, once each has been tried."""
        if self._directory.list_usable(request.service) <= set(tried):
            tried.clear()
            await asyncio.sleep(
                self._random.uniform(RETRY_DELAY_SECONDS / 2, RETRY_DELAY_SECONDS)
            )

    async def _wait_for_slot(self, store, request, values, deadline, tried, failure):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            slot = await store.wait_for_slot(
                request.urgency,
                deadline - started_at,
                values.max_queued_requests,
                tried,
            )
        except FailureError:
            self._metrics.count("requests_refused")
            if failure is not None:
                raise FailureError(failure) from None
            raise
        self._metrics.record_seconds("slot_wait", loop.time() - started_at)
        return slot

    async def _send(self, store, health, slot, request, deadline, tried):
        loop = asyncio.get_running_loop()
        executor = slot.executor
        info = self._directory.get(executor)
        if info is None:
            store.release(slot)
            return Err(_make_unlisted_failure(executor))
        log.info(
            "route_decided",
            request=request.id,
            service=request.service,
            executor=executor,
            slot=slot.permit.number,
            considered=store.list_candidates(),
            reason="retry elsewhere" if tried else "fewest outstanding, own zone first",
            ballot=slot.permit.epoch,
        )
        started_at = loop.time()
        health.record_start(executor)
        try:
            answer = await forward(
                slot.session, info, request, max(0.001, deadline - started_at)
            )
        except asyncio.CancelledError:
            health.record_cancellation(executor)
            store.withhold(slot, deadline)
            if not slot.is_revoked:
                self._metrics.count("requests_cancelled")
                raise
            asyncio.current_task().uncancel()
            self._metrics.count("requests_cut")
            return Err(_make_revoked_failure(info))
        seconds = loop.time() - started_at
        self._metrics.record_seconds("executor_time", seconds)
        failure = answer.err()
        is_success = failure is None or failure.code is ErrorCode.OVERLOADED
        health.record_result(executor, seconds, is_success)
        if failure is not None and failure.outcome is Outcome.UNKNOWN:
            store.withhold(slot, deadline)
            return answer
        if failure is None and answer.unwrap().leaving:
            self._directory.mark_leaving(executor)
        store.release(slot, seconds)
        return answer

    def _may_retry(self, request, failure, deadline):
        if asyncio.get_running_loop().time() >= deadline:
            return False
        if failure.outcome is not Outcome.NOT_RUN and not request.idempotent:
            return False
        return self._budget.spend()

    async def _open_stores_regularly(self):
        # A gateway without requests confirms ballots for the others too.
        while True:
            for service in self._directory.list_services():
                self.get_store(service)
            await asyncio.sleep(SERVICE_POLL_INTERVAL_SECONDS)

    def get_store(self, service):
        """Return the `PermitStore` of a service, started on demand."""
        store = self._stores.get(service)
        if store is None:
            health = ExecutorHealth(partial(self._directory.list_usable, service))
            store = PermitStore(
                service, self._member, self._directory, health, self._seed
            )
            store.start()
            self._health[service] = health
            self._stores[service] = store
        return store


def _make_unlisted_failure(executor):
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="send request",
        peer=executor,
        reason="the executor is no longer listed",
    )


def _make_revoked_failure(info):
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="run request",
        peer=f"{info.executor} ({info.address})",
        reason="the permit for the slot ended before the answer",
        outcome=Outcome.UNKNOWN,
    )


def _choose_less_certain(earlier, later):
    """Return the failure that says least about the request's effect."""
    if earlier is not None and earlier.outcome is Outcome.UNKNOWN:
        return earlier
    return later
