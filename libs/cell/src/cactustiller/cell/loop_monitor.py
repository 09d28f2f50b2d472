"""Watches how late the loop's timers fire, and whether the machine stood still."""

import asyncio

from .events import Event, log_event
from .metrics import Latency

CHECK_INTERVAL_SECONDS = 1.0
# Later than this, leases and reads of the process are old without its doing.
STALL_SECONDS = 0.5


async def monitor_loop(metrics, wall_clock_ms):
    """Record the lateness of a timer, and log long halts.

    Parameters
    ----------
    metrics : Metrics
    wall_clock_ms : callable
        Unix milliseconds. They go on while a machine is suspended, unlike the clock
        of the loop.
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
