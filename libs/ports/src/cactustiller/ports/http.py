"""JSON calls over HTTP to the platform's services."""

from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from pydantic import ValidationError
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome

CONNECT_TIMEOUT_SECONDS = 1.0
# Bytes of a head besides method, path, reason and fields: the HTTP version, the
# status, separators and the empty line that ends the head.
REQUEST_LINE_BYTES = len("  HTTP/1.1\r\n\r\n")
STATUS_LINE_BYTES = len("HTTP/1.1 200 \r\n\r\n")
FIELD_BYTES = len(": \r\n")


@dataclass
class CallCounters:
    """Calls, failures and HTTP bytes, including heads, of one client.

    Excludes TCP/IP headers and the bytes of calls that got no response.
    """

    calls: int = 0
    failures: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def count_exchange(self, response, sent_body_bytes, received_body_bytes):
        """Add the bytes of one request and its response."""
        request = response.request_info
        request_line = len(request.method) + len(request.url.raw_path_qs)
        self.sent_bytes += REQUEST_LINE_BYTES + request_line + sent_body_bytes
        self.sent_bytes += _count_head_bytes(request.headers.items())
        self.received_bytes += STATUS_LINE_BYTES + len(response.reason or "")
        self.received_bytes += _count_head_bytes(response.raw_headers)
        self.received_bytes += received_body_bytes


def _count_head_bytes(pairs):
    ends = FIELD_BYTES * len(pairs)
    return ends + sum(len(name) + len(value) for name, value in pairs)


def _fail(code, step, address, reason, outcome):
    return Err(
        Failure(code=code, step=step, peer=address, reason=reason, outcome=outcome)
    )


async def call_json(session, counters, step, address, path, body, reply_class, seconds):
    """Send a JSON request and return ``Ok(reply_class)`` or ``Err(Failure)``.

    Parameters
    ----------
    session : aiohttp.ClientSession
    counters : CallCounters
    step : str
        Name of the operation for the failure.
    address : str
        ``ip:port`` of the peer.
    path : str
    body : Record or None
        JSON body of a POST request; None sends a GET request.
    reply_class : type of Record
    seconds : float
        Timeout of the whole call.
    """
    data = body.model_dump_json().encode() if body is not None else None
    headers = {"Content-Type": "application/json"} if data is not None else {}
    answer = await _exchange(
        session, counters, step, address, path, data, headers, seconds
    )
    return answer.and_then(
        lambda exchange: _parse_reply(counters, step, address, reply_class, exchange)
    )


async def read_if_changed(
    session, counters, step, address, path, reply_class, seconds, etag
):
    """Send a conditional GET request; other parameters as for `call_json`.

    Parameters
    ----------
    etag : str
        Entity tag of the cached reply; empty for an unconditional request.

    Returns
    -------
    Result of (reply_class, str)
        The reply, None if the cached one is current, and its entity tag.
    """
    headers = {"If-None-Match": etag} if etag else {}
    answer = await _exchange(
        session, counters, step, address, path, None, headers, seconds
    )
    if answer.is_err():
        return answer
    response, _ = answer.unwrap()
    if etag and response.status == HTTPStatus.NOT_MODIFIED:
        return Ok((None, etag))
    new_etag = response.headers.get("ETag", "")
    reply = _parse_reply(counters, step, address, reply_class, answer.unwrap())
    return reply.map(lambda record: (record, new_etag))


async def _exchange(session, counters, step, address, path, data, headers, seconds):
    """Send one request; return ``Ok((response, body bytes))`` or ``Err(Failure)``."""
    counters.calls += 1
    timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
    try:
        async with session.request(
            "GET" if data is None else "POST",
            f"http://{address}{path}",
            data=data,
            headers=headers,
            timeout=timeout,
        ) as response:
            text = await response.read()
    except aiohttp.ClientConnectorError as error:
        counters.failures += 1
        reason = f"cannot connect: {error}"
        return _fail(ErrorCode.UNAVAILABLE, step, address, reason, Outcome.NOT_RUN)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        counters.failures += 1
        reason = str(error) or f"no answer within {seconds} s"
        return _fail(ErrorCode.TIMEOUT, step, address, reason, Outcome.UNKNOWN)
    counters.count_exchange(response, len(data or b""), len(text))
    return Ok((response, text))


def _parse_reply(counters, step, address, reply_class, exchange):
    response, text = exchange
    if response.status != HTTPStatus.OK:
        counters.failures += 1
        return _fail_status(response.status, text, step, address)
    try:
        return Ok(reply_class.model_validate_json(text))
    except ValidationError as error:
        reason = f"malformed answer: {str(error).splitlines()[0]}"
        return _fail(ErrorCode.PROTOCOL, step, address, reason, Outcome.UNKNOWN)


def _fail_status(status, text, step, address):
    code = ErrorCode.FENCED if status == 409 else ErrorCode.UNAVAILABLE
    outcome = Outcome.NOT_RUN if status in (404, 409) else Outcome.UNKNOWN
    reason = f"status {status}: {text[:200].decode(errors='replace')}"
    return _fail(code, step, address, reason, outcome)
