"""Settings of a member and the external systems that it depends on."""

import time
from dataclasses import dataclass

from cactustiller.model import MemberId
from cactustiller.serving import ListenerLimits

from .decisions.job_memory import DEFAULT_JOB_BYTES
from .ports import ApprovalService, RowStore, WorkerCalls

# Resources at which a member has full strength in the election. The owner of a large
# cell uses about half a core and reads about 2 MB when it takes over.
FULL_STRENGTH_CORES = 1.0
FULL_STRENGTH_MBPS = 50.0
MAX_ROW_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Identity, addresses and resources of a member.

    Attributes
    ----------
    cores : float
        Processor cores available to the process.
    link_mbps : float
        Bandwidth of the machine's network link.
    status_retention_ms : int
        How long the state of a finished job stays readable.
    peer_limits : ListenerLimits or None
        Of the address for other members; None for those of a machine of default size.
    max_job_bytes : int
        Memory for the jobs of a cell that this member owns.
    max_row_bytes : int
        Largest value that a row of the store may have.
    """

    member: MemberId
    zone: str
    host: str
    peer_port: int
    cores: float = 1.0
    link_mbps: float = 1000.0
    status_retention_ms: int = 120_000
    peer_limits: ListenerLimits | None = None
    max_job_bytes: int = DEFAULT_JOB_BYTES
    max_row_bytes: int = MAX_ROW_BYTES

    @property
    def strength(self):
        """Suitability of the machine to own a cell, from 0 to 1."""
        return min(
            1.0, self.cores / FULL_STRENGTH_CORES, self.link_mbps / FULL_STRENGTH_MBPS
        )

    @property
    def peer_address(self):
        """Address of this member's peer server."""
        return f"{self.host}:{self.peer_port}"


@dataclass(slots=True)
class Dependencies:
    """External systems that a member depends on, and the formats of their rows.

    Attributes
    ----------
    worker_table, worker_part : str
        Location of the rows in which the platform lists workers.
    desired_table, desired_part, desired_key : str
        Location of the row to which the operator writes the desired state.
    decode_desired : callable
        Converts the value of that row to a `DesiredState`; raises ValueError.
    decode_worker : callable
        Converts key and value of a worker's row to a `WorkerInfo`, or None.
    decode_evacuation : callable, optional
        Returns the availability zone that a row beside the desired state evacuates, or
        None for other rows; takes the row's key.
    make_peers : callable, optional
        Returns a peer client and a peer server for an identity and a message handler;
        by default over TCP.
    wall_clock_ms : callable, optional
        Returns Unix milliseconds.
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
    decode_evacuation: object = lambda key: None
    make_peers: object = None
    wall_clock_ms: object = lambda: time.time() * 1000
