"""Clients of the instance list, the workers and the object store."""

from typing import Protocol

import aiohttp
from result import Err, Ok, Result

from cactustiller.model import ErrorCode, Failure, Outcome

from .http import CallCounters, call_json, read_if_changed
from .records import Apply, ApplyReply, InstanceListing, Watch, WatchReply, WorkerInfo

LIST_TIMEOUT_SECONDS = 2.0
APPLY_TIMEOUT_SECONDS = 2.0
WATCH_MARGIN_SECONDS = 2.0
OBJECT_TIMEOUT_SECONDS = 5.0


class InstanceListPort(Protocol):
    """The platform's list of instances that are live or about to leave."""

    async def list_instances(self) -> Result[InstanceListing, Failure]:
        """Return the platform's current list."""


class WorkerPort(Protocol):
    """Calls to one worker."""

    async def apply(
        self, worker: WorkerInfo, apply: Apply
    ) -> Result[ApplyReply, Failure]:
        """Start, renew and stop tasks."""

    async def watch(
        self, worker: WorkerInfo, watch: Watch
    ) -> Result[WatchReply, Failure]:
        """Wait for task state changes."""


class HttpInstanceList:
    """Instance list over HTTP, cached by its entity tag."""

    def __init__(self, session, address):
        self.counters = CallCounters()
        self._session = session
        self._address = address
        self._listing = InstanceListing()
        self._etag = ""

    async def list_instances(self):
        """Return the platform's current list."""
        answer = await read_if_changed(
            self._session,
            self.counters,
            "list instances",
            self._address,
            "/v1/instances",
            InstanceListing,
            LIST_TIMEOUT_SECONDS,
            self._etag,
        )
        if answer.is_err():
            return answer
        listing, self._etag = answer.unwrap()
        self._listing = self._listing if listing is None else listing
        return Ok(self._listing)


class HttpWorkers:
    """Client of all workers over HTTP."""

    def __init__(self, session):
        self.counters = CallCounters()
        self._session = session

    async def apply(self, worker, apply):
        """Start, renew and stop tasks."""
        return await self._call(
            worker, "apply", apply, ApplyReply, APPLY_TIMEOUT_SECONDS
        )

    async def watch(self, worker, watch):
        """Wait for task state changes."""
        seconds = watch.wait_ms / 1000 + WATCH_MARGIN_SECONDS
        return await self._call(worker, "watch", watch, WatchReply, seconds)

    async def _call(self, worker, action, body, reply_class, seconds):
        return await call_json(
            self._session,
            self.counters,
            f"{action} on worker {worker.worker}",
            worker.address,
            f"/v1/workers/{worker.worker}/{action}",
            body,
            reply_class,
            seconds,
        )


class HttpObjects:
    """Object store over HTTP; object bodies are bytes."""

    def __init__(self, session, address):
        self._session = session
        self._address = address

    async def put_object(self, name, data):
        """Store an object; return ``Ok(response body)`` or ``Err(Failure)``."""
        return await self._call("PUT", name, data)

    async def get_object(self, name):
        """Return ``Ok(object body)`` or ``Err(Failure)``."""
        return await self._call("GET", name, None)

    async def _call(self, method, name, data):
        step = f"{method} object {name}"
        timeout = aiohttp.ClientTimeout(total=OBJECT_TIMEOUT_SECONDS)
        url = f"http://{self._address}/v1/objects/{name}"
        try:
            async with self._session.request(
                method, url, data=data, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(self._fail(ErrorCode.UNAVAILABLE, step, str(error)))
        if response.status == 404:
            return Err(self._fail(ErrorCode.NOT_FOUND, step, "no such object"))
        if response.status >= 300:
            return Err(
                self._fail(ErrorCode.UNAVAILABLE, step, f"status {response.status}")
            )
        return Ok(body)

    def _fail(self, code, step, reason):
        return Failure(
            code=code,
            step=step,
            peer=self._address,
            reason=reason,
            outcome=Outcome.UNKNOWN,
        )
