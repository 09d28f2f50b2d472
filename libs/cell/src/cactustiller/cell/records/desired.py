"""Desired state of a cell: queues, teams and API keys."""

from dataclasses import dataclass, field

from cactustiller.model import QueueName, TeamId
from cactustiller.serving import ClientLimits

from .specs import QueueRules


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue that callers address by host and path prefix.

    Attributes
    ----------
    is_public : bool
        Calls need no API key.
    """

    name: QueueName
    host: str
    path_prefix: str
    rules: QueueRules
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """Team with its share and resource limits.

    Attributes
    ----------
    weight : float
        Share of a full cell, in jobs per second; jobs over it are scheduled after all
        others.
    limit : tuple of int
        Maximum resources in use: CPU millis, memory MiB, accelerators; 0 for no limit.
    """

    name: TeamId
    weight: float = 1.0
    limit: tuple[int, int, int] = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the desired state; versions increase.

    `keys` maps API keys to teams; version 0 is the state before the first one is read.
    """

    version: int = 0
    queues: dict[QueueName, Queue] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    keys: dict[str, TeamId] = field(default_factory=dict)
    client_limits: ClientLimits = ClientLimits()

    def find_queue(self, host, path):
        """Return the queue of `host` with the longest prefix of `path`, or None."""
        best = None
        for queue in self.queues.values():
            if (
                queue.host == host
                and path.startswith(queue.path_prefix)
                and (best is None or len(queue.path_prefix) > len(best.path_prefix))
            ):
                best = queue
        return best
