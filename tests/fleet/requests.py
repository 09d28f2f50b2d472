"""Encoded requests of one ordinary caller, and their responses."""

import asyncio

import orjson

from standins.fleet.processes import HOST, KEY, PREFIX, make_body

RESPONSE_SECONDS = 30.0


def make_head(job, *lines, method="POST"):
    """Return the head of a request, without the empty line."""
    return "\r\n".join(
        [
            f"{method} {PREFIX}{job} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Credential: {KEY}",
            "Connection: close",
            *lines,
        ]
    ).encode()


def make_request(job, *lines, body=None):
    """Return a submission with a known length."""
    body = orjson.dumps(make_body()) if body is None else body
    head = make_head(job, *lines, f"Content-Length: {len(body)}")
    return head + b"\r\n\r\n" + body


def make_chunked_request(job, body, chunk_bytes):
    """Return a submission in chunks."""
    pieces = [make_head(job, "Transfer-Encoding: chunked"), b"\r\n\r\n"]
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        pieces.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join([*pieces, b"0\r\n\r\n"])


def pad_body(size):
    """Return the body of an ordinary submission, padded with spaces."""
    return orjson.dumps(make_body()).ljust(size)


async def send(address, data):
    """Send bytes; return the status and the head of the response, or 0 without one."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(RESPONSE_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            response = await reader.read()
        except ConnectionError:
            response = b""
        finally:
            writer.close()
    head = response.partition(b"\r\n\r\n")[0].decode()
    return (int(head.split()[1]) if head else 0), head
