"""Command line, daemon entry points and the client of the HTTP interface."""

from .client import GatewayClient
from .submissions import JobSubmission

__all__ = ["GatewayClient", "JobSubmission"]
