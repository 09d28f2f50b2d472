"""Framing of HTTP/1.1 requests on one connection, within the limits of a client.

Holds the bytes of one request until it is complete. Only then does the HTTP library
parse it, whose parser keeps many times the received bytes and limits single lines but
no whole request.
"""

import re

from .chunks import ChunkDecoder, FramingError
from .refusals import RefusalReason

HEAD_END = b"\r\n\r\n"
EMPTY_LINES = re.compile(rb"(?:\r\n)*")
MAX_REQUEST_LINE_BYTES = 4096
METHODS = frozenset({b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"})
VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}")
# Fields that the framed request does not have: its body has a known length, and no
# other protocol is spoken.
DROPPED_FIELDS = frozenset({b"content-length", b"transfer-encoding", b"upgrade"})


class Head:
    """Head of one request, as far as it concerns the framing.

    Parameters
    ----------
    data : bytes
        Request line and header lines, without the empty line.

    Attributes
    ----------
    lines : list of bytes
        Without the fields in `DROPPED_FIELDS`.
    length : int or None
        Content-Length; None if the request has none.
    is_chunked : bool

    Raises
    ------
    FramingError
        If it is malformed, or its body has an encoding that is not supported.
    """

    __slots__ = ("is_chunked", "length", "lines")

    def __init__(self, data):
        request_line, *lines = data.split(b"\r\n")
        _check_request_line(request_line)
        self.lines = [request_line]
        lengths, codings = set(), []
        for line in lines:
            name, separator, value = line.partition(b":")
            # A line that starts with a space continues the one before it, which is
            # obsolete and read differently by different servers.
            if not separator or not name or name != name.strip():
                raise FramingError(RefusalReason.MALFORMED)
            field, value = name.lower(), value.strip(b" \t")
            if field == b"content-length":
                lengths.add(value)
            elif field == b"transfer-encoding":
                codings.append(value.lower())
            elif field == b"content-encoding" and value.lower() not in (
                b"",
                b"identity",
            ):
                raise FramingError(RefusalReason.ENCODING_UNSUPPORTED)
            if field not in DROPPED_FIELDS:
                self.lines.append(line)
        self.length, self.is_chunked = _choose_framing(lengths, codings)


class RequestFramer:
    """Collects the bytes of the requests on one connection, one request at a time.

    Attributes
    ----------
    is_complete : bool
        Whether `take` may be called.
    """

    def __init__(self):
        self.clear()

    @property
    def held_bytes(self):
        """Size of what has been received and not been taken."""
        return self._head_bytes + len(self._input) + len(self._body)

    @property
    def has_begun(self):
        """Whether a byte of the current request has arrived, besides empty lines."""
        return self._head is not None or bool(self._input)

    @property
    def has_head(self):
        """Whether the head of the current request is complete."""
        return self._head is not None

    @property
    def line_count(self):
        """Number of lines of the complete head."""
        return len(self._head.lines)

    @property
    def body_bytes(self):
        """Size of the body as far as it has been received."""
        return len(self._body)

    def feed(self, data, limits):
        """Add received bytes.

        Parameters
        ----------
        data : bytes-like
        limits : ClientLimits

        Raises
        ------
        FramingError
            If the request is refused.
        """
        self._input += data
        if self.is_complete:
            return
        if self._head is None and not self._read_head(limits):
            return
        if self._chunks is not None:
            del self._input[: self._chunks.read(self._input)]
            self.is_complete = self._chunks.is_complete
        else:
            missing = (self._head.length or 0) - len(self._body)
            self._body += self._input[:missing]
            del self._input[:missing]
            self.is_complete = len(self._body) == (self._head.length or 0)

    def take(self):
        """Return the complete request as bytes; `feed` continues with the next one."""
        lines = self._head.lines
        if self._chunks is not None or self._head.length is not None:
            lines.append(b"Content-Length: %d" % len(self._body))
        request = b"\r\n".join([*lines, b"", self._body])
        self._start_request()
        return request

    def clear(self):
        """Forget everything that has been received."""
        self._input = bytearray()
        self._start_request()

    def _start_request(self):
        # Head of the current request, None until it is complete.
        self._head = self._chunks = None
        self._body = bytearray()
        self._head_bytes = 0
        # Empty lines before the request line are skipped but counted.
        self._empty_bytes = 0
        self.is_complete = False

    def _read_head(self, limits):
        """Read the head; return whether it is complete."""
        empty = EMPTY_LINES.match(self._input).end()
        self._empty_bytes += empty
        del self._input[:empty]
        limit = MAX_REQUEST_LINE_BYTES + limits.max_head_bytes
        end = self._input.find(HEAD_END)
        size = end + len(HEAD_END) if end >= 0 else len(self._input)
        if self._empty_bytes + size > limit:
            raise FramingError(RefusalReason.HEAD_TOO_LARGE)
        if end < 0:
            return False
        head = bytes(self._input[:end])
        line_end = head.find(b"\r\n")
        line_bytes = line_end if line_end >= 0 else end
        if line_bytes > MAX_REQUEST_LINE_BYTES or end - line_bytes > (
            limits.max_head_bytes
        ):
            raise FramingError(RefusalReason.HEAD_TOO_LARGE)
        self._head = Head(head)
        self._head_bytes = size
        del self._input[:size]
        if self._head.is_chunked:
            self._chunks = ChunkDecoder(
                self._body, limits.max_body_bytes, limits.max_head_bytes
            )
        elif (self._head.length or 0) > limits.max_body_bytes:
            raise FramingError(RefusalReason.BODY_TOO_LARGE)
        return True


def _check_request_line(line):
    parts = line.split(b" ")
    if len(parts) != 3 or not parts[1] or parts[2] not in VERSIONS:
        raise FramingError(RefusalReason.MALFORMED)
    if parts[0] not in METHODS:
        raise FramingError(RefusalReason.METHOD_UNSUPPORTED)


def _choose_framing(lengths, codings):
    """Return the length of the body or None, and whether it is chunked."""
    if codings:
        if codings != [b"chunked"] or lengths:
            raise FramingError(RefusalReason.MALFORMED)
        return None, True
    if not lengths:
        return None, False
    (value, *others) = lengths
    if others or not LENGTH_PATTERN.fullmatch(value):
        raise FramingError(RefusalReason.MALFORMED)
    return int(value), False
