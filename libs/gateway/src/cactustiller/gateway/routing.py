"""Routing of interactive requests to executors, with permits and retries."""

import asyncio
import random
from functools import partial

import structlog
from result import Err

from cactustiller.model import ErrorCode, Failure, FailureError, Outcome
from cactustiller.model.supervision import keep_running
from cactustiller.settings import find_largest

from .ejection import ExecutorHealth
from .errors import make_refusal
from .forwarding import forward
from .permits import PermitStore

MAX_RETRY_TOKENS = 10.0
RETRY_DELAY_SECONDS = 0.05
SERVICE_POLL_INTERVAL_SECONDS = 1.0
ZONE_RETRY_AFTER_MS = 1000
# A request may crash the executors that run it, so it is sent to no more once this many
# broke the connection instead of answering.
MAX_BROKEN_ATTEMPTS = 3

log = structlog.get_logger(__name__)


class RetryBudget:
    """Token bucket that limits retries to a percentage of requests."""

    def __init__(self):
        self._tokens = MAX_RETRY_TOKENS

    def record_request(self, percent):
        """Add the fraction of a retry that one request earns."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + percent / 100)

    def spend(self):
        """Consume one retry; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RequestRouter:
    """Sends requests to executors for whose slots the gateway holds permits.

    Parameters
    ----------
    member : Member
    directory : ExecutorDirectory
    metrics : Metrics
    replica : SettingsReplica
    seed : int
        Seed of the backoff jitter.
    """

    def __init__(self, member, directory, metrics, replica, seed=0):
        self._member = member
        self._directory = directory
        self._metrics = metrics
        self._replica = replica
        self._seed = seed
        self._random = random.Random(seed)
        self._stores = {}
        self._health = {}
        self._budget = RetryBudget()
        self._store_task = None
        self._evacuations = directory.evacuations
        self._subscription = self._evacuations.subscribe(self._on_zone_change)

    def start(self):
        """Start a permit store for each listed service, in the background."""
        self._store_task = asyncio.create_task(
            keep_running("open permit stores", self._open_stores_regularly)
        )

    async def stop(self):
        """Stop every permit store, which returns its permits."""
        self._subscription.dispose()
        if self._store_task is not None:
            self._store_task.cancel()
            await asyncio.gather(self._store_task, return_exceptions=True)
        stores = self._stores.values()
        await asyncio.gather(*(store.stop() for store in stores))

    def report_permits(self, message):
        """Return the permits held for a service, at the request of a peer."""
        return self.get_store(message.service).report(message.epoch)

    async def route(self, request, values):
        """Return the `ServiceResponse` to a request.

        A request is retried only if the attempt did not run or the request is
        idempotent, if the retry budget allows it, and if not too many executors broke
        the connection.

        Raises
        ------
        FailureError
            With the outcome as far as it is certain.
        """
        if not self._directory.has_service(request.service):
            reason = f"no executor of service {request.service} is listed"
            raise make_refusal(ErrorCode.NOT_FOUND, "find service", reason)
        self._budget.record_request(values.request_retry_percent)
        deadline = asyncio.get_running_loop().time() + request.timeout_seconds
        store = self.get_store(request.service)
        if request.timeout_seconds > store.acknowledged_timeout_seconds:
            started_at = asyncio.get_running_loop().time()
            deadline = started_at + await store.register_timeout(
                request.timeout_seconds
            )
        health = self._health[request.service]
        tried = []
        broken_attempts = 0
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
            latest = answer.unwrap_err()
            failure = _choose_less_certain(failure, latest)
            tried.append(slot.executor)
            broken_attempts += _has_broken_connection(latest)
            if broken_attempts >= MAX_BROKEN_ATTEMPTS or not self._may_retry(
                request, latest, deadline
            ):
                raise FailureError(failure)
            self._metrics.count("request_retries")
            await self._delay_if_all_tried(request, tried)

    async def _delay_if_all_tried(self, request, tried):
        """Once every executor was tried, clear `tried` and wait for a random delay."""
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
        reason = self._evacuations.find_refusal(info.zone)
        if reason:
            store.release(slot)
            return Err(_make_zone_failure(executor, reason))
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

    def _on_zone_change(self, _evacuated, _restored):
        for store in self._stores.values():
            store.renew_soon()

    async def _open_stores_regularly(self):
        # A gateway without requests also confirms ballots for other gateways.
        while True:
            for service in self._directory.list_services():
                self.get_store(service)
            await asyncio.sleep(SERVICE_POLL_INTERVAL_SECONDS)

    def _find_timeout_limit_ms(self):
        tree = self._replica.tree
        return find_largest(tree, "request_timeout_ms") if tree is not None else None

    def get_store(self, service):
        """Return the `PermitStore` of a service, creating and starting it on demand."""
        store = self._stores.get(service)
        if store is None:
            health = ExecutorHealth(partial(self._directory.list_usable, service))
            store = PermitStore(
                service,
                self._member,
                self._directory,
                health,
                self._find_timeout_limit_ms,
                self._seed,
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


def _make_zone_failure(executor, reason):
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="send request",
        peer=executor,
        reason=reason,
        retry_after_ms=ZONE_RETRY_AFTER_MS,
    )


def _make_revoked_failure(info):
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="run request",
        peer=f"{info.executor} ({info.address})",
        reason="the permit for the slot expired before the response",
        outcome=Outcome.UNKNOWN,
    )


def _has_broken_connection(failure):
    """Return whether an executor may have crashed while it ran the request."""
    is_upstream = failure.code is ErrorCode.UPSTREAM
    return is_upstream and failure.outcome is Outcome.UNKNOWN


def _choose_less_certain(earlier, later):
    """Return the earlier failure if its outcome is unknown, else the later one."""
    if earlier is not None and earlier.outcome is Outcome.UNKNOWN:
        return earlier
    return later
