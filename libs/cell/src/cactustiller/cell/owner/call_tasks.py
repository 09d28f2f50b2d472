"""Tasks of calls whose answers nobody waits for."""

import asyncio

from ..reporting.events import Event, log_event

# Calls that are prepared before other tasks of the loop have their turn, about 10 ms of
# work.
CHUNK_CALLS = 50


class CallTasks:
    """Calls in flight; one that fails unexpectedly is logged."""

    def __init__(self):
        self._tasks = set()
        self._is_closed = False

    def start(self, coroutine):
        """Start one call; none once closed."""
        if self._is_closed:
            coroutine.close()
            return
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self.on_done)

    def start_all(self, calls):
        """Start calls in chunks; `calls` are functions that return a coroutine.

        A job may have thousands of tasks, whose starts are due at once.
        """
        if len(calls) <= CHUNK_CALLS:
            for call in calls:
                self.start(call())
        else:
            self.start(self._start_in_chunks(calls))

    async def close(self):
        """Cancel every call, also those that are not started yet; start no more."""
        self._is_closed = True
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self._tasks.difference_update(tasks)

    def on_done(self, task):
        """Forget a task that is done and log its failure."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.TASK_FAILED, step="call worker", reason=repr(task.exception())
            )

    async def _start_in_chunks(self, calls):
        for first in range(0, len(calls), CHUNK_CALLS):
            for call in calls[first : first + CHUNK_CALLS]:
                self.start(call())
            await asyncio.sleep(0)
