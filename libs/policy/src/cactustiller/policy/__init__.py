"""Decisions as pure functions of a snapshot; no I/O and no clock."""

from .planning import plan_placements
from .snapshots import (
    Placement,
    Plan,
    Snapshot,
    TeamSnapshot,
    WaitingJob,
    WaitReason,
    WorkerSnapshot,
)

__all__ = [
    "Placement",
    "Plan",
    "Snapshot",
    "TeamSnapshot",
    "WaitReason",
    "WaitingJob",
    "WorkerSnapshot",
    "plan_placements",
]
