"""Structured logs on standard output that never block the event loop."""

import os
import sys

import orjson
import structlog

from .events import EVENT_COUNTS

# Buffer for a slow reader of standard output; lines beyond it are dropped.
MAX_PENDING_BYTES = 262_144
LINES_DROPPED = "lines_dropped"


class BoundedWriter:
    """Writes lines to a descriptor; drops and counts them if the buffer is full."""

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line):
        """Write one line, or buffer it while the pipe is full."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            EVENT_COUNTS[LINES_DROPPED,] += 1
            return
        self._pending += line
        if self.dropped:
            self._pending += b'{"event":"%b","count":%d}\n' % (
                LINES_DROPPED.encode(),
                self.dropped,
            )
            self.dropped = 0
        try:
            written = os.write(self._descriptor, self._pending)
            del self._pending[:written]
        except BlockingIOError:
            return


def configure_logs(member):
    """Configure structlog to write each event as a JSON line with time and member."""
    writer = BoundedWriter(sys.stdout.fileno())

    class Logger:
        def info(self, line):
            writer.write_line(line + b"\n")

        msg = debug = warning = error = exception = critical = info

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            _make_member_processor(member),
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
        # 20 is the level INFO.
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=lambda *args: Logger(),
        cache_logger_on_first_use=True,
    )


def _serialize(event, **options):
    return orjson.dumps(event, default=str)


def _make_member_processor(member):
    def add_member(logger, method, event):
        event["member"] = member
        return event

    return add_member
