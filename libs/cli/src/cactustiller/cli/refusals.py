"""Reads the error body of an HTTP answer as a failure."""

import json
from math import ceil

from pydantic import ValidationError

from cactustiller.model import ErrorCode, Failure, Outcome

CODES_BY_STATUS = {
    400: ErrorCode.INVALID,
    401: ErrorCode.UNAUTHENTICATED,
    403: ErrorCode.FORBIDDEN,
    404: ErrorCode.NOT_FOUND,
    409: ErrorCode.CONFLICT,
    422: ErrorCode.INVALID,
    429: ErrorCode.OVERLOADED,
    502: ErrorCode.UPSTREAM,
    503: ErrorCode.UNAVAILABLE,
    504: ErrorCode.TIMEOUT,
}
FIRST_SERVER_STATUS = 500


def read_refusal(step, gateway, response, body, is_read):
    """Return the `Failure` that an unsuccessful answer stands for.

    An answer that is not in the documented form promises nothing, so it never
    counts as not run.
    """
    retry_after_ms = _read_retry_after(response.headers.get("Retry-After", ""))
    try:
        fields = json.loads(body)["error"]
        ask_with = " ".join(
            f"{name} {fields[name]}" for name in ("job", "request") if fields.get(name)
        )
        reason = str(fields["reason"])
        return Failure(
            code=fields["code"],
            step=fields.get("step") or step,
            peer=_name_peer(gateway, fields.get("peer")),
            reason=f"{reason}; ask again with {ask_with}" if ask_with else reason,
            outcome=fields["outcome"],
            retry_after_ms=fields.get("retry_after_ms") or retry_after_ms,
        )
    except (ValueError, KeyError, TypeError, AttributeError, ValidationError):
        pass
    unsure = response.status >= FIRST_SERVER_STATUS and not is_read
    return Failure(
        code=CODES_BY_STATUS.get(response.status, ErrorCode.PROTOCOL),
        step=step,
        peer=gateway,
        reason=f"status {response.status} without the documented error body",
        outcome=Outcome.UNKNOWN if unsure else Outcome.FAILED,
        retry_after_ms=retry_after_ms,
    )


def _name_peer(gateway, peer):
    return f"{peer} by way of {gateway}" if peer and peer != "local" else gateway


def _read_retry_after(text):
    try:
        return max(ceil(float(text) * 1000), 0)
    except (ValueError, OverflowError):
        return 0
