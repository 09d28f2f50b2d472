"""All-at-once jobs: gangs, of which all tasks start together or none does."""

from cactustiller.model import WorkloadKind

from .base import PlacementPolicy


class AllAtOncePolicy(PlacementPolicy):
    """Best fit for all tasks together; a gang that does not fit gets a claim."""

    kind = WorkloadKind.ALL_AT_ONCE
    is_gang = True
    reason = "tightest set of workers for all tasks"
