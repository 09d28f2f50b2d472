"""Request-reply messaging between daemons over asyncio streams."""

from .client import PeerClient
from .server import PeerServer
from .traffic import Traffic

__all__ = ["PeerClient", "PeerServer", "Traffic"]
