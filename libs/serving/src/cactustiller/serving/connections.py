"""Which connection gives way when a listening address has too many; no I/O.

Load: more clients than the process has descriptors connect and send nothing, or send
requests that do not end, and come back as soon as they are closed.
"""

from enum import Enum

from .refusals import RefusalReason

# An ordinary caller sends its first request within this time.
REQUEST_GRACE_SECONDS = 1.0


class Phase(Enum):
    """What a connection does; connections give way in this order."""

    CLOSING = "closing"
    # The client does not read its response.
    STALLED = "stalled"
    # Connected without a request so far, or with an incomplete one.
    RECEIVING = "receiving"
    # Between two requests.
    IDLE = "idle"
    # A handler has the request.
    HANDLING = "handling"


class ConnectionTable:
    """Open connections of one listening address, by phase.

    Parameters
    ----------
    max_connections : int
    clock : callable
        Returns seconds.
    """

    def __init__(self, max_connections, clock):
        self.max_connections = max_connections
        self._clock = clock
        self._phases = {}
        # Connections of each phase with its beginning, the earliest in front.
        self._since = {phase: {} for phase in Phase}

    def __len__(self):
        return len(self._phases)

    def admit(self, connection):
        """Add a connection; return whether there is room for it.

        Another connection may be dropped: its method ``drop(reason)`` is called.
        """
        if len(self._phases) >= self.max_connections:
            victim = self._choose_victim()
            if victim is None:
                return False
            victim.drop(RefusalReason.CONNECTIONS_FULL)
        self._phases[connection] = Phase.RECEIVING
        self._since[Phase.RECEIVING][connection] = self._clock()
        return True

    def set_phase(self, connection, phase):
        """Record the phase of a connection; entering it again counts as new."""
        before = self._phases.get(connection)
        if before is not None:
            del self._since[before][connection]
            self._phases[connection] = phase
            self._since[phase][connection] = self._clock()

    def remove(self, connection):
        """Forget a connection."""
        phase = self._phases.pop(connection, None)
        if phase is not None:
            del self._since[phase][connection]

    def list_expired(self, phase, seconds):
        """Return the connections that have been in a phase for so many seconds."""
        latest = self._clock() - seconds
        expired = []
        for connection, since in self._since[phase].items():
            if since > latest:
                break
            expired.append(connection)
        return expired

    def list_phase(self, phase):
        """Return the connections in a phase, the earliest first."""
        return list(self._since[phase])

    def _choose_victim(self):
        for phase in (Phase.CLOSING, Phase.STALLED):
            if self._since[phase]:
                return next(iter(self._since[phase]))
        late = self.find_first(Phase.RECEIVING, REQUEST_GRACE_SECONDS)
        if late is not None:
            return late
        return self.find_first(Phase.IDLE) or self.find_first(Phase.RECEIVING)

    def find_first(self, phase, seconds=0.0):
        """Return the earliest connection of a phase if it is that old, or None."""
        item = next(iter(self._since[phase].items()), None)
        if item is None or self._clock() - item[1] < seconds:
            return None
        return item[0]
