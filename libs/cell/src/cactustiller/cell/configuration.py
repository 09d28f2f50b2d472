"""What a member is told about itself and the systems that it talks to."""

import time
from dataclasses import dataclass

from cactustiller.model import MemberId

from .ports import ApprovalService, RowStore, WorkerCalls

# An owner of a large cell uses about half a core, and reads some 2 MB when it takes
# over.
FULL_STRENGTH_CORES = 1.0
FULL_STRENGTH_MBPS = 50.0


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Identity of a member and the bounds that it keeps.

    Attributes
    ----------
    cores : float
        Processor share of the machine.
    link_mbps : float
        Bandwidth of its link.
    status_ms : int
        How long finished jobs stay readable.
    """

    member: MemberId
    zone: str
    host: str
    peer_port: int
    cores: float = 1.0
    link_mbps: float = 1000.0
    status_ms: int = 120_000

    @property
    def strength(self):
        """How well the machine carries a cell, from 0 to 1."""
        return min(
            1.0, self.cores / FULL_STRENGTH_CORES, self.link_mbps / FULL_STRENGTH_MBPS
        )

    @property
    def peer_address(self):
        """Where other members reach this one."""
        return f"{self.host}:{self.peer_port}"


@dataclass(slots=True)
class Dependencies:
    """Systems that a member talks to.

    Attributes
    ----------
    worker_table, worker_part : str
        Where the platform lists workers.
    desired_table, desired_part, desired_key : str
        Where the operator writes the desired state.
    decode_desired : callable
        Value of that row to a `DesiredState`; raises ValueError.
    decode_worker : callable
        Key and value of an entry to a `WorkerInfo`, or None.
    make_peers : callable, optional
        Identity and handler to a client and a server of peers; by default over TCP.
    wall_clock_ms : callable, optional
        Unix milliseconds.
    """

    store: RowStore
    worker_calls: WorkerCalls
    approvals: ApprovalService
    worker_table: str
    worker_part: str
    decode_worker: object
    desired_table: str
    desired_part: str
    desired_key: str
    decode_desired: object
    make_peers: object = None
    wall_clock_ms: object = lambda: time.time() * 1000
