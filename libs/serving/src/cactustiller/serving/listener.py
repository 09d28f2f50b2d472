"""One listening address for HTTP, with the limits of its clients."""

import asyncio
import logging

from aiohttp import web

from .connection import LARGE_READ_BYTES, ClientConnection
from .connections import ConnectionTable, Phase
from .framing import MAX_REQUEST_LINE_BYTES
from .lanes import ReadLane
from .memory import RequestMemory
from .refusals import RefusalReason
from .sockets import listen_on

SWEEP_SECONDS = 1.0
# Longer than any connection is idle; `ClientLimits.idle_seconds` closes it before.
LIBRARY_KEEP_ALIVE_SECONDS = 3600.0
# Above any `ClientLimits.max_head_bytes`, which bounds the head before.
LIBRARY_MAX_HEAD_BYTES = 1_048_576
# A refused client has this long to read its response.
LINGER_SECONDS = 1.0


class HttpListener:
    """Serves HTTP on one address and bounds what its clients make the process keep.

    Parameters
    ----------
    name : str
        Name of the address in logs and metrics.
    handle : callable
        Coroutine function of an `aiohttp.web.BaseRequest` that returns the response.
    limits : ListenerLimits
    read_limits : callable
        Returns the `ClientLimits` in force.
    report : callable
        Called with a `RefusedClient`.
    report_error : callable
        Called with the text of an error in the HTTP library or the handler.
    """

    def __init__(self, name, handle, limits, read_limits, report, report_error):
        loop = asyncio.get_running_loop()
        self.name = name
        self.read_limits = read_limits
        self.report = report
        self.time = loop.time
        self.connections = ConnectionTable(limits.max_connections, loop.time)
        self.memory = RequestMemory(limits.max_memory_bytes)
        self.lane = ReadLane()
        self.read_buffer = memoryview(bytearray(LARGE_READ_BYTES))
        self._web = web.Server(
            _make_handler(handle),
            access_log=None,
            logger=_make_logger(report_error),
            auto_decompress=False,
            keepalive_timeout=LIBRARY_KEEP_ALIVE_SECONDS,
            max_line_size=MAX_REQUEST_LINE_BYTES,
            max_field_size=LIBRARY_MAX_HEAD_BYTES,
            max_headers=LIBRARY_MAX_HEAD_BYTES,
        )
        self.make_protocol = self._web
        self._server = None
        self._sweep = None

    async def open(self, host, port):
        """Listen; raises OSError if the address can't be used."""
        self._server = await listen_on(
            lambda: ClientConnection(self), host, port, self.connections.max_connections
        )

    @property
    def port(self):
        """Port of the address."""
        return self._server.sockets[0].getsockname()[1]

    async def close(self, handler_seconds):
        """Stop listening, and close each connection once its request is answered.

        Parameters
        ----------
        handler_seconds : float
            Time for requests that a handler has.
        """
        self._server.close()
        if self._sweep is not None:
            self._sweep.cancel()
        for phase in (Phase.IDLE, Phase.RECEIVING, Phase.STALLED):
            for connection in self.connections.list_phase(phase):
                connection.close_if_unused()
        await asyncio.sleep(0)
        self._web.pre_shutdown()
        await self._web.shutdown(handler_seconds)
        for phase in Phase:
            for connection in self.connections.list_phase(phase):
                connection.abort()

    def admit(self, connection):
        """Add a connection; return whether there is room for it."""
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(
                SWEEP_SECONDS, self._run_sweep
            )
        return self.connections.admit(connection)

    def _run_sweep(self):
        """Close the connections whose clients have been silent for too long."""
        limits, connections = self.read_limits(), self.connections
        for connection in connections.list_phase(Phase.RECEIVING):
            connection.check_timeouts(limits)
        for connection in connections.list_expired(Phase.IDLE, limits.idle_seconds):
            connection.close_if_unused()
        for connection in connections.list_expired(Phase.STALLED, limits.idle_seconds):
            connection.drop(RefusalReason.RESPONSE_UNREAD)
        for connection in connections.list_expired(Phase.CLOSING, LINGER_SECONDS):
            connection.drop(RefusalReason.RESPONSE_UNREAD)
        self._sweep = None
        if len(connections):
            self._sweep = asyncio.get_running_loop().call_later(
                SWEEP_SECONDS, self._run_sweep
            )


def _make_handler(handle):
    """Return a handler that tells its connection when it begins and ends."""

    async def handle_request(request):
        transport = request.transport
        connection = None if transport is None else transport.get_protocol()
        if connection is None:
            return await handle(request)
        connection.start_handler()
        try:
            return await handle(request)
        finally:
            connection.finish_handler()

    return handle_request


class _ErrorHandler(logging.Handler):
    """Passes the messages of the HTTP library on."""

    def __init__(self, report_error):
        super().__init__()
        self._report_error = report_error

    def emit(self, record):
        error = record.exc_info[1] if record.exc_info else None
        self._report_error(f"{record.getMessage()}: {error!r}")


def _make_logger(report_error):
    logger = logging.Logger("serving")
    logger.addHandler(_ErrorHandler(report_error))
    return logger
