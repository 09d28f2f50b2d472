"""Relay on the path to a daemon whose open connections can be silenced."""

import asyncio

CHUNK_BYTES = 65_536


class Relay:
    """Passes the bytes of each connection on to one address.

    Parameters
    ----------
    target : str
        ``ip:port``.

    Attributes
    ----------
    address : str
        Where it listens.
    silenced : int
        Number of connections that were silenced.
    """

    def __init__(self, target):
        self.address = ""
        self.silenced = 0
        self._target = target
        self._server = None
        self._open = set()
        self._silent = set()

    async def start(self, host):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def silence(self):
        """Drop all further bytes of the open connections, without closing them."""
        self.silenced += len(self._open - self._silent)
        self._silent |= self._open

    async def stop(self):
        """Close every connection."""
        self._server.close()
        for task in list(self._open):
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._open.add(task)
        target_writer = None
        try:
            host, _, port = self._target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._pump(task, reader, target_writer),
                self._pump(task, target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(task)
            self._silent.discard(task)
            for end in (writer, target_writer):
                if end is not None:
                    end.close()

    async def _pump(self, connection, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if connection not in self._silent:
                writer.write(data)
                await writer.drain()
        if connection not in self._silent:
            writer.close()
