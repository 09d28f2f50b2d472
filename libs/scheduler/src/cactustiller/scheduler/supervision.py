"""Supervision of background tasks."""


def watch_task(task, on_failure):
    """Call `on_failure` if a task ends with an exception.

    Parameters
    ----------
    task : asyncio.Task
    on_failure : callable
        Called with the exception.
    """

    def check(done):
        if not done.cancelled() and done.exception() is not None:
            on_failure(done.exception())

    task.add_done_callback(check)
