"""Decision when a member claims a cell whose owner has stopped renewing its row.

Answers two load patterns: an owner that is lost or cut off at full load, when weak
members would take seconds to load the jobs while the workers idle; and a takeover that
all members of a large cell notice at the same moment. No I/O.
"""

from typing import NamedTuple

import orjson

from cactustiller.model import Epoch, MemberId

from .leases import USUAL_LEASE_SECONDS

# Age of the row at which a member takes over if the owner's process refuses
# connections: two renewal intervals.
SUSPECT_TAKEOVER_AFTER_SECONDS = 0.65
# A member must also have observed the row unchanged for this long, so that an owner
# can renew it after the store was unavailable to all.
MIN_UNCHANGED_SECONDS = 0.4
# Allowance for a slow store, in read latencies: a renewal takes about two, and the
# owner waits for one renewal before it starts the next.
READS_PER_RENEWAL = 4.0
# The same for an owner that has stopped announcing itself.
READS_PER_RENEWAL_IF_UNANNOUNCED = 2.0
# Claim delay of a member of strength 0; one of strength 1 claims without delay.
MAX_CLAIM_DELAY_SECONDS = 0.8
# Standbys are the strongest members, which claim before the others. Each is at least
# this fraction as strong as the strongest.
MAX_STANDBYS = 3
STANDBY_STRENGTH_RATIO = 0.8
# Time that the standbys have to read the row, to find it unchanged and to claim it.
STANDBY_LEAD_SECONDS = 1.2


class OwnerRecord(NamedTuple):
    """Value of the owner's row.

    Attributes
    ----------
    sequence : int
        Number of the transaction within the epoch; shows after a lost answer whether
        the transaction was committed.
    renewed_ms : int
        Time of the renewal on the store's clock, as estimated by the owner.
    is_released : bool
        Whether the owner has released the cell.
    is_serving : bool
        Whether the owner has loaded the cell's jobs and answers calls.
    lease_ms : int
        Age of the row at which other members take over, while the store is fast.
    """

    epoch: Epoch
    member: MemberId
    address: str
    sequence: int
    renewed_ms: int
    is_released: bool = False
    is_serving: bool = False
    lease_ms: int = int(USUAL_LEASE_SECONDS * 1000)


NO_OWNER = OwnerRecord(Epoch(0), MemberId(""), "", 0, 0, True)


def encode_owner(record):
    """Return the value of the owner's row."""
    return orjson.dumps(list(record))


def decode_owner(row):
    """Return the `OwnerRecord` of a row, or `NO_OWNER` if the row does not exist."""
    if row is None or row.value is None:
        return NO_OWNER
    return OwnerRecord(*orjson.loads(row.value))


def should_claim(
    record,
    version,
    first_seen,
    store_now_ms,
    now,
    read_seconds=0.0,
    is_suspect=False,
    is_unannounced=False,
):
    """Return whether a member should take over the cell.

    Parameters
    ----------
    record : OwnerRecord
    version : int
        Version of the row in the latest read.
    first_seen : tuple of (int, float)
        Version of the row in previous reads and the loop time of the first of them;
        reset by a failed read.
    store_now_ms : int
        Time of the store.
    now : float
        Loop time in seconds.
    read_seconds : float
        Duration of the read; with a slow store the owner renews its row less often.
    is_suspect : bool
        Whether the owner's process refused a connection; takeover is then sooner.
    is_unannounced : bool
        Whether the owner has stopped announcing itself.
    """
    if record.is_released:
        return True
    age = (store_now_ms - record.renewed_ms) / 1000
    lease = record.lease_ms / 1000
    # An owner that renews its row slowly also needs longer for it after an outage, and
    # may seem to refuse calls.
    pace = lease / USUAL_LEASE_SECONDS
    is_unchanged = (
        first_seen[0] == version and now - first_seen[1] >= pace * MIN_UNCHANGED_SECONDS
    )
    takeover_age = pace * SUSPECT_TAKEOVER_AFTER_SECONDS if is_suspect else lease
    allowed_reads = (
        READS_PER_RENEWAL_IF_UNANNOUNCED if is_unannounced else READS_PER_RENEWAL
    )
    return is_unchanged and age >= takeover_age + allowed_reads * read_seconds


def choose_standbys(strengths):
    """Return the members that claim a cell before the others.

    Parameters
    ----------
    strengths : list of (str, float)
        Address and strength of each member, in the order in which they take over.

    Returns
    -------
    set of str
        Addresses of at most `MAX_STANDBYS` members, all about as strong as the first.
    """
    if not strengths:
        return set()
    least = STANDBY_STRENGTH_RATIO * strengths[0][1]
    return {
        address for address, strength in strengths[:MAX_STANDBYS] if strength >= least
    }


def choose_claim_delay(strength, is_standby):
    """Return how long a member that may claim the cell leaves it to others, in seconds.

    Parameters
    ----------
    strength : float
        Suitability of the member's machine from 0 to 1.
    is_standby : bool or None
        Whether the last owner announced that this member is a standby; None if it did
        not announce itself to this member.
    """
    if is_standby:
        return 0.0
    lead = STANDBY_LEAD_SECONDS if is_standby is False else 0.0
    return lead + (1.0 - strength) * MAX_CLAIM_DELAY_SECONDS
