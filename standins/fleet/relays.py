"""Limits of a worker's connections."""

import asyncio

CHUNK_BYTES = 65_536


class FullRelay:
    """Passes connections on to an address, and resets those beyond a limit.

    Parameters
    ----------
    target : str
        ``ip:port``.
    limit : int
        Maximum number of open connections, those of dead callers included.

    Attributes
    ----------
    opened, refused, most_open : int
        Connections passed on and reset so far, and the most that were open at a time.
    """

    def __init__(self, target, limit):
        self.address = ""
        self.opened = self.refused = self.most_open = 0
        self._target = target
        self.limit = limit
        self._server = None
        self._open = set()
        self._dead = set()
        self._tasks = set()

    async def open(self):
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def close(self):
        """Close every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def lose_callers(self):
        """Count the open connections for ever, as if their callers lost power."""
        self._dead |= self._open

    def leave_room(self, connections):
        """Accept only a number of connections beside those of the dead callers."""
        self.limit = len(self._dead) + connections

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        if len(self._open | self._dead) >= self.limit:
            self.refused += 1
            # Unread bytes turn the close into a reset.
            await reader.read(1)
            writer.transport.abort()
            return
        self.opened += 1
        self._tasks.add(task)
        self._open.add(task)
        self.most_open = max(self.most_open, len(self._open))
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                _pass_bytes(reader, target_writer), _pass_bytes(target_reader, writer)
            )
        except OSError:
            pass
        finally:
            writer.close()
            target_writer.close()
            self._open.discard(task)
            self._tasks.discard(task)


async def _pass_bytes(reader, writer):
    while data := await reader.read(CHUNK_BYTES):
        writer.write(data)
    writer.close()
