"""Scheduler daemon: homes, shards, placement and recovery."""

from .daemon import serve_scheduler

__all__ = ["serve_scheduler"]
