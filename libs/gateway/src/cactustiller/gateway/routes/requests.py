"""Interactive requests to backend services."""

import asyncio
import re
import secrets
from functools import partial

from aiohttp import web

from cactustiller.model import ErrorCode, FailureError

from ..bodies import read_idempotency_key, read_int_header
from ..context import get_authorization, get_gateway
from ..errors import make_refusal, raise_failure
from ..forwarding import ServiceRequest

BODY_TIMEOUT_SECONDS = 30.0
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


async def send_request(request):
    """Pass a request on to an executor and answer with the whole of its answer."""
    gateway = get_gateway(request)
    caller = gateway.access_control.identify(get_authorization(request))
    values = gateway.access_control.resolve(caller.team)
    service_request = ServiceRequest(
        id=_read_request_id(request),
        service=request.match_info["service"],
        body=await _read_body(request, values.max_request_bytes),
        headers=request.headers,
        idempotent=_read_idempotent(request),
        timeout_seconds=_read_deadline(request, values) / 1000,
        urgency=values.urgency,
    )
    gateway.metrics.count("requests")
    key = read_idempotency_key(request)
    run = partial(gateway.router.route, service_request, values)
    try:
        if key is None or service_request.idempotent:
            answer = await run()
        else:
            scope = (caller.team or caller.key, key)
            answer = await gateway.records.run_once(scope, service_request, run)
    except FailureError as error:
        raise_failure(error.failure, request=service_request.id)
    return web.Response(
        body=answer.body,
        status=answer.status,
        headers={
            "Content-Type": answer.content_type,
            "X-Request-Id": service_request.id,
            "X-Executor": answer.executor,
        },
    )


async def _read_body(request, max_bytes):
    if request.content_length is not None and request.content_length > max_bytes:
        raise _make_length_refusal(max_bytes)
    body = bytearray()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > max_bytes:
                    raise _make_length_refusal(max_bytes)
    except TimeoutError:
        reason = f"body: not whole after {BODY_TIMEOUT_SECONDS:.0f} s"
        raise make_refusal(ErrorCode.INVALID, "read body", reason) from None
    return bytes(body)


def _make_length_refusal(max_bytes):
    reason = f"body: over max_request_bytes of {max_bytes}"
    return make_refusal(ErrorCode.INVALID, "read body", reason)


def _read_request_id(request):
    text = request.headers.get("X-Request-Id")
    if text is None:
        return secrets.token_hex(8)
    if REQUEST_ID_PATTERN.fullmatch(text) is None:
        reason = "X-Request-Id: must be 1 to 128 letters, digits or . _ : -"
        raise make_refusal(ErrorCode.INVALID, "read headers", reason)
    return text


def _read_idempotent(request):
    return read_int_header(request, "X-Idempotent", 0, 1, default=0) == 1


def _read_deadline(request, values):
    longest = values.request_timeout_ms
    return read_int_header(request, "X-Deadline-Ms", 1, longest, default=longest)


ROUTES = (web.post("/v1/requests/{service}", send_request),)
