"""Tests of which connection gives way to a new one."""

from cactustiller.serving import ConnectionTable, Phase, RefusalReason
from cactustiller.serving.connections import REQUEST_GRACE_SECONDS

from .builders import Holder


class Clock:
    def __init__(self):
        self.seconds = 0.0

    def __call__(self):
        return self.seconds


def make_table(phases):
    """Return a full table with one connection in each phase, and its clock."""
    clock = Clock()
    table = ConnectionTable(len(phases), clock)
    connections = []
    for phase in phases:
        connections.append(Holder(table.remove))
        table.admit(connections[-1])
        table.set_phase(connections[-1], phase)
    return table, connections, clock


def list_dropped(phases, seconds=0.0):
    """Return the phases in which connections are dropped for new ones, in order."""
    table, connections, clock = make_table(phases)
    clock.seconds += seconds
    dropped = []
    while table.admit(newcomer := Holder()):
        # Keeps the new connection from being dropped next.
        table.set_phase(newcomer, Phase.HANDLING)
        for connection, phase in zip(connections, phases, strict=True):
            if connection.reasons == [RefusalReason.CONNECTIONS_FULL]:
                connection.reasons.append(None)
                dropped.append(phase)
    return dropped


PHASES = [Phase.HANDLING, Phase.IDLE, Phase.RECEIVING, Phase.STALLED, Phase.CLOSING]


def test_late_requests_give_way_before_idle_connections():
    assert list_dropped(PHASES, REQUEST_GRACE_SECONDS) == [
        Phase.CLOSING,
        Phase.STALLED,
        Phase.RECEIVING,
        Phase.IDLE,
    ]


def test_idle_connections_give_way_before_recent_requests():
    assert list_dropped(PHASES)[2:] == [Phase.IDLE, Phase.RECEIVING]


def test_connection_with_a_handler_never_gives_way():
    table, connections, _ = make_table([Phase.HANDLING])
    assert not table.admit(Holder())
    assert not connections[0].reasons


def test_earliest_connection_of_a_phase_gives_way():
    table, connections, clock = make_table([Phase.IDLE, Phase.IDLE])
    clock.seconds += 1.0
    table.set_phase(connections[0], Phase.IDLE)
    assert table.admit(Holder())
    assert [bool(connection.reasons) for connection in connections] == [False, True]
    assert len(table) == 2


def test_expired_connections_are_listed():
    table, connections, clock = make_table([Phase.IDLE, Phase.IDLE])
    clock.seconds += 5.0
    table.set_phase(connections[0], Phase.IDLE)
    assert table.list_expired(Phase.IDLE, 5.0) == [connections[1]]
