"""HTTP interface of an entry instance: keys, routing, answers, draining."""

from .serving import build_app, build_gateway, drain, serve_gateway

__all__ = ["build_app", "build_gateway", "drain", "serve_gateway"]
