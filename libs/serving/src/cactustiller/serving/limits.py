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
# Shares of the memory for requests that are received or handled, for frames of peers,
# for connections and for accepted jobs.
REQUEST_MEMORY_SHARE = 0.125
PEER_MEMORY_SHARE = 0.0625
CONNECTION_MEMORY_SHARE = 0.2
JOB_MEMORY_SHARE = 0.25
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
    by_memory = int(memory_bytes * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES
    request_bytes = int(memory_bytes * REQUEST_MEMORY_SHARE)
    return ProcessLimits(
        frontend=ListenerLimits(
            max(1, min(int(sockets * FRONTEND_SOCKET_SHARE), by_memory)), request_bytes
        ),
        ready=ListenerLimits(MAX_READY_CONNECTIONS, request_bytes // 16),
        metrics=ListenerLimits(MAX_METRICS_CONNECTIONS, request_bytes // 16),
        peers=ListenerLimits(
            max(1, min(int(sockets * PEER_SOCKET_SHARE), by_memory)),
            int(memory_bytes * PEER_MEMORY_SHARE),
        ),
        job_bytes=int(memory_bytes * JOB_MEMORY_SHARE),
    )
