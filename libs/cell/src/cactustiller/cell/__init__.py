"""Scheduler of one cell: a group of workers and the members that schedule them.

Every member accepts jobs from callers. One of them, elected owner, places their tasks.
"""

from .configuration import MAX_ROW_BYTES, Dependencies, MemberSettings
from .members.admission import Admitted, Refusal, admit_call
from .members.followers import Follower
from .members.insertion import Acceptance
from .members.member import Member
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
from .records.desired import DesiredState, Queue, Team
from .records.listings import ListedEnd, ListedRun, Listing
from .records.runs import RunEnd
from .records.specs import JobSpec, QueueRules, StepSpec, check_spec
from .records.workers import WorkerInfo

__all__ = [
    "MAX_ROW_BYTES",
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
