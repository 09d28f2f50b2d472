"""Supervision of background tasks that have to go on whatever happens."""

import asyncio
import traceback

from .reporting.events import Event, log_event

# Delay before a failed task is restarted, doubled with each further failure.
MIN_RESTART_SECONDS = 0.2
MAX_RESTART_SECONDS = 2.0
# A task that has run for longer than this is restarted with the shortest delay.
STABLE_SECONDS = 10.0


async def keep_running(name, run):
    """Run a coroutine function; log an exception and run it again after a delay.

    Parameters
    ----------
    name : str
        Name of the task in log lines.
    run : callable
        Coroutine function without arguments. Its return ends the supervision.
    """
    loop = asyncio.get_running_loop()
    pause = MIN_RESTART_SECONDS
    while True:
        started_at = loop.time()
        try:
            return await run()
        except Exception as error:
            if loop.time() - started_at > STABLE_SECONDS:
                pause = MIN_RESTART_SECONDS
            log_event(
                Event.TASK_FAILED,
                step=name,
                reason=repr(error),
                trace=traceback.format_exc(),
                restart_seconds=pause,
            )
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RESTART_SECONDS)
