"""Builders of connections between peers that fail."""

import asyncio

CHUNK_BYTES = 65_536


class SilentRelay:
    """Passes the bytes of connections on to an address until they are silenced.

    Silenced connections stay open and transfer nothing more; new ones work.
    """

    def __init__(self, target):
        self.address = ""
        self.opened = 0
        self._target = target
        self._server = None
        self._gates = set()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exception):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self):
        """Drop all further bytes of the open connections, without closing them."""
        for gate in self._gates:
            gate.clear()

    async def _serve(self, reader, writer):
        self.opened += 1
        self._tasks.add(asyncio.current_task())
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        gate = asyncio.Event()
        gate.set()
        self._gates.add(gate)
        try:
            await asyncio.gather(
                _pass_bytes(reader, target_writer, gate),
                _pass_bytes(target_reader, writer, gate),
            )
        finally:
            writer.close()
            target_writer.close()
            self._tasks.discard(asyncio.current_task())


async def _pass_bytes(reader, writer, gate):
    while data := await reader.read(CHUNK_BYTES):
        if gate.is_set():
            writer.write(data)
    writer.close()
