"""Why a client is refused, and the response that it gets."""

from enum import Enum
from http import HTTPStatus
from typing import NamedTuple

RETRY_AFTER_SECONDS = 1


class RefusalReason(Enum):
    """Reason for which a request is refused or a connection is closed.

    A request that is refused for one of these reasons has not reached a handler.
    """

    HEAD_TOO_LARGE = "headTooLarge"
    BODY_TOO_LARGE = "bodyTooLarge"
    MALFORMED = "malformed"
    METHOD_UNSUPPORTED = "methodUnsupported"
    ENCODING_UNSUPPORTED = "encodingUnsupported"
    REQUEST_TIMEOUT = "requestTimeout"
    MEMORY_FULL = "memoryFull"
    CONNECTIONS_FULL = "connectionsFull"
    RESPONSE_UNREAD = "responseUnread"


STATUSES = {
    RefusalReason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalReason.METHOD_UNSUPPORTED: HTTPStatus.METHOD_NOT_ALLOWED,
    RefusalReason.ENCODING_UNSUPPORTED: HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
    # Tells that the request has not run and may be sent again; 408 would not.
    RefusalReason.REQUEST_TIMEOUT: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.MEMORY_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.CONNECTIONS_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
}


class RefusedClient(NamedTuple):
    """One refusal, for the log and the metrics.

    Attributes
    ----------
    listener : str
        Name of the listening address.
    peer : str
        ``ip:port`` of the client.
    held_bytes : int
        Memory that the client's request held.
    has_run : bool
        Whether a handler had already processed the request.
    """

    listener: str
    reason: RefusalReason
    peer: str
    held_bytes: int
    has_run: bool = False


def make_response(reason):
    """Return the encoded response of a refusal; it closes the connection."""
    status = STATUSES[reason]
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        "Content-Length: 2",
        "Connection: close",
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {RETRY_AFTER_SECONDS}")
    return ("\r\n".join(lines) + "\r\n\r\n{}").encode()
