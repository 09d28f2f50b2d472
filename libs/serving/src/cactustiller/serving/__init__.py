"""Admission of clients' connections and requests before any handler runs."""

from .connections import ConnectionTable, Phase
from .limits import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    ClientLimits,
    ListenerLimits,
    ProcessLimits,
    make_process_limits,
)
from .listener import HttpListener
from .memory import RequestMemory
from .refusals import RefusalReason, RefusedClient
from .sockets import listen_on

__all__ = [
    "DEFAULT_DESCRIPTORS",
    "DEFAULT_MEMORY_BYTES",
    "ClientLimits",
    "ConnectionTable",
    "HttpListener",
    "ListenerLimits",
    "Phase",
    "ProcessLimits",
    "RefusalReason",
    "RefusedClient",
    "RequestMemory",
    "listen_on",
    "make_process_limits",
]
