"""Open-loop load on a running cell, described by a file."""

from .arrivals import plan_arrivals
from .replay import Replay
from .report import summarize
from .workload import Workload, read_workload

__all__ = ["Replay", "Workload", "plan_arrivals", "read_workload", "summarize"]
