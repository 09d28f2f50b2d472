"""In-process stand-in of the users' platform, on the loop's clock."""

from .approvals import FleetApprovals
from .audit import Audit
from .cell import FleetCell, make_job, make_queue
from .peers import PeerNetwork
from .store import Store, StoreClient
from .workers import FleetWorker, WorkerClient

__all__ = [
    "Audit",
    "FleetApprovals",
    "FleetCell",
    "FleetWorker",
    "PeerNetwork",
    "Store",
    "StoreClient",
    "WorkerClient",
    "make_job",
    "make_queue",
]
