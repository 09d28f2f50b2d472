"""Which connections and frames of peers a daemon keeps; no I/O.

Load: clients reach the address of the peers, connect without a first frame, or with
that of a daemon, and send frames that do not end.
"""

from collections import Counter

from cactustiller.serving import (
    ConnectionTable,
    Phase,
    RefusalReason,
    RequestMemory,
)

# Decoded copies of a frame, and its objects, while a handler has it.
FRAME_COPIES = 3
REQUEST_BYTES = 2048


class PeerConnection:
    """Connection of one peer.

    Parameters
    ----------
    host, peer : str
        IP address, and ``ip:port``.
    close : callable
        Closes the connection; takes the `RefusalReason`.
    """

    def __init__(self, host, peer, close):
        self.host = host
        self.peer = peer
        self._close = close

    def drop(self, reason):
        """Close the connection."""
        self._close(reason)


class IncomingFrame:
    """Memory of one frame that is received or handled.

    Parameters
    ----------
    memory : RequestMemory
    connection : PeerConnection
    length : int
    """

    def __init__(self, memory, connection, length):
        self._memory = memory
        self._connection = connection
        self._length = length

    def receive(self):
        """Return whether there is memory for the frame."""
        return self._memory.receive(self, self._length)

    def handle(self):
        """Return whether there is memory for its handler."""
        return self._memory.handle(self, self._length * FRAME_COPIES + REQUEST_BYTES)

    def release(self):
        """Forget the frame."""
        self._memory.release(self)

    def drop(self, reason):
        """Close the connection, since the rest of the frame cannot be skipped."""
        self.release()
        self._connection.drop(reason)


class PeerAdmission:
    """Connections of one peer server, with the memory of their frames.

    A connection whose first frame is missing gives way first, then one of the host that
    has most connections: each daemon opens one.

    Parameters
    ----------
    limits : ListenerLimits
    clock : callable
        Returns seconds.
    """

    def __init__(self, limits, clock):
        self.connections = ConnectionTable(limits.max_connections, clock)
        self.memory = RequestMemory(limits.max_memory_bytes)

    def admit(self, connection):
        """Add a connection; another one may be dropped for it."""
        table = self.connections
        if len(table) >= table.max_connections:
            victim = table.find_first(Phase.RECEIVING) or self._find_surplus()
            table.remove(victim)
            victim.drop(RefusalReason.CONNECTIONS_FULL)
        table.admit(connection)

    def confirm(self, connection):
        """Record that the first frame of a connection has arrived."""
        self.connections.set_phase(connection, Phase.HANDLING)

    def remove(self, connection):
        """Forget a connection."""
        self.connections.remove(connection)

    def _find_surplus(self):
        confirmed = self.connections.list_phase(Phase.HANDLING)
        hosts = Counter(connection.host for connection in confirmed)
        ((host, _),) = hosts.most_common(1)
        return next(item for item in confirmed if item.host == host)
