"""All-at-once jobs: every task starts, or none."""

from cactustiller.model import WorkloadKind

from .base import PlacementPolicy


class AllAtOncePolicy(PlacementPolicy):
    """Best fit for all tasks together; waits with a claim where they do not fit."""

    kind = WorkloadKind.ALL_AT_ONCE
    is_gang = True
    reason = "tightest set of workers for all tasks"
