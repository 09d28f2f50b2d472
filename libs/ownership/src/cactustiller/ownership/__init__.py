"""Members, their leases, and the single owner of each partition."""

from .control import collect_control_counters
from .editor import SettingsEditor
from .evacuation import ZoneEvacuations
from .member import Member
from .metrics import Metrics, merge_stats
from .partitions import (
    home_of_team,
    list_homes,
    list_partitions,
    pool_of_service,
    shard_of_rack,
)
from .planning import plan_owners
from .reconciler import OwnershipReconciler
from .records import OWNERSHIP_KEY, Owner, Ownership, member_key
from .replica import SettingsChange, SettingsReplica

__all__ = [
    "OWNERSHIP_KEY",
    "Member",
    "Metrics",
    "Owner",
    "Ownership",
    "OwnershipReconciler",
    "SettingsChange",
    "SettingsEditor",
    "SettingsReplica",
    "ZoneEvacuations",
    "collect_control_counters",
    "home_of_team",
    "list_homes",
    "list_partitions",
    "member_key",
    "merge_stats",
    "plan_owners",
    "pool_of_service",
    "shard_of_rack",
]
