"""JSON calls to outside systems, with failures that name step and peer."""

from dataclasses import dataclass

import aiohttp
from pydantic import ValidationError
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome

CONNECT_SECONDS = 1.0


@dataclass
class CallCounters:
    """Calls and bytes exchanged with outside systems."""

    calls: int = 0
    failures: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


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
        Named in the failure.
    address : str
        ``ip:port`` of the peer.
    path : str
    body : Record or None
        Sent by POST; None sends a GET.
    reply_class : type of Record
    seconds : float
        Deadline of the whole call.
    """
    counters.calls += 1
    data = body.model_dump_json().encode() if body is not None else None
    method = "GET" if body is None else "POST"
    timeout = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
    headers = {"Content-Type": "application/json"} if data is not None else {}
    try:
        async with session.request(
            method,
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
    counters.sent_bytes += len(data or b"")
    counters.received_bytes += len(text)
    if response.status != 200:
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
