"""Closed-loop load generator: one process with a number of callers.

Prints one JSON line: counts, seconds and the encoded histogram of microseconds.
"""

import asyncio
import json
import secrets
from collections import Counter

import aiohttp
import typer

from cactustiller.ownership.metrics import create_histogram

BODY = b"x" * 200
REFUSED_PAUSE_SECONDS = 0.05


class Load:
    """Callers that each send a request as soon as the former is answered.

    Parameters
    ----------
    urls : list of str
        Taken in turn by each caller.
    headers : dict
    seconds : float
    warm_up_seconds : float
        Answers of this time at the start are not counted.
    """

    def __init__(self, urls, headers, seconds, warm_up_seconds):
        self.urls = urls
        self.headers = headers
        self.seconds = seconds
        self.warm_up_seconds = warm_up_seconds
        self.histogram = create_histogram()
        self.statuses = Counter()

    async def run(self, callers):
        """Return the results of `callers` callers as a dict."""
        loop = asyncio.get_running_loop()
        self.counted_from = loop.time() + self.warm_up_seconds
        self.until = self.counted_from + self.seconds
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await asyncio.gather(*(self._call(session, i) for i in range(callers)))
        return {
            "seconds": self.seconds,
            "statuses": dict(self.statuses),
            "histogram": self.histogram.encode().decode(),
        }

    async def _call(self, session, number):
        loop = asyncio.get_running_loop()
        sent = number
        while (started := loop.time()) < self.until:
            url = self.urls[sent % len(self.urls)]
            sent += 1
            status = await self._send(session, url)
            ended = loop.time()
            if started >= self.counted_from and ended <= self.until:
                self.statuses[status] += 1
                if status == 200:
                    self.histogram.record_value(int((ended - started) * 1e6))
            if status != 200:
                await asyncio.sleep(REFUSED_PAUSE_SECONDS)

    async def _send(self, session, url):
        headers = {**self.headers, "X-Request-Id": secrets.token_hex(8)}
        try:
            async with session.post(url, data=BODY, headers=headers) as response:
                body = await response.read()
        except (aiohttp.ClientError, OSError):
            return "cut"
        if response.status == 200 and body != BODY:
            return "wrong"
        return response.status


def main(
    urls: str,
    callers: int = 8,
    seconds: float = 5.0,
    warm_up_seconds: float = 1.0,
    headers: str = "{}",
):
    """Load the comma-separated URLS and print the results."""
    load = Load(urls.split(","), json.loads(headers), seconds, warm_up_seconds)
    print(json.dumps(asyncio.run(load.run(callers))))


if __name__ == "__main__":
    typer.run(main)
