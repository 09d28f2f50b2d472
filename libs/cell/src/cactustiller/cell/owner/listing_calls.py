"""Listings of workers fetched beside their hold calls, one at a time for each worker.

Answers a burst of starts without answers: each asks for a listing that shows whether
the worker is lost, and one listing serves all of them.
"""

import asyncio


class ListingFetcher:
    """Merges concurrent requests for a worker's listing.

    A request that arrives while a call is in flight waits for the next call, since the
    answer to the first may not show what the request is about.

    Parameters
    ----------
    fetch_listing : callable
        Coroutine function that takes a `Worker`, and requests and applies its listing.
    """

    def __init__(self, fetch_listing):
        self._fetch_listing = fetch_listing
        self._running = {}
        self._next = {}

    async def fetch(self, worker):
        """Return once a listing that was requested after this call has been applied.

        Raises
        ------
        Exception
            Whatever the fetch raises.
        """
        key = worker.info.worker
        if key not in self._next:
            previous = self._running.get(key)
            self._next[key] = asyncio.create_task(self._run(worker, previous))
        await asyncio.shield(self._next[key])

    async def _run(self, worker, previous):
        key = worker.info.worker
        if previous is not None:
            await asyncio.wait([previous])
        self._running[key] = self._next.pop(key)
        try:
            await self._fetch_listing(worker)
        finally:
            del self._running[key]

    async def close(self):
        """Cancel the calls in flight and those that wait for them."""
        tasks = [*self._running.values(), *self._next.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._running.clear()
        self._next.clear()
