"""Supervision of background tasks that have to continue after unexpected errors."""

import asyncio

import structlog

# Delay before a failed task is restarted, doubled with each further failure.
MIN_RESTART_SECONDS = 0.2
MAX_RESTART_SECONDS = 2.0
# A task that has run for longer than this is restarted with the shortest delay.
STABLE_SECONDS = 10.0

log = structlog.get_logger(__name__)


async def supervise(step, run, log_failure):
    """Run a coroutine function, and again after a delay if it raises an exception.

    Parameters
    ----------
    step : str
        What the task does, for log lines.
    run : callable
        Coroutine function without arguments. Its return ends the supervision.
    log_failure : callable
        Called with the step, the exception and the delay in seconds.
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
            log_failure(step, error, pause)
        await asyncio.sleep(pause)
        pause = min(2 * pause, MAX_RESTART_SECONDS)


async def keep_running(step, run):
    """Supervise a coroutine function without arguments; log each exception."""
    return await supervise(step, run, _log_failure)


def _log_failure(step, error, restart_seconds):
    log.exception(
        "task_failed",
        step=step,
        reason=f"{type(error).__name__}: {error}",
        restart_seconds=restart_seconds,
    )
