"""Supervision of background tasks that have to go on whatever happens."""

import traceback

from cactustiller.model.supervision import supervise

from .reporting.events import Event, log_event


async def keep_running(name, run):
    """Run a coroutine function; log an exception and run it again after a delay.

    Parameters
    ----------
    name : str
        Name of the task in log lines.
    run : callable
        Coroutine function without arguments. Its return ends the supervision.
    """
    return await supervise(name, run, _log_failure)


def _log_failure(name, error, restart_seconds):
    log_event(
        Event.TASK_FAILED,
        step=name,
        reason=repr(error),
        trace=traceback.format_exc(),
        restart_seconds=restart_seconds,
    )
