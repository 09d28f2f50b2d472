"""Background tasks whose failure must not go unnoticed."""


def watch_task(task, on_failure):
    """Call `note_failure` with the exception that ends a task, if one does.

    Parameters
    ----------
    task : asyncio.Task
    note_failure : callable
        Function of the exception.
    """

    def check(done):
        if not done.cancelled() and done.exception() is not None:
            on_failure(done.exception())

    task.add_done_callback(check)
