"""Services: spread over workers, racks and availability zones."""

from cactustiller.model import WorkloadKind

from .base import PlacementPolicy


class ServicePolicy(PlacementPolicy):
    """Fewest tasks of the job in the same place, then best fit."""

    kind = WorkloadKind.SERVICE
    anti_affinity = {"worker": 4.0, "rack": 2.0, "zone": 1.0}
    packing_weight = 0.5
    reason = "fewest tasks of the service nearby"
