"""Desired state of a cell: queues, teams and pools of workers."""

from dataclasses import dataclass, field

from cactustiller.model import QueueName, TeamId

from .specs import QueueRules


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue that callers address by host and path.

    Attributes
    ----------
    is_public : bool
        Calls need no key.
    """

    name: QueueName
    host: str
    path_prefix: str
    rules: QueueRules
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Team:
    """Team with its share and limit.

    Attributes
    ----------
    weight : float
        Share when the cell is full, and jobs a second that are owed service.
    limit : tuple of int
        Most that may run: cpu millis, memory MiB, accelerators; 0 for no limit.
    """

    name: TeamId
    weight: float = 1.0
    limit: tuple[int, int, int] = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the desired state; versions rise."""

    version: int = 0
    queues: dict[QueueName, Queue] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    keys: dict[str, TeamId] = field(default_factory=dict)

    def find_queue(self, host, path):
        """Return the queue with the longest prefix of `path`, or None."""
        best = None
        for queue in self.queues.values():
            if (
                queue.host == host
                and path.startswith(queue.path_prefix)
                and (best is None or len(queue.path_prefix) > len(best.path_prefix))
            ):
                best = queue
        return best
