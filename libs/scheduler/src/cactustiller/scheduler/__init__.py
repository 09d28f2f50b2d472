"""Scheduler daemon: job placement, worker runs and recovery of their owners.

The state of a cell is divided into partitions, each owned by one scheduler at a time:
homes (jobs of teams), shards (runs on workers) and pools (slots of services).
"""

from .daemon import serve_scheduler

__all__ = ["serve_scheduler"]
