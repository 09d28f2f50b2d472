"""Decoder of the chunked transfer coding (RFC 9112, section 7.1)."""

import re
from enum import Enum

from .refusals import RefusalReason

LINE_END = b"\r\n"
# Size line of a chunk, with the extension that it may have.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
MAX_SIZE_LINE_BYTES = 256


class FramingError(ValueError):
    """Raised for a request that is refused because of its framing.

    Parameters
    ----------
    reason : RefusalReason
    """

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason


class _State(Enum):
    SIZE = "size"
    DATA = "data"
    TRAILER = "trailer"
    END = "end"


class ChunkDecoder:
    """Removes the framing of a chunked body and drops its trailer.

    Parameters
    ----------
    body : bytearray
        Receives the decoded bytes.
    max_body_bytes, max_trailer_bytes : int
    """

    def __init__(self, body, max_body_bytes, max_trailer_bytes):
        self._body = body
        self._max_body_bytes = max_body_bytes
        self._trailer_bytes_left = max_trailer_bytes
        self._state = _State.SIZE
        # Bytes of the current chunk that are missing.
        self._missing = 0

    @property
    def is_complete(self):
        """Whether the last chunk and the trailer have been read."""
        return self._state is _State.END

    def read(self, data):
        """Decode received bytes; return how many were used.

        Unused bytes are passed again with those that follow them, except once the body
        is complete.

        Parameters
        ----------
        data : bytearray

        Raises
        ------
        FramingError
        """
        position = 0
        while self._state is not _State.END:
            if self._state is _State.SIZE:
                position = self._read_whole_chunks(data, position)
                after = self._read_size(data, position)
            elif self._state is _State.DATA:
                after = self._read_data(data, position)
            else:
                after = self._read_trailer(data, position)
            if after is None:
                break
            position = after
        return position

    def _read_whole_chunks(self, data, position):
        """Decode the chunks that have arrived as a whole; return the position after.

        Leaves the last chunk, and whatever is malformed or too large, to the others.
        """
        body, room = self._body, self._max_body_bytes - len(self._body)
        while True:
            match = SIZE_LINE.match(data, position)
            size = int(match[1], 16) if match else 0
            if not 0 < size <= room:
                return position
            start = match.end()
            end = start + size
            if data[end : end + len(LINE_END)] != LINE_END:
                return position
            body += data[start:end]
            room -= size
            position = end + len(LINE_END)

    def _read_size(self, data, position):
        match = SIZE_LINE.match(data, position)
        if match is None:
            is_too_long = len(data) - position > MAX_SIZE_LINE_BYTES
            if is_too_long or data.find(b"\n", position) >= 0:
                raise FramingError(RefusalReason.MALFORMED)
            return None
        size = int(match[1], 16)
        if size == 0:
            self._state = _State.TRAILER
        else:
            if len(self._body) + size > self._max_body_bytes:
                raise FramingError(RefusalReason.BODY_TOO_LARGE)
            self._state = _State.DATA
            self._missing = size
        return match.end()

    def _read_data(self, data, position):
        if self._missing:
            end = min(len(data), position + self._missing)
            self._body += data[position:end]
            self._missing -= end - position
            return end if end > position else None
        end = position + len(LINE_END)
        if len(data) < end:
            return None
        if data[position:end] != LINE_END:
            raise FramingError(RefusalReason.MALFORMED)
        self._state = _State.SIZE
        return end

    def _read_trailer(self, data, position):
        end = data.find(LINE_END, position)
        length = (end if end >= 0 else len(data)) - position
        if length + len(LINE_END) > self._trailer_bytes_left:
            raise FramingError(RefusalReason.HEAD_TOO_LARGE)
        if end < 0:
            return None
        if length == 0:
            self._state = _State.END
        self._trailer_bytes_left -= length + len(LINE_END)
        return end + len(LINE_END)
