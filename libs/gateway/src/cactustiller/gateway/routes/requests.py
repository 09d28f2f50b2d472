"""Interactive requests to backend services."""

import re
import secrets

from aiohttp import web

from cactustiller.model import ErrorCode, FailureError

from ..bodies import read_number
from ..context import get_authorization, get_gateway
from ..errors import raise_failure, refuse
from ..forwarding import ServiceRequest

REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


async def send_request(request):
    """Pass a request on to an executor and answer with the whole of its answer."""
    gateway = get_gateway(request)
    caller = gateway.guard.identify(get_authorization(request))
    values = gateway.guard.resolve(caller.team)
    service_request = ServiceRequest(
        id=_read_request_id(request),
        service=request.match_info["service"],
        body=await _read_limited(request, values.max_request_bytes),
        headers=request.headers,
        idempotent=_read_idempotent(request),
        seconds=_read_deadline(request, values) / 1000,
        urgency=values.urgency,
    )
    gateway.metrics.count("requests")
    try:
        answer = await gateway.router.route(service_request, values)
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


async def _read_limited(request, max_bytes):
    if request.content_length is not None and request.content_length > max_bytes:
        raise _refuse_length(max_bytes)
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise _refuse_length(max_bytes)
    return bytes(body)


def _refuse_length(max_bytes):
    reason = f"body: over max_request_bytes of {max_bytes}"
    return refuse(ErrorCode.INVALID, "read body", reason)


def _read_request_id(request):
    text = request.headers.get("X-Request-Id")
    if text is None:
        return secrets.token_hex(8)
    if REQUEST_ID.fullmatch(text) is None:
        reason = "X-Request-Id: must be 1 to 128 letters, digits or . _ : -"
        raise refuse(ErrorCode.INVALID, "read headers", reason)
    return text


def _read_idempotent(request):
    return read_number(request, "X-Idempotent", 0, 1, default=0) == 1


def _read_deadline(request, values):
    longest = values.request_timeout_ms
    return read_number(request, "X-Deadline-Ms", 1, longest, default=longest)


ROUTES = (web.post("/v1/requests/{service}", send_request),)
