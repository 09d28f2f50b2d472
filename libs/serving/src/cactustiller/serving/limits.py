"""Limits of clients and of the listening addresses of a process."""

from dataclasses import dataclass

# Descriptors that a machine reserves for files; the others are sockets and pipes.
FILE_DESCRIPTORS = 200
# Shares of the sockets; the remainder is for connections that the process opens.
FRONTEND_SOCKET_SHARE = 0.4
PEER_SOCKET_SHARE = 0.15
# Connections to the readiness and metrics addresses, each of which has few callers.
MAX_READY_CONNECTIONS = 32
MAX_METRICS_CONNECTIONS = 16
# Memory of the process without clients. Shares of what a machine has beyond it, or of a
# quarter of a smaller machine's memory: for requests that are received or handled, for
# frames of peers, for connections of clients and of peers, and for accepted jobs.
BASE_MEMORY_BYTES = 72 * 1024 * 1024
MIN_CLIENT_SHARE = 0.25
REQUEST_MEMORY_SHARE = 0.2
PEER_MEMORY_SHARE = 0.1
CONNECTION_MEMORY_SHARE = 0.2
PEER_CONNECTION_MEMORY_SHARE = 0.1
JOB_MEMORY_SHARE = 0.3
# Memory of one connection: its receive buffer in the kernel and its objects.
CONNECTION_BYTES = 49_152
DEFAULT_MEMORY_BYTES = 300 * 1024 * 1024
DEFAULT_DESCRIPTORS = 4096


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of one client's requests, which the operator sets.

    Attributes
    ----------
    max_head_bytes : int
        Header lines of a request; also the trailer lines of a chunked body.
    max_body_bytes : int
        Body of a request, without the framing of its chunks.
    head_seconds : float
        From the first byte of a request to the end of its head.
    idle_seconds : float
        Without a request, or without a byte of a request that has begun.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of one listening address.

    Attributes
    ----------
    max_connections : int
    max_memory_bytes : int
        Requests that are received or handled.
    """

    max_connections: int
    max_memory_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of each listening address of a process.

    Attributes
    ----------
    job_bytes : int
        Memory for the accepted jobs of the clients.
    """

    frontend: ListenerLimits
    ready: ListenerLimits
    metrics: ListenerLimits
    peers: ListenerLimits
    job_bytes: int


def make_process_limits(
    memory_bytes=DEFAULT_MEMORY_BYTES, descriptors=DEFAULT_DESCRIPTORS
):
    """Return the `ProcessLimits` of a machine with so much memory and descriptors."""
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    client_bytes = max(
        memory_bytes - BASE_MEMORY_BYTES, memory_bytes * MIN_CLIENT_SHARE
    )
    request_bytes = int(client_bytes * REQUEST_MEMORY_SHARE)

    def count_connections(socket_share, memory_share):
        by_memory = int(client_bytes * memory_share) // CONNECTION_BYTES
        return max(1, min(int(sockets * socket_share), by_memory))

    return ProcessLimits(
        frontend=ListenerLimits(
            count_connections(FRONTEND_SOCKET_SHARE, CONNECTION_MEMORY_SHARE),
            request_bytes,
        ),
        ready=ListenerLimits(MAX_READY_CONNECTIONS, request_bytes // 16),
        metrics=ListenerLimits(MAX_METRICS_CONNECTIONS, request_bytes // 16),
        peers=ListenerLimits(
            count_connections(PEER_SOCKET_SHARE, PEER_CONNECTION_MEMORY_SHARE),
            int(client_bytes * PEER_MEMORY_SHARE),
        ),
        job_bytes=int(client_bytes * JOB_MEMORY_SHARE),
    )
