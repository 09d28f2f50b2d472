"""Client side: one multiplexed connection per peer, opened on demand."""

import asyncio
import itertools

import structlog
from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome
from cactustiller.model.codec import Frame

from .frames import FrameError, close_writer, read_frame, write_frame
from .server import HELLO_TIMEOUT_SECONDS, check_hello

CONNECT_TIMEOUT_SECONDS = 1.0
# A connection counts as silent if a caller gives up and nothing arrived for this long
# since the first unanswered request. Replies usually take milliseconds.
SILENCE_SECONDS = 0.5

log = structlog.get_logger(__name__)


def _make_failure(code, step, address, reason, outcome):
    return Err(
        Failure(code=code, step=step, peer=address, reason=reason, outcome=outcome)
    )


class _Connection:
    """Open connection and the requests that await a reply on it.

    A network may stop transferring data without closing its connections, although new
    ones work. `is_open` is False once a connection seems to be silent, so that further
    calls open another one. Calls that are pending can still complete.
    """

    def __init__(self, address, reader, writer, traffic):
        self.address = address
        self.is_open = True
        self._reader = reader
        self._writer = writer
        self._traffic = traffic
        self._ids = itertools.count(1)
        self._pending = {}
        # Loop time of the first request since the last reply; None if there is none.
        self._unanswered_since = None
        self._task = asyncio.create_task(self._read_replies())

    async def call(self, message):
        """Return the reply to a request, ``None`` if the connection closes first."""
        request_id = next(self._ids)
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._pending[request_id] = future
        try:
            write_frame(self._writer, Frame(request_id, False, message), self._traffic)
            if self._unanswered_since is None:
                self._unanswered_since = loop.time()
            await self._writer.drain()
            return await future
        except OSError:
            return None
        except asyncio.CancelledError:
            # Raised for timeouts, too.
            self._check_silence(loop.time())
            raise
        finally:
            self._pending.pop(request_id, None)
            self._close_if_unused()

    async def close(self):
        """Close the connection; pending calls return ``None``."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _check_silence(self, now):
        """Stop using the connection for new calls if nothing arrives on it."""
        if self._unanswered_since is None or not self.is_open:
            return
        seconds = now - self._unanswered_since
        if seconds < SILENCE_SECONDS:
            return
        self.is_open = False
        log.warning(
            "peer_connection_silent",
            peer=self.address,
            seconds=round(seconds, 3),
            pending=len(self._pending) - 1,
        )

    def _close_if_unused(self):
        """Close a connection that takes no new calls once the last one has ended."""
        if not self.is_open and not self._pending:
            # A silent peer would never take what is left in the buffer.
            self._writer.transport.abort()
            self._task.cancel()

    async def _read_replies(self):
        try:
            while True:
                frame = await read_frame(self._reader, self._traffic)
                self._unanswered_since = None
                self._deliver(frame)
        except FrameError as error:
            log.warning("peer_connection_closed", peer=self.address, reason=str(error))
        except (asyncio.IncompleteReadError, OSError):
            log.debug("peer_connection_ended", peer=self.address)
        finally:
            self.is_open = False
            for future in self._pending.values():
                if not future.done():
                    future.set_result(None)
            await close_writer(self._writer)

    def _deliver(self, frame):
        future = self._pending.get(frame.id)
        if future is None or future.done():
            self._traffic.late_replies += 1
            return
        future.set_result(frame.message)


class PeerClient:
    """Sends requests to peers by address.

    Parameters
    ----------
    identity : Hello
        First message sent on each connection.
    traffic : Traffic
        Counters to update.
    ssl_context : ssl.SSLContext, optional
        TLS settings of every connection; plain TCP without them.
    """

    def __init__(self, identity, traffic, ssl_context=None):
        self._identity = identity
        self._traffic = traffic
        self._ssl_context = ssl_context
        self._connections = {}
        self._locks = {}

    async def call(self, address, message, timeout_seconds=2.0):
        """Send a request and return ``Ok(reply)`` or ``Err(Failure)``.

        The failure's outcome is `NOT_RUN` only if the request was not sent, or if
        the peer itself reports so.
        """
        step = f"call {type(message).__name__}"
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)):
                connection = await self._connect(address)
        except (
            OSError,
            OverflowError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as error:
            reason = f"cannot connect: {error or type(error).__name__}"
            return _make_failure(
                ErrorCode.UNAVAILABLE, step, address, reason, Outcome.NOT_RUN
            )
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await connection.call(message)
        except TimeoutError:
            reason = f"no reply within {timeout_seconds} s"
            return _make_failure(
                ErrorCode.TIMEOUT, step, address, reason, Outcome.UNKNOWN
            )
        except FrameError as error:
            return _make_failure(
                ErrorCode.INVALID, step, address, str(error), Outcome.NOT_RUN
            )
        if reply is None:
            reason = "connection closed before the reply"
            return _make_failure(
                ErrorCode.UNAVAILABLE, step, address, reason, Outcome.UNKNOWN
            )
        if isinstance(reply, Failure):
            return Err(reply)
        return Ok(reply)

    async def close(self):
        """Close every connection."""
        for connection in list(self._connections.values()):
            await connection.close()
        self._connections.clear()

    async def _connect(self, address):
        lock = self._locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and connection.is_open:
                return connection
            connection = await self._open(address)
            self._connections[address] = connection
            return connection

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), ssl=self._ssl_context
        )
        try:
            write_frame(writer, Frame(0, False, self._identity), self._traffic)
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                check_hello((await read_frame(reader, self._traffic)).message)
        except BaseException:
            writer.close()
            raise
        return _Connection(address, reader, writer, self._traffic)
