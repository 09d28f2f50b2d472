"""Structured logs as JSON lines on standard error."""

import logging
import sys

import structlog


def configure_logs(member, level="info"):
    """Write each log event as one JSON line with time, level and member."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            _make_member_processor(member),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def _make_member_processor(member):
    def add_member(logger, method, event):
        event.setdefault("member", member)
        return event

    return add_member
