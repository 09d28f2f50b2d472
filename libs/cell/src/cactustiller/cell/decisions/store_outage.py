"""Whether a caller waits for an unavailable store or is rejected; pure functions.

Load: 30 to 60 jobs per second, whose callers give up 3 s after the first of at most
five tries; outages of the store of 1 to 30 s, most often 3 to 5 s. The longer an outage
has lasted, the longer it is expected to last: of the outages that reach an age, about
half last for twice that age (Pareto distribution with exponent 1).
"""

import math
from enum import Enum
from typing import NamedTuple

# Minimum probability that the store answers in the caller's time. A caller with 2.8 s
# left waits in outages of up to 4.2 s, which covers the most frequent ones.
MIN_CHANCE = 0.4
# Time reserved for storing the job once the store answers again.
STORING_SECONDS = 0.15
# Limits of one member. At 60 jobs per second a single member would hold 170 callers;
# the smallest members have about 110 MB of free memory.
MAX_WAITING = 1000
MAX_WAITING_BYTES = 8_000_000
# Usual duration of a takeover.
TAKEOVER_SECONDS = 3.0
MIN_RETRY_AFTER_SECONDS = 1


class RejectReason(Enum):
    """Reason for which a submission is rejected."""

    OUTAGE_TOO_OLD = "outageTooOld"
    NO_TIME_LEFT = "noTimeLeft"
    QUEUE_FULL = "queueFull"
    ISOLATED = "isolated"
    STILL_UNAVAILABLE = "stillUnavailable"
    DISCONNECTED = "disconnected"
    OVERLOADED = "overloaded"
    CANNOT_START = "cannotStart"
    STORE_SLOW = "storeSlow"
    STORE_FAILED = "storeFailed"
    ROW_TOO_LARGE = "rowTooLarge"


class OutageView(NamedTuple):
    """What a member knows when it decides about one caller.

    Attributes
    ----------
    age_seconds : float
        How long the store has been unavailable.
    remaining_seconds : float
        How long the caller still waits for this answer.
    is_isolated : bool
        Whether the owner cannot be heard either. Other members may then be better
        connected, and the caller's next try reaches one of them.
    has_waited : bool
        Whether the caller was told to wait before and its turn to try did not succeed.
        It keeps its place: a caller that was held has no time for another try.
    waiting_count, waiting_bytes : int
        Callers that wait already, and the size of their rows.
    """

    age_seconds: float
    remaining_seconds: float
    is_isolated: bool = False
    has_waited: bool = False
    waiting_count: int = 0
    waiting_bytes: int = 0


class Wait(NamedTuple):
    """The caller waits for the store for at most `seconds`."""

    seconds: float


class Reject(NamedTuple):
    """The caller is rejected at once."""

    reason: RejectReason


def estimate_chance(age_seconds, seconds):
    """Return the probability that an outage ends within the next seconds."""
    if seconds <= 0.0:
        return 0.0
    return seconds / (age_seconds + seconds)


def decide(view, size):
    """Return `Wait` or `Reject` for a caller whose row has `size` bytes."""
    seconds = view.remaining_seconds - STORING_SECONDS
    if seconds <= 0.0:
        is_first = not view.has_waited
        return Reject(
            RejectReason.NO_TIME_LEFT if is_first else RejectReason.STILL_UNAVAILABLE
        )
    if view.has_waited:
        return Wait(seconds)
    if view.is_isolated:
        return Reject(RejectReason.ISOLATED)
    is_full = view.waiting_count >= MAX_WAITING
    if is_full or view.waiting_bytes + size > MAX_WAITING_BYTES:
        return Reject(RejectReason.QUEUE_FULL)
    if estimate_chance(view.age_seconds, view.remaining_seconds) < MIN_CHANCE:
        return Reject(RejectReason.OUTAGE_TOO_OLD)
    return Wait(seconds)


def choose_retry_after(expected_seconds, remaining_seconds, draw):
    """Return the Retry-After of a rejection in whole seconds, at least 1.

    Parameters
    ----------
    expected_seconds : float
        Expected time until a try can succeed.
    remaining_seconds : float or None
        Time that the caller has left, None if it did not say. Its time counts from its
        first try, which is not known then, so the shortest delay is chosen.
    draw : float
        Random number from 0 to 1, for the jitter.
    """
    if remaining_seconds is None:
        return MIN_RETRY_AFTER_SECONDS
    latest = max(
        MIN_RETRY_AFTER_SECONDS, math.floor(remaining_seconds - STORING_SECONDS)
    )
    wanted = min(latest, max(MIN_RETRY_AFTER_SECONDS, math.ceil(expected_seconds)))
    # The caller's next try may be its last, so the jitter only makes it come earlier.
    return max(MIN_RETRY_AFTER_SECONDS, wanted - int(draw < 0.5))
