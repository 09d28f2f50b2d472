"""Detects delays of the event loop and suspensions of the machine."""

import asyncio

from .events import Event, log_event
from .metrics import Latency

CHECK_INTERVAL_SECONDS = 1.0
# After a longer stall, leases and read results may have expired unnoticed.
STALL_SECONDS = 0.5


async def monitor_loop(metrics, wall_clock_ms):
    """Record the delay of a timer periodically and log stalls.

    Parameters
    ----------
    metrics : Metrics
    wall_clock_ms : callable
        Returns Unix milliseconds. Unlike the clock of the loop, the wall clock advances
        while the machine is suspended.
    """
    loop = asyncio.get_running_loop()
    while True:
        started_at, wall_started_at = loop.time(), wall_clock_ms()
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        late = loop.time() - started_at - CHECK_INTERVAL_SECONDS
        wall_late = (wall_clock_ms() - wall_started_at) / 1000 - CHECK_INTERVAL_SECONDS
        metrics.record(Latency.LOOP_DELAY, max(0.0, late))
        if max(late, abs(wall_late)) > STALL_SECONDS:
            log_event(
                Event.FROZEN,
                seconds=round(late, 3),
                wall_clock_seconds=round(wall_late, 3),
            )
