"""Clients that ignore the platform's limits, as a process of its own.

``python -m standins.crowds ADDRESS KIND COUNT SECONDS`` keeps COUNT connections open,
opens a closed one again for SECONDS seconds, then prints a line and holds what is open
until its standard input closes.
"""

import asyncio
import gzip
import itertools
import struct
import sys
from functools import cache

from cactustiller.model.codec import Frame, encode_frame
from cactustiller.model.messages import GetDesired, HandInJob, Hello

HEAD = (
    b"POST /jobs/%016x HTTP/1.1\r\nHost: queue.example\r\n"
    b"X-Credential: key-of-the-team\r\n"
)
BODY_BYTES = 262_144
PIECE_BYTES = 65_536
SMALL_PIECE_BYTES = 4096
LINE_BYTES = 4_000_000
HEAD_BYTES = 16_384
# Both fit into a row of 65,536 bytes.
LONG_TEXT = b"a" * 60_000
LONG_LIST = b",".join([b"0"] * 30_000)
FRAME_BYTES = 8 * 1024 * 1024
UNPACKED_BYTES = 100_000_000
RETURN_SECONDS = 0.05
SMALL_PIECE_SECONDS = 0.001

_ids = itertools.count(1)


def start_head():
    """Return the start of a request for a job of its own."""
    return HEAD % next(_ids)


