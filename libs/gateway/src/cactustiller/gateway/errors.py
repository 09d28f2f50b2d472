"""HTTP answers for failures."""

import math

import structlog
from aiohttp import web

from cactustiller.model import ErrorCode, Failure, FailureError, Outcome

STATUS_BY_CODE = {
    ErrorCode.INVALID: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.NEVER_RUNNABLE: 422,
    ErrorCode.UPSTREAM: 502,
    ErrorCode.PROTOCOL: 502,
    ErrorCode.NOT_OWNER: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.UNAVAILABLE: 503,
    ErrorCode.FENCED: 503,
    ErrorCode.TIMEOUT: 504,
}
UNKNOWN_STATUS = 504
CODE_BY_STATUS = {
    401: ErrorCode.UNAUTHENTICATED,
    403: ErrorCode.FORBIDDEN,
    404: ErrorCode.NOT_FOUND,
}

log = structlog.get_logger(__name__)


class UnknownOutcomeError(FailureError):
    """Failure of unknown outcome, with the ids to ask again with."""

    def __init__(self, failure, **ids):
        super().__init__(failure)
        self.ids = ids


def get_status(failure):
    """Return the HTTP status of a `Failure`."""
    if failure.outcome is Outcome.UNKNOWN:
        return UNKNOWN_STATUS
    return STATUS_BY_CODE[failure.code]


def build_failure_response(failure, **ids):
    """Return the response for a `Failure`.

    Parameters
    ----------
    failure : Failure
    **names : str
        Ids to ask again with, such as ``job``.
    """
    headers = {}
    if failure.retry_after_ms:
        headers["Retry-After"] = str(math.ceil(failure.retry_after_ms / 1000))
    body = _build_body(failure, ids)
    return web.json_response(body, status=get_status(failure), headers=headers)


def make_refusal(code, step, reason, **fields):
    """Return a `FailureError` for a refusal that had no effect."""
    return FailureError(Failure(code=code, step=step, reason=reason, **fields))


def raise_failure(failure, **ids):
    """Raise a failure, with ids to ask again with if its outcome is unknown."""
    if failure.outcome is Outcome.UNKNOWN:
        raise UnknownOutcomeError(failure, **ids)
    raise FailureError(failure)


@web.middleware
async def handle_failures(request, handler):
    """Answer every failure with the documented error body."""
    try:
        return await handler(request)
    except FailureError as error:
        ids = getattr(error, "ids", {})
        return _log_refusal(request, error.failure, ids)
    except web.HTTPException as error:
        code = CODE_BY_STATUS.get(error.status, ErrorCode.INVALID)
        failure = Failure(code=code, step=request.path, reason=error.reason)
        response = _log_refusal(request, failure, {})
        response.set_status(error.status)
        return response
    except Exception as error:
        log.exception("request_failed", method=request.method, path=request.path)
        failure = Failure(
            code=ErrorCode.PROTOCOL,
            step=request.path,
            reason=f"internal error: {type(error).__name__}",
            outcome=Outcome.UNKNOWN,
        )
        return web.json_response(_build_body(failure, {}), status=500)


def _build_body(failure, ids):
    fields = set(Failure.model_fields)
    return {"error": failure.model_dump(mode="json", include=fields), **ids}


def _log_refusal(request, failure, ids):
    log.info(
        "request_refused",
        method=request.method,
        path=request.path,
        code=failure.code,
        step=failure.step,
        peer=failure.peer,
        reason=failure.reason,
        outcome=failure.outcome,
        **ids,
    )
    return build_failure_response(failure, **ids)
