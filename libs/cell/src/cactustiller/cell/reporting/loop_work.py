"""Pieces of work that keep the event loop from everything else while they last."""

import asyncio
from contextlib import contextmanager
from enum import StrEnum

from .events import Event, log_event
from .metrics import Latency

# Shorter pieces are not recorded.
MIN_RECORDED_SECONDS = 0.01
# A longer piece is logged, since peers and callers notice it.
MIN_LOGGED_SECONDS = 0.1


class LoopWork(StrEnum):
    """Work that grows with the jobs or with the size of one job."""

    DECODE_JOB = "decode job"
    ENCODE_JOB = "encode job"
    LOAD_JOBS = "load jobs"
    PLAN = "plan"
    ENCODE_PROGRESS = "encode progress"
    CONFIRM = "confirm"
    LISTING = "apply listing"
    STOPS = "find stops"


@contextmanager
def track_loop_work(metrics, work, **fields):
    """Measure the time that a piece of work holds the loop; log it if it is long.

    Parameters
    ----------
    metrics : Metrics
    work : LoopWork
    **fields : dict
        What the work was about, for the log line.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        yield
    finally:
        seconds = loop.time() - started_at
        if seconds >= MIN_RECORDED_SECONDS:
            metrics.record(Latency.LOOP_HELD, seconds, work.value)
        if seconds >= MIN_LOGGED_SECONDS:
            log_event(
                Event.LOOP_HELD, work=work.value, seconds=round(seconds, 3), **fields
            )