def repeat(piece, size=PIECE_BYTES):
    """Yield a piece without end, about `size` bytes at a time."""
    block = piece * (size // len(piece))
    while True:
        yield block


def split(data, size):
    """Yield data in pieces."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def send_nothing():
    """Yield nothing."""
    yield from ()


def send_long_line():
    """Yield one header line far over the limit."""
    yield start_head() + b"X: "
    yield from split(b"a" * LINE_BYTES, PIECE_BYTES)


def send_endless_line():
    """Yield a header line that does not end."""
    yield start_head() + b"X: "
    yield from repeat(b"a")


def send_endless_lines():
    """Yield header lines that do not end."""
    yield start_head()
    yield from repeat(b"X: a\r\n")


def send_empty_lines():
    """Yield empty lines before a request, without end."""
    yield from repeat(b"\r\n")


def send_body(size=PIECE_BYTES):
    """Yield a request whose body is one byte short."""
    yield start_head() + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield from split(b" " * (BODY_BYTES - 1), size)


def send_body_pieces():
    """Yield a request whose body is one byte short, in small pieces."""
    yield from send_body(SMALL_PIECE_BYTES)


def send_chunks(size=32_768):
    """Yield a request whose chunked body lacks its last chunk."""
    yield start_head() + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (size, b" " * size)
    yield from split(chunk * (BODY_BYTES // size - 1), PIECE_BYTES)


def send_small_chunks():
    """Yield a request in chunks of one byte that lacks its last chunk."""
    yield from send_chunks(1)


def send_endless_chunks():
    """Yield a chunked body that does not end."""
    yield start_head() + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"1000\r\n" + b" " * 4096 + b"\r\n")


def send_endless_extension():
    """Yield a chunk extension that does not end."""
    yield start_head() + b"Transfer-Encoding: chunked\r\n\r\n1;x="
    yield from repeat(b"a")


def send_endless_trailer():
    """Yield trailer lines that do not end."""
    yield start_head() + b"Transfer-Encoding: chunked\r\n\r\n1\r\n \r\n0\r\n"
    yield from repeat(b"X: a\r\n")


@cache
def compress_body():
    """Return a body that unpacks to many times its size."""
    return gzip.compress(b" " * UNPACKED_BYTES, 9)


def send_compressed():
    """Yield requests whose bodies unpack to many times their size."""
    body = compress_body()
    while True:
        yield start_head() + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % (
            len(body)
        )
        yield from split(body, PIECE_BYTES)


def send_many_fields():
    """Yield requests of legal size with as many header lines as fit, without end."""
    while True:
        head = start_head()
        lines = b"a:\r\n" * ((HEAD_BYTES - len(head) - 64) // 4)
        yield head + lines + b"Content-Length: 2\r\n\r\n{}"


def send_pipelined():
    """Yield requests without end; their responses are not read."""
    yield from repeat(b"GET /jobs/ HTTP/1.1\r\nHost: queue.example\r\n\r\n")


def send_state_requests():
    """Yield requests for the states of unknown jobs; their responses are not read."""
    while True:
        yield start_head().replace(b"POST", b"GET") + b"\r\n"


def send_metrics_requests():
    """Yield requests for metrics without end; their responses are not read."""
    yield from repeat(b"GET /metrics HTTP/1.1\r\nHost: queue.example\r\n\r\n")


def send_frame():
    """Yield a frame of another daemon that is one byte short."""
    yield struct.pack("<I", FRAME_BYTES)
    yield from split(b"a" * (FRAME_BYTES - 1), PIECE_BYTES)


def encode_with_length(number, message):
    """Return a frame as daemons send it."""
    data = encode_frame(Frame(number, False, message))
    return struct.pack("<I", len(data)) + data


def start_as_peer():
    """Return the first frame of a client that claims to be another daemon."""
    return encode_with_length(0, Hello(member="stranger", role="cell", zone="z"))


def send_frame_as_peer():
    """Yield the first frame of a daemon, and one that is one byte short."""
    yield start_as_peer()
    yield from send_frame()


def send_calls_as_peer():
    """Yield requests of a daemon without end; their replies are not read."""
    yield start_as_peer()
    job = HandInJob(job="0", row="a" * SMALL_PIECE_BYTES)
    calls = [encode_with_length(n, m) for n, m in enumerate((job, GetDesired()), 1)]
    yield from repeat(b"".join(calls))


def encode_submission(body):
    """Return the submission of a job."""
    return start_head() + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def send_large_jobs():
    """Yield jobs with as many tasks as one may have, without end."""
    while True:
        yield encode_submission(
            b'{"Steps":[{"Count":2000,"Cpu":1000,"MemMb":10,"EstimateMs":200}]}'
        )


def send_jobs_with_long_texts():
    """Yield small jobs whose texts nearly fill a row of the store, without end."""
    while True:
        yield encode_submission(
            b'{"Steps":[{"Count":1,"Cpu":1000,"MemMb":10,"Image":"%b"}]}' % LONG_TEXT
        )


def send_jobs_with_long_lists():
    """Yield jobs of two steps, one of which follows the other many times over."""
    while True:
        yield encode_submission(
            b'{"Steps":[{"Count":1,"Cpu":1000},{"Count":1,"After":[%b]}]}' % LONG_LIST
        )


def send_recurring_job():
    """Yield a job of many tasks whose occurrences are all due at once."""
    yield encode_submission(
        b'{"Steps":[{"Count":100,"Cpu":1000,"MemMb":10}],"RepeatCount":1000000}'
    )


KINDS = {
    "nothing": send_nothing,
    "long-line": send_long_line,
    "endless-line": send_endless_line,
    "endless-lines": send_endless_lines,
    "empty-lines": send_empty_lines,
    "body": send_body,
    "body-pieces": send_body_pieces,
    "chunks": send_chunks,
    "small-chunks": send_small_chunks,
    "endless-chunks": send_endless_chunks,
    "endless-extension": send_endless_extension,
    "endless-trailer": send_endless_trailer,
    "compressed": send_compressed,
    "many-fields": send_many_fields,
    "pipelined": send_pipelined,
    "metrics": send_metrics_requests,
    "unknown-states": send_state_requests,
    "frame": send_frame,
    "frame-as-peer": send_frame_as_peer,
    "calls-as-peer": send_calls_as_peer,
    "large-jobs": send_large_jobs,
    "long-texts": send_jobs_with_long_texts,
    "long-lists": send_jobs_with_long_lists,
    "recurring-job": send_recurring_job,
}


class Client(asyncio.Protocol):
    """One connection that sends pieces and reads no response.

    Parameters
    ----------
    pieces : iterator of bytes
    on_close : callable
    """

    def __init__(self, pieces, on_close):
        self._pieces = pieces
        self._on_close = on_close
        self._transport = None
        self._is_paused = False

    def connection_made(self, transport):
        """Start to send."""
        self._transport = transport
        transport.pause_reading()
        self._send()

    def pause_writing(self):
        """Wait until the server reads."""
        self._is_paused = True

    def resume_writing(self):
        """Go on."""
        self._is_paused = False
        self._send()

    def connection_lost(self, error):
        """Report the end."""
        self._transport = None
        self._on_close()

    def _send(self):
        if self._is_paused or self._transport is None:
            return
        piece = next(self._pieces, None)
        if piece is None:
            # Reads, to notice that the server closes the connection.
            self._transport.resume_reading()
            return
        self._transport.write(piece)
        loop = asyncio.get_running_loop()
        if not self._is_paused:
            loop.call_later(SMALL_PIECE_SECONDS, self._send)


async def keep_client(host, port, make_pieces, until):
    """Keep one connection until a loop time; it then stays as it is."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        closed = loop.create_future()

        def close(closed=closed):
            if not closed.done():
                closed.set_result(None)

        try:
            async with asyncio.timeout(max(0.0, until - loop.time())):
                await loop.create_connection(
                    lambda close=close: Client(make_pieces(), close), host, port
                )
                await closed
        except (OSError, TimeoutError):
            pass
        await asyncio.sleep(RETURN_SECONDS)


async def run_crowd(address, kind, count, seconds):
    """Run all clients, then hold their connections until the input closes."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    await asyncio.gather(
        *(keep_client(host, int(port), KINDS[kind], until) for _ in range(count))
    )
    print("done", flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main():
    """Run the command line."""
    address, kind, count, seconds = sys.argv[1:]
    asyncio.run(run_crowd(address, kind, int(count), float(seconds)))


if __name__ == "__main__":
    main()
