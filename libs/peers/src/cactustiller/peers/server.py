"""Server side: concurrent handling of requests on each connection."""

import asyncio

import structlog

from cactustiller.model import ErrorCode, Failure, FailureError, Outcome
from cactustiller.model.codec import Frame
from cactustiller.model.messages import PROTOCOL_VERSION, Hello
from cactustiller.serving import (
    RefusalReason,
    RefusedClient,
    listen_on,
    make_process_limits,
)

from .admission import IncomingFrame, PeerAdmission, PeerConnection
from .frames import (
    FrameError,
    close_writer,
    read_frame,
    read_length,
    read_message,
    write_frame,
)

LISTENER = "peers"
HELLO_TIMEOUT_SECONDS = 5.0
MAX_HELLO_BYTES = 4096
# From the length of a frame to its end, which 8 MB reach on a link of 10 Mbit/s.
FRAME_TIMEOUT_SECONDS = 10.0
MAX_PENDING_REQUESTS = 512
# A connection stops reading from its socket at twice this number of unread bytes.
STREAM_BYTES = 8192
WRITE_BUFFER_BYTES = 65_536

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
    limits : ListenerLimits, optional
        By default those of a machine of default size.
    report : callable, optional
        Called with a `RefusedClient`.
    """

    def __init__(self, identity, handle, traffic, limits=None, report=None):
        self._identity = identity
        self._handle = handle
        self._traffic = traffic
        self._limits = limits or make_process_limits().peers
        self._report = report or (lambda refused: None)
        self._server = None
        self._tasks = set()
        self._admission = None

    async def start(self, host, port, ssl_context=None):
        """Listen on an IP address and port."""
        loop = asyncio.get_running_loop()
        self._admission = PeerAdmission(self._limits, loop.time)

        def make_protocol():
            reader = asyncio.StreamReader(limit=STREAM_BYTES, loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        self._server = await listen_on(
            make_protocol, host, port, self._limits.max_connections, ssl_context
        )

    async def stop(self):
        """Stop listening and close every connection."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        host, port, *_ = writer.get_extra_info("peername") or ("unknown", 0)
        peer = f"{host}:{port}"

        def close(reason):
            self._report(RefusedClient(LISTENER, reason, peer, 0))
            writer.transport.abort()
            task.cancel()

        connection = PeerConnection(host, peer, close)
        self._admission.admit(connection)
        try:
            await self._serve_requests(reader, writer, connection)
        except FrameError as error:
            log.warning("peer_connection_closed", peer=peer, reason=str(error))
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            log.debug("peer_connection_ended", peer=peer)
        except asyncio.CancelledError:
            log.debug("peer_connection_cancelled", peer=peer)
        finally:
            self._admission.remove(connection)
            self._tasks.discard(task)
            await close_writer(writer)

    async def _serve_requests(self, reader, writer, connection):
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
            hello = (await read_frame(reader, self._traffic, MAX_HELLO_BYTES)).message
        check_hello(hello)
        self._admission.confirm(connection)
        write_frame(writer, Frame(0, True, self._identity), self._traffic)
        request_limit = asyncio.Semaphore(MAX_PENDING_REQUESTS)
        write_turn = asyncio.Lock()
        pending = set()
        try:
            while True:
                length = await read_length(reader)
                incoming = IncomingFrame(self._admission.memory, connection, length)
                frame = await self._receive(reader, incoming, length, connection)
                await request_limit.acquire()
                task = asyncio.create_task(
                    self._answer(frame, hello, writer, write_turn)
                )
                pending.add(task)

                def finish(task, incoming=incoming):
                    pending.discard(task)
                    incoming.release()
                    request_limit.release()

                task.add_done_callback(finish)
        finally:
            for task in pending:
                task.cancel()

    async def _receive(self, reader, incoming, length, connection):
        """Return the next frame; its memory stays accounted for."""
        try:
            if not incoming.receive():
                connection.drop(RefusalReason.MEMORY_FULL)
            async with asyncio.timeout(FRAME_TIMEOUT_SECONDS):
                frame = await read_message(reader, self._traffic, length)
            if not incoming.handle():
                connection.drop(RefusalReason.MEMORY_FULL)
                # Lets the cancellation that follows take effect.
                await asyncio.sleep(0)
            return frame
        except BaseException:
            incoming.release()
            raise

    async def _answer(self, frame, hello, writer, write_turn):
        try:
            # One request after another begins while the peer does not read replies.
            async with write_turn:
                await writer.drain()
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
