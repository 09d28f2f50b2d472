"""Batch: packs tightly on the dominant resource."""

from cactustiller.model import WorkloadKind

from .base import PlacementPolicy


class BatchPolicy(PlacementPolicy):
    """Best fit, so that large tasks find room later."""

    kind = WorkloadKind.BATCH
    is_preemptible = True
    reason = "fullest after placement"
