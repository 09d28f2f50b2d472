"""Requests, holders of memory and connections for the tests of admission."""

from cactustiller.serving import ClientLimits

LIMITS = ClientLimits(max_head_bytes=512, max_body_bytes=1024)


def encode_request(body=b"", lines=(), chunks=()):
    """Return a request with a body of known length, or in chunks of given sizes."""
    head = [b"POST /a HTTP/1.1", b"Host: a", *lines]
    if not chunks:
        head.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join([*head, b"", body])
    return b"\r\n".join([*head, b"Transfer-Encoding: chunked", b"", b""]) + (
        encode_chunks(body, chunks)
    )


def encode_chunks(body, sizes):
    """Return a body in the chunked coding; the last size is used again."""
    pieces, position, sizes = [], 0, list(sizes)
    while position < len(body):
        size = sizes.pop(0) if len(sizes) > 1 else sizes[0]
        chunk = body[position : position + size]
        pieces.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        position += len(chunk)
    return b"".join([*pieces, b"0\r\n\r\n"])


def split_at(data, sizes):
    """Return the pieces of data; the last size is used again."""
    pieces, sizes = [], list(sizes)
    while data:
        size = sizes.pop(0) if len(sizes) > 1 else sizes[0]
        pieces.append(data[:size])
        data = data[size:]
    return pieces


class Holder:
    """Holder of memory, or connection, that records why it was dropped."""

    def __init__(self, on_drop=lambda holder: None):
        self.reasons = []
        self._on_drop = on_drop

    def drop(self, reason):
        self.reasons.append(reason)
        self._on_drop(self)


class FakeTransport:
    """Transport that records whether its protocol reads."""

    def __init__(self, protocol):
        self.protocol = protocol
        self.is_reading = True

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        pass

    def is_closing(self):
        return False

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def abort(self):
        pass


def receive(connection, data):
    """Pass received bytes to a protocol with a buffer; return how many it took."""
    buffer = connection.get_buffer(len(data))
    size = min(len(buffer), len(data))
    buffer[:size] = data[:size]
    connection.buffer_updated(size)
    return size
