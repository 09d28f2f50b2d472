"""Admission of callers' calls, by the queues and API keys of the desired state."""

from enum import Enum
from typing import NamedTuple

from cactustiller.model import TeamId

from ..records.desired import Queue


class Refusal(Enum):
    """Reason for which a call is refused."""

    NO_DESIRED_STATE = "noDesiredState"
    NO_QUEUE = "noQueue"
    UNKNOWN_KEY = "unknownKey"


class Admitted(NamedTuple):
    """Admitted call; `subpath` is the path after the queue's prefix."""

    queue: Queue
    team: TeamId
    subpath: str


def admit_call(desired, host, path, key):
    """Return `Admitted` or a `Refusal`.

    The team is empty for a call to a public queue without a known key.

    Parameters
    ----------
    desired : DesiredState
    host, path : str
    key : str
        The caller's API key; empty for none.
    """
    if not desired.version:
        return Refusal.NO_DESIRED_STATE
    queue = desired.find_queue(host, path)
    if queue is None:
        return Refusal.NO_QUEUE
    team = desired.keys.get(key)
    if team is None and not queue.is_public:
        return Refusal.UNKNOWN_KEY
    return Admitted(queue, team or TeamId(""), path[len(queue.path_prefix) :])
