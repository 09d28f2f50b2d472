"""Gateway daemon: the HTTP interface of a cell, with authorization and routing."""

from .serving import build_app, build_gateway, drain, serve_gateway

__all__ = ["build_app", "build_gateway", "drain", "serve_gateway"]
