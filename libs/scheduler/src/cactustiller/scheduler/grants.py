"""Records of a pool: granted permits, their holders and scheduled releases."""

from dataclasses import dataclass, field

PERMIT_LIFETIME_SECONDS = 4.0
EXPIRY_MARGIN_SECONDS = 0.5
WAITING_TTL_SECONDS = 0.5
# A permit number holds, from its highest bits, the epoch, the generation and a count.
EPOCH_SHIFT = 44
GENERATION_SHIFT = 32


@dataclass(slots=True)
class Grant:
    """Permit of a gateway; occupies its slot until freed, even once expired."""

    executor: str
    gateway: str
    renewed_until: float


@dataclass(slots=True)
class Holder:
    """Permits and demand of one gateway incarnation, as of its last request.

    Parameters
    ----------
    sequence : int
        Sequence number of the request.
    numbers : set of int
        Numbers of the permits that it holds.
    waiting : int
        Slots that it requested and did not get.
    last_seen_at : float
        Loop time of the request.
    """

    sequence: int = 0
    numbers: set = field(default_factory=set)
    waiting: int = 0
    last_seen_at: float = float("-inf")

    def get_unmet_demand(self, now):
        """Return how many slots it still waits for at loop time `now`."""
        return self.waiting if now - self.last_seen_at < WAITING_TTL_SECONDS else 0


@dataclass(slots=True)
class Release:
    """Scheduled release, at time `at`, of grants expired before `expired_before`."""

    at: float
    expired_before: float


def find_expiry(now):
    """Return the loop time at which a permit granted or renewed now has expired."""
    return now + PERMIT_LIFETIME_SECONDS + EXPIRY_MARGIN_SECONDS


def find_first_number(epoch, generation):
    """Return the number that precedes the permits of a pool's epoch and generation."""
    return (epoch << EPOCH_SHIFT) + (generation << GENERATION_SHIFT)
