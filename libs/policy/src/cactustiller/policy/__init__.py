"""Decisions as pure functions of a snapshot; no I/O and no clock."""

from .estimates import MEDIAN_QUANTILE, RunTimes
from .explaining import explain_waiting
from .fleet import Fleet
from .planning import Planner, make_planner, plan_placements
from .policies import get_policy
from .quarantine import Health, WorkerHealth
from .shapes import find_infeasible_reason
from .snapshots import (
    Amounts,
    Claim,
    LateJob,
    Placement,
    Plan,
    Preemption,
    RunningTask,
    Snapshot,
    TeamSnapshot,
    WaitingJob,
    WaitReason,
    WorkerSnapshot,
)

__all__ = [
    "MEDIAN_QUANTILE",
    "Amounts",
    "Claim",
    "Fleet",
    "Health",
    "LateJob",
    "Placement",
    "Plan",
    "Planner",
    "Preemption",
    "RunTimes",
    "RunningTask",
    "Snapshot",
    "TeamSnapshot",
    "WaitReason",
    "WaitingJob",
    "WorkerHealth",
    "WorkerSnapshot",
    "explain_waiting",
    "find_infeasible_reason",
    "get_policy",
    "make_planner",
    "plan_placements",
]
