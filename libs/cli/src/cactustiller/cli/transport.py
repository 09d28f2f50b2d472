"""Sends one call to the first gateway that can take it."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import aiohttp
from result import Err, Ok, Result

from cactustiller.model import ErrorCode, Failure, Outcome

from .refusals import read_refusal

CONNECT_SECONDS = 2.0
RETRY_SECONDS = 1.0
MAX_ANSWER_BYTES = 64 * 2**20
READ_METHODS = frozenset({"GET"})
NEXT_GATEWAY_STATUSES = frozenset({None, 503, 504})
PASSING_CODES = frozenset({ErrorCode.UNAVAILABLE, ErrorCode.OVERLOADED})


@dataclass(frozen=True)
class Call:
    """One call of the HTTP interface.

    Parameters
    ----------
    step : str
        What the caller is doing, for failures.
    method, path : str
        HTTP method and path.
    body : object
        JSON value, bytes, or None.
    repeatable : bool
        Whether sending it twice has the effect of sending it once.
    deadline_seconds : float or None
        Time for all attempts together; None for that of the transport.
    """

    step: str
    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: Any = None
    repeatable: bool = False
    deadline_seconds: float | None = None

    @property
    def is_read(self):
        """Whether the call changes nothing."""
        return self.method in READ_METHODS


@dataclass(frozen=True)
class Answer:
    """Whole body of a successful answer."""

    peer: str
    body: bytes
    content_type: str


class Refusal(NamedTuple):
    """Failure at one gateway; the status is None without an HTTP answer."""

    failure: Failure
    status: int | None = None


class Transport:
    """Gateways in order of preference and the connections to them.

    Parameters
    ----------
    gateways : sequence of str
        Addresses ``ip:port``.
    key : str or None
        Bearer key.
    deadline_seconds : float
        Time for one call with all its attempts.
    retries : int
        Further rounds over the gateways after a refusal that did not run.
    """

    def __init__(self, gateways, key=None, *, deadline_seconds=10.0, retries=0):
        if not gateways:
            raise ValueError("at least one gateway is needed")
        self._gateways = list(gateways)
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._deadline_seconds = deadline_seconds
        self._retries = retries
        self._session = None

    async def close(self):
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, call: Call) -> Result[Answer, Failure]:
        """Return the answer, or the failure with what is known of the effect."""
        loop = asyncio.get_running_loop()
        limit = call.deadline_seconds or self._deadline_seconds
        ends_at = loop.time() + limit
        unknown = None
        for rounds_left in range(self._retries, -1, -1):
            result = await self._try_gateways(call, ends_at)
            if result.is_ok():
                return result
            failure = result.unwrap_err()
            if failure.outcome is Outcome.UNKNOWN:
                unknown = failure
            wait = failure.retry_after_ms / 1000 or RETRY_SECONDS
            may_repeat = _is_passing(failure) and _is_safe(call, failure)
            if not may_repeat or not rounds_left or loop.time() + wait >= ends_at:
                break
            await asyncio.sleep(wait)
        # A later refusal says nothing of an earlier attempt that may have run.
        return Err(unknown or failure)

    async def _try_gateways(self, call, ends_at):
        unknown = None
        for gateway in list(self._gateways):
            result = await self._try_gateway(call, gateway, ends_at)
            if result.is_ok():
                return result
            failure, status = result.unwrap_err()
            if failure.outcome is Outcome.UNKNOWN:
                unknown = failure
            if status not in NEXT_GATEWAY_STATUSES or not _is_safe(call, failure):
                break
            # Later calls begin with a gateway that is likely to answer.
            self._gateways.remove(gateway)
            self._gateways.append(gateway)
        return Err(unknown or failure)

    async def _try_gateway(self, call, gateway, ends_at):
        remaining = ends_at - asyncio.get_running_loop().time()
        if remaining <= 0:
            return _refuse(call, gateway, ErrorCode.TIMEOUT, "deadline has passed")
        timeout = aiohttp.ClientTimeout(
            total=remaining, sock_connect=min(CONNECT_SECONDS, remaining)
        )
        after = Outcome.FAILED if call.is_read else Outcome.UNKNOWN
        try:
            async with self._open_session().request(
                call.method,
                f"http://{gateway}{call.path}",
                params=dict(call.query),
                headers=self._headers | dict(call.headers),
                timeout=timeout,
                allow_redirects=False,
                middlewares=() if call.is_read or call.repeatable else (_send_once,),
                **_encode_body(call.body),
            ) as response:
                return await _read_answer(call, gateway, response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            reason = f"cannot connect: {error}"
            return _refuse(call, gateway, ErrorCode.UNAVAILABLE, reason)
        except TimeoutError:
            reason = "no answer before the deadline"
            return _refuse(call, gateway, ErrorCode.TIMEOUT, reason, after)
        except (aiohttp.ClientError, OSError) as error:
            reason = f"connection failed after sending: {error or type(error).__name__}"
            return _refuse(call, gateway, ErrorCode.UNAVAILABLE, reason, after)

    def _open_session(self):
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


class DisconnectedError(aiohttp.ClientError):
    """Raised for a disconnect, in a form that aiohttp does not answer by resending."""


async def _send_once(request, handler):
    # aiohttp resends a PUT after a disconnect, which may have taken effect.
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise DisconnectedError(str(error)) from error


async def _read_answer(call, gateway, response):
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            response.close()
            reason = f"answer exceeds {MAX_ANSWER_BYTES} bytes"
            outcome = Outcome.FAILED if call.is_read else Outcome.UNKNOWN
            failure = _fail(call, gateway, ErrorCode.PROTOCOL, reason, outcome)
            return Err(Refusal(failure, response.status))
    if 200 <= response.status < 300:
        return Ok(Answer(gateway, bytes(body), response.content_type))
    failure = read_refusal(call.step, gateway, response, body, call.is_read)
    return Err(Refusal(failure, response.status))


def _encode_body(body):
    if body is None:
        return {}
    return {"data": body} if isinstance(body, bytes) else {"json": body}


def _refuse(call, gateway, code, reason, outcome=Outcome.NOT_RUN):
    return Err(Refusal(_fail(call, gateway, code, reason, outcome)))


def _fail(call, gateway, code, reason, outcome):
    return Failure(
        code=code, step=call.step, peer=gateway, reason=reason, outcome=outcome
    )


def _is_passing(failure):
    return failure.code in PASSING_CODES or failure.retry_after_ms > 0


def _is_safe(call, failure):
    return failure.outcome is Outcome.NOT_RUN or call.is_read or call.repeatable
