"""Turns of the connections that send large requests; no I/O.

Load: hundreds of clients send large bodies in small chunks, and decoding what all of
them have sent in one round of the event loop would delay it by seconds.
"""

import asyncio
from collections import deque

# Connections that may be read between two rounds of the event loop.
TURNS_PER_ROUND = 4


class ReadLane:
    """Lets connections with large requests read in turn, a few each round.

    A connection has the methods ``pause_reading()`` and ``resume_reading()``.
    """

    def __init__(self):
        self._waiting = deque()
        self._is_scheduled = False

    def defer(self, connection):
        """Pause a connection until its next turn."""
        connection.pause_reading()
        self._waiting.append(connection)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_round)

    def _run_round(self):
        for _ in range(min(TURNS_PER_ROUND, len(self._waiting))):
            self._waiting.popleft().resume_reading()
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._run_round)
