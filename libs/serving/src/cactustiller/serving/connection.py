"""One client's connection, in front of the protocol of the HTTP library."""

import asyncio

from .chunks import FramingError
from .connections import Phase
from .framing import RequestFramer
from .refusals import STATUSES, RefusalReason, RefusedClient, make_response

# Bytes that are read at a time, at first and once a request turns out to be large.
FIRST_READ_BYTES = 4096
LARGE_READ_BYTES = 8192
# Bytes of further requests that are kept while a handler has one.
MAX_PIPELINED_BYTES = 8192
# A response of which so much is unsent stalls the connection.
WRITE_BUFFER_BYTES = 16_384
# Memory of a request while a handler has it: its objects, those of a header line, and
# the copies of a byte of its body: received, decoded, and as a row to be stored.
REQUEST_BYTES = 8192
HEADER_LINE_BYTES = 512
BODY_COPIES = 10


class ClientConnection(asyncio.BufferedProtocol):
    """Passes complete requests within the limits on to the HTTP library.

    Parameters
    ----------
    listener : HttpListener
    """

    def __init__(self, listener):
        self._listener = listener
        self._framer = RequestFramer()
        self._transport = None
        # Protocol of the HTTP library, made for the first complete request.
        self._inner = None
        self._phase = Phase.RECEIVING
        self._is_handler_running = self._is_write_paused = False
        self._began_at = self._last_byte_at = 0.0
        # Bytes of the current request as received, with the framing of its chunks.
        self._received_bytes = 0
        self.peer = "unknown"

    # Interface that the event loop uses

    def connection_made(self, transport):
        """Accept the connection if the listening address has room for it."""
        self._transport = transport
        address = transport.get_extra_info("peername")
        if address:
            self.peer = f"{address[0]}:{address[1]}"
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._began_at = self._last_byte_at = self._listener.time()
        if not self._listener.admit(self):
            self._report(RefusalReason.CONNECTIONS_FULL)
            transport.abort()

    def get_buffer(self, size_hint):
        """Return the buffer for the next read; all connections share it."""
        is_large = self._received_bytes >= FIRST_READ_BYTES
        size = LARGE_READ_BYTES if is_large else FIRST_READ_BYTES
        return self._listener.read_buffer[:size]

    def buffer_updated(self, size):
        """Process received bytes."""
        if self._phase is Phase.CLOSING:
            self._listener.lane.defer(self)
            return
        self._last_byte_at = self._listener.time()
        if not self._framer.has_begun:
            self._began_at = self._last_byte_at
            self._received_bytes = 0
        self._received_bytes += size
        self._feed(self._listener.read_buffer[:size])

    def eof_received(self):
        """Close the connection, as the client does."""
        return False

    def pause_writing(self):
        """Read no further request while the client does not read its responses."""
        self._is_write_paused = True
        if self._inner is not None:
            self._inner.pause_writing()
        if self._phase is Phase.IDLE:
            self._set_phase(Phase.STALLED)

    def resume_writing(self):
        """Continue with the next request."""
        self._is_write_paused = False
        if self._inner is not None:
            self._inner.resume_writing()
        if self._phase is Phase.STALLED:
            self._set_phase(Phase.IDLE)
            self._continue()

    def connection_lost(self, error):
        """Release what the connection held; a running handler keeps its request."""
        self._listener.connections.remove(self)
        self._transport = None
        self._framer.clear()
        if not self._is_handler_running:
            self._listener.memory.release(self)
        if self._inner is not None:
            self._inner.connection_lost(error)

    # Interface of the listener and of the decisions

    def start_handler(self):
        """Record that a handler has the request."""
        self._is_handler_running = True

    def finish_handler(self):
        """Release the request's memory and continue with the next request."""
        self._is_handler_running = False
        self._listener.memory.release(self)
        if self._transport is None or self._phase is not Phase.HANDLING:
            return
        self._set_phase(Phase.STALLED if self._is_write_paused else Phase.IDLE)
        # The HTTP library writes the response before this call.
        asyncio.get_running_loop().call_soon(self._continue)

    def pause_reading(self):
        """Stop reading from the client."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self):
        """Read from the client again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def drop(self, reason):
        """Give up an incomplete request, or close a connection without a request."""
        has_request = self._phase is Phase.RECEIVING and self._framer.has_begun
        if has_request and reason is not RefusalReason.CONNECTIONS_FULL:
            self._refuse(reason)
            return
        if self._phase is not Phase.CLOSING:
            self._report(reason)
        self._listener.connections.remove(self)
        self._listener.memory.release(self)
        self._framer.clear()
        if self._transport is None:
            return
        if has_request:
            self._transport.write(make_response(reason))
        if self._transport.get_write_buffer_size():
            # A client that does not read would keep the descriptor.
            self._transport.abort()
        else:
            self._transport.close()

    def check_timeouts(self, limits):
        """Refuse a request that does not arrive in time.

        Parameters
        ----------
        limits : ClientLimits
        """
        now = self._listener.time()
        if self._framer.has_begun and not self._framer.has_head:
            is_late = now - self._began_at > limits.head_seconds
        else:
            is_late = now - self._last_byte_at > limits.idle_seconds
        if is_late:
            self.drop(RefusalReason.REQUEST_TIMEOUT)

    def abort(self):
        """Close the connection without a response."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_unused(self):
        """Close the connection unless a request is being received or handled."""
        is_receiving = self._phase is Phase.RECEIVING and self._framer.has_begun
        is_busy = is_receiving or self._phase is Phase.HANDLING
        if self._transport is not None and not is_busy:
            self._transport.close()

    def _feed(self, data):
        """Add bytes and act on what is complete."""
        is_busy = self._is_write_paused or self._phase is Phase.HANDLING
        try:
            self._framer.feed(data, self._listener.read_limits())
        except FramingError as error:
            self._refuse(error.reason)
            return
        if is_busy:
            if self._framer.held_bytes > MAX_PIPELINED_BYTES:
                self.pause_reading()
        elif self._framer.is_complete:
            self._pass_on()
        elif self._framer.has_begun:
            self._receive()

    def _receive(self):
        """Account for an incomplete request."""
        if self._phase is not Phase.RECEIVING:
            self._set_phase(Phase.RECEIVING)
        if not self._listener.memory.receive(self, self._framer.held_bytes):
            self._refuse(RefusalReason.MEMORY_FULL)
        elif self._received_bytes >= FIRST_READ_BYTES:
            self._listener.lane.defer(self)

    def _pass_on(self):
        """Pass a complete request on, if there is memory for it."""
        framer = self._framer
        size = REQUEST_BYTES + framer.line_count * HEADER_LINE_BYTES
        size += framer.body_bytes * BODY_COPIES
        if not self._listener.memory.handle(self, size):
            self._refuse(RefusalReason.MEMORY_FULL)
            return
        self._set_phase(Phase.HANDLING)
        if self._inner is None:
            self._inner = self._listener.make_protocol()
            self._inner.connection_made(self._transport)
        self._inner.data_received(framer.take())

    def _continue(self):
        """Process what the client has sent while a handler had its last request."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_write_paused or self._phase is not Phase.IDLE:
            return
        self._began_at = self._last_byte_at = self._listener.time()
        self._received_bytes = self._framer.held_bytes
        self._feed(b"")
        is_receiving = self._phase is Phase.RECEIVING
        if is_receiving or self._framer.held_bytes <= MAX_PIPELINED_BYTES:
            self.resume_reading()

    def _set_phase(self, phase):
        self._phase = phase
        self._listener.connections.set_phase(self, phase)

    def _refuse(self, reason):
        """Answer a request that has not run, and close the connection.

        The connection is read until the client closes it, since closing it with unread
        bytes would reset it before the client has the response.
        """
        self._report(reason)
        self._listener.memory.release(self)
        self._framer.clear()
        if self._transport is None or self._transport.is_closing():
            return
        self._set_phase(Phase.CLOSING)
        if reason in STATUSES:
            self._transport.write(make_response(reason))
        self._transport.write_eof()
        self._listener.lane.defer(self)

    def _report(self, reason):
        self._listener.report(
            RefusedClient(
                self._listener.name,
                reason,
                self.peer,
                self._framer.held_bytes,
                has_run=reason is RefusalReason.RESPONSE_UNREAD,
            )
        )
