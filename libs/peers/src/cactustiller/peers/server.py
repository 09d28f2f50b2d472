"""Server side: concurrent handling of requests on each connection."""

import asyncio

import structlog

from cactustiller.model import ErrorCode, Failure, FailureError, Outcome
from cactustiller.model.codec import Frame
from cactustiller.model.messages import PROTOCOL_VERSION, Hello

from .frames import FrameError, close_writer, read_frame, write_frame

HELLO_TIMEOUT_SECONDS = 5.0
MAX_PENDING_REQUESTS = 512

log = structlog.get_logger(__name__)


class PeerServer:
    """Answers requests of peers over one listening socket.

    Parameters
    ----------
    identity : Hello
        First message sent to each peer.
    handle : callable
        Coroutine function of a message and the peer's `Hello` that returns the
        reply, which may be a `Failure`.
    traffic : Traffic
        Counters to update.
    """

    def __init__(self, identity, handle, traffic):
        self._identity = identity
        self._handle = handle
        self._traffic = traffic
        self._server = None
        self._connections = set()

    async def start(self, host, port, ssl_context=None):
        """Listen on an IP address and port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, ssl=ssl_context
        )

    async def stop(self):
        """Stop listening and close every connection."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        address = writer.get_extra_info("peername")
        peer = f"{address[0]}:{address[1]}" if address else "unknown"
        try:
            await self._serve_requests(reader, writer, peer)
        except FrameError as error:
            log.warning("peer_connection_closed", peer=peer, reason=str(error))
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            log.debug("peer_connection_ended", peer=peer)
        except asyncio.CancelledError:
            log.debug("peer_connection_cancelled", peer=peer)
        finally:
            self._connections.discard(task)
            await close_writer(writer)

    async def _serve_requests(self, reader, writer, peer):
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            hello = (await read_frame(reader, self._traffic)).message
        check_hello(hello)
        write_frame(writer, Frame(0, True, self._identity), self._traffic)
        request_limit = asyncio.Semaphore(MAX_PENDING_REQUESTS)
        pending = set()
        try:
            while True:
                frame = await read_frame(reader, self._traffic)
                await request_limit.acquire()
                task = asyncio.create_task(
                    self._answer(frame, hello, writer, request_limit)
                )
                pending.add(task)
                task.add_done_callback(pending.discard)
        finally:
            for task in pending:
                task.cancel()

    async def _answer(self, frame, hello, writer, request_limit):
        try:
            reply = await self._handle_safely(frame.message, hello)
            try:
                write_frame(writer, Frame(frame.id, True, reply), self._traffic)
            except FrameError as error:
                step = f"reply to {type(frame.message).__name__}"
                log.error("peer_request_failed", peer=hello.member, step=step)
                reply = _fail_unexpected(step, str(error))
                write_frame(writer, Frame(frame.id, True, reply), self._traffic)
            await writer.drain()
        except OSError:
            log.debug("peer_reply_lost", peer=hello.member)
        finally:
            request_limit.release()

    async def _handle_safely(self, message, hello):
        try:
            return await self._handle(message, hello)
        except FailureError as error:
            return error.failure
        except Exception as error:
            log.exception("peer_request_failed", peer=hello.member)
            reason = f"{type(error).__name__}: {error}"
            return _fail_unexpected(f"handle {type(message).__name__}", reason)


def check_hello(message):
    """Check the first frame of a peer.

    Raises
    ------
    FrameError
        If it is not a `Hello` or has another protocol version.
    """
    if not isinstance(message, Hello):
        raise FrameError(f"expected Hello, got {type(message).__name__}")
    if message.protocol_version != PROTOCOL_VERSION:
        raise FrameError(
            f"protocol version {message.protocol_version}, expected {PROTOCOL_VERSION}"
        )


def _fail_unexpected(step, reason):
    return Failure(
        code=ErrorCode.PROTOCOL, step=step, reason=reason, outcome=Outcome.UNKNOWN
    )
