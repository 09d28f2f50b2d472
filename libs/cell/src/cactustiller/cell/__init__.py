"""Scheduler of one cell: a group of workers and the members that schedule them.

Every member accepts jobs from callers. One of them, elected owner, places their tasks.
"""

from .admission import Admitted, Refusal, admit_call
from .configuration import Dependencies, MemberSettings
from .desired import DesiredState, Queue, Team
from .followers import Follower
from .insertion import Acceptance
from .listings import ListedEnd, ListedRun, Listing
from .member import Member
from .ports import (
    Approval,
    Committed,
    Conflict,
    Page,
    Row,
    RowKey,
    StartAnswer,
    StartOrder,
    Transaction,
)
from .runs import RunEnd
from .specs import JobSpec, QueueRules, StepSpec, check_spec
from .workers import WorkerInfo

__all__ = [
    "Acceptance",
    "Admitted",
    "Approval",
    "Committed",
    "Conflict",
    "Dependencies",
    "DesiredState",
    "Follower",
    "JobSpec",
    "ListedEnd",
    "ListedRun",
    "Listing",
    "Member",
    "MemberSettings",
    "Page",
    "Queue",
    "QueueRules",
    "Refusal",
    "Row",
    "RowKey",
    "RunEnd",
    "StartAnswer",
    "StartOrder",
    "StepSpec",
    "Team",
    "Transaction",
    "WorkerInfo",
    "admit_call",
    "check_spec",
]
