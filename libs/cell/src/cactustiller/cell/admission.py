"""Which calls the desired state allows."""

from enum import Enum
from typing import NamedTuple

from cactustiller.model import TeamId

from .desired import Queue


class Refusal(Enum):
    """Why a call is not allowed."""

    NO_DESIRED_STATE = "noDesiredState"
    NO_QUEUE = "noQueue"
    UNKNOWN_KEY = "unknownKey"


class Admitted(NamedTuple):
    """Call that is allowed; `rest` is the path behind the queue's prefix."""

    queue: Queue
    team: TeamId
    subpath: str


def admit_call(desired, host, path, key):
    """Return `Admitted` or a `Refusal`.

    Parameters
    ----------
    desired : DesiredState
    host, path : str
    key : str
        The caller's key; empty for none.
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
