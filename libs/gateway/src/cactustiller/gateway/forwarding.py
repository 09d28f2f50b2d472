"""One request to one executor, with what is certain of its outcome."""

import functools
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from result import Err, Ok
from yarl import URL

from cactustiller.model import ErrorCode, Failure, Outcome, Urgency

CONNECT_TIMEOUT_SECONDS = 0.5
KEEPALIVE_SECONDS = 15.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
NOT_RUN_HEADER = "x-not-run"
LEAVING_HEADER = "x-leaving"
REQUEST_HEADER = "x-request-id"
FORWARDED_HEADERS = ("x-work-ms", "x-reply-bytes", "content-type")


# Raised before the first byte of a request is written.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class ServiceRequest(NamedTuple):
    """Interactive request as the caller sent it."""

    id: str
    service: str
    body: bytes
    headers: CIMultiDict
    idempotent: bool
    timeout_seconds: float

    urgency: Urgency = Urgency.NORMAL


class ServiceResponse(NamedTuple):
    """Whole answer of an executor."""

    status: int
    body: bytes
    content_type: str
    executor: str
    leaving: bool


def create_session():
    """Return a session of at most one connection, which goes with one permit."""
    connector = aiohttp.TCPConnector(
        limit=1,
        keepalive_timeout=KEEPALIVE_SECONDS,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def forward(session, info, request, seconds):
    """Send a request once; return ``Ok(ServiceResponse)`` or ``Err(Failure)``.

    Parameters
    ----------
    session : aiohttp.ClientSession
        From `create_session`.
    info : BackendInfo
    request : ServiceRequest
    seconds : float
        Time left until the caller's deadline.
    """
    headers = {
        name: request.headers[name]
        for name in FORWARDED_HEADERS
        if name in request.headers
    }
    headers[REQUEST_HEADER] = request.id
    headers["x-deadline-ms"] = str(max(1, int(seconds * 1000)))
    timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
    try:
        async with session.post(
            _make_url(info.address),
            data=request.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await _read_body(response)
    except NOT_SENT_ERRORS as error:
        reason = f"cannot connect: {error or type(error).__name__}"
        return Err(_make_failure(ErrorCode.UNAVAILABLE, info, reason, Outcome.NOT_RUN))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Err(_classify_error(error, info, seconds))
    return _classify_response(response, body, info, request)


@functools.lru_cache(maxsize=4096)
def _make_url(address):
    return URL(f"http://{address}/v1/run")


async def _read_body(response):
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError(f"answer over {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)


def _classify_response(response, body, info, request):
    headers = response.headers
    if headers.get(NOT_RUN_HEADER) == "1":
        reason = "the executor has no free slot"
        return Err(_make_failure(ErrorCode.OVERLOADED, info, reason, Outcome.NOT_RUN))
    if headers.get(REQUEST_HEADER, request.id) != request.id:
        reason = "the answer belongs to another request"
        return Err(_make_failure(ErrorCode.PROTOCOL, info, reason, Outcome.UNKNOWN))
    if response.status >= 500:
        reason = f"status {response.status}"
        return Err(_make_failure(ErrorCode.UPSTREAM, info, reason, Outcome.FAILED))
    content_type = headers.get("content-type", "application/octet-stream")
    leaving = headers.get(LEAVING_HEADER) == "1"
    return Ok(
        ServiceResponse(response.status, body, content_type, info.executor, leaving)
    )


def _classify_error(error, info, seconds):
    if isinstance(error, TimeoutError):
        reason = f"no whole answer within {seconds:.3f} s"
        return _make_failure(ErrorCode.TIMEOUT, info, reason, Outcome.UNKNOWN)
    reason = f"the answer was cut: {error or type(error).__name__}"
    return _make_failure(ErrorCode.UPSTREAM, info, reason, Outcome.UNKNOWN)


def _make_failure(code, info, reason, outcome):
    return Failure(
        code=code,
        step="run request",
        peer=f"{info.executor} ({info.address})",
        reason=reason,
        outcome=outcome,
        retry_after_ms=1000 if outcome is Outcome.NOT_RUN else 0,
    )
