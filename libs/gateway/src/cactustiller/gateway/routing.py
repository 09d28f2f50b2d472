"""Routes interactive requests to executors: permits, retries, outcomes."""

import asyncio
import random

import structlog

from cactustiller.model import ErrorCode, FailureError, Outcome

from .errors import refuse
from .forwarding import forward
from .permits import PermitStore

LONGEST_REQUEST_SECONDS = 20.0
MAX_RETRY_TOKENS = 10.0
PAUSE_SECONDS = 0.05

log = structlog.get_logger(__name__)


class RetryBudget:
    """Allows a percentage of requests to be retried."""

    def __init__(self):
        self._tokens = MAX_RETRY_TOKENS

    def note_request(self, percent):
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
    session : aiohttp.ClientSession
    metrics : Metrics
    seed : int
        Seed of the back-off's jitter.
    """

    def __init__(self, member, directory, session, metrics, seed=0):
        self._member = member
        self._directory = directory
        self._session = session
        self._metrics = metrics
        self._seed = seed
        self._random = random.Random(seed)
        self._stores = {}
        self._budget = RetryBudget()

    async def stop(self):
        """Return every permit."""
        stores = self._stores.values()
        await asyncio.gather(*(store.stop() for store in stores))

    def report_permits(self, message):
        """Return the permits held of a service to the pool's new owner."""
        return self._get_store(message.service).report(message.epoch)

    async def route(self, request, values):
        """Return the `ServiceAnswer` to a request.

        A request is sent again only after an attempt that certainly did not run,
        or if it is idempotent and the retry budget allows it.

        Raises
        ------
        FailureError
            With the outcome that is certain.
        """
        if not self._directory.has_service(request.service):
            reason = f"no executor of service {request.service} is listed"
            raise refuse(ErrorCode.NOT_FOUND, "find service", reason)
        self._budget.note_request(values.request_retry_percent)
        deadline = asyncio.get_running_loop().time() + request.seconds
        store = self._get_store(request.service)
        tried = []
        failure = None
        while True:
            owned = await self._take(store, request, values, deadline, tried, failure)
            answer = await self._send(store, owned, request, deadline, len(tried))
            if answer.is_ok():
                return answer.unwrap()
            failure = _keep_worst(failure, answer.unwrap_err())
            tried.append(owned.permit.executor)
            if not self._may_retry(request, answer.unwrap_err(), deadline):
                raise FailureError(failure)
            self._metrics.count("request_retries")
            await self._pause_if_all_tried(request, tried)

    async def _pause_if_all_tried(self, request, tried):
        """Wait, then allow every executor again, once each has been tried."""
        if self._directory.list_usable(request.service) <= set(tried):
            tried.clear()
            await asyncio.sleep(self._random.uniform(PAUSE_SECONDS / 2, PAUSE_SECONDS))

    async def _take(self, store, request, values, deadline, tried, failure):
        loop = asyncio.get_running_loop()
        started = loop.time()
        seconds = deadline - started
        try:
            owned = await store.take(seconds, values.max_queued_requests, tried)
        except FailureError:
            self._metrics.count("requests_refused")
            if failure is not None:
                raise FailureError(failure) from None
            raise
        self._metrics.record_seconds("slot_wait", loop.time() - started)
        return owned

    async def _send(self, store, owned, request, deadline, attempts):
        loop = asyncio.get_running_loop()
        permit = owned.permit
        info = self._directory.get(permit.executor)
        log.info(
            "route_decided",
            request=request.id,
            service=request.service,
            executor=permit.executor,
            slot=permit.number,
            considered=store.list_candidates(),
            reason="retry elsewhere" if attempts else "freshest permit held",
            epoch=permit.epoch,
        )
        started = loop.time()
        try:
            answer = await forward(
                self._session, info, request, max(0.001, deadline - started)
            )
        except asyncio.CancelledError:
            store.abandon(owned)
            raise
        self._metrics.record_seconds("executor_time", loop.time() - started)
        if answer.is_err() and answer.unwrap_err().outcome is Outcome.UNKNOWN:
            store.abandon(owned)
        else:
            if answer.is_ok() and answer.unwrap().leaving:
                self._directory.mark_leaving(permit.executor)
            store.put(owned)
        return answer

    def _may_retry(self, request, failure, deadline):
        if asyncio.get_running_loop().time() >= deadline:
            return False
        if failure.outcome is not Outcome.NOT_RUN and not request.idempotent:
            return False
        return self._budget.spend()

    def _get_store(self, service):
        store = self._stores.get(service)
        if store is None:
            usable = self._directory.is_usable
            store = PermitStore(service, self._member, usable, self._seed)
            store.start()
            self._stores[service] = store
        return store


def _keep_worst(first, second):
    """Return the failure that says least about the request's effect."""
    if first is not None and first.outcome is Outcome.UNKNOWN:
        return first
    return second
