"""Batch: packs tightly on the dominant resource."""

from cactustiller.model import WorkloadKind

from .base import PlacementPolicy


class BatchPolicy(PlacementPolicy):
    """Best fit, which leaves large free blocks for large tasks."""

    kind = WorkloadKind.BATCH
    is_preemptible = True
    reason = "fullest after placement"
