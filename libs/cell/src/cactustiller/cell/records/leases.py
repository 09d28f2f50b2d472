"""Length of the lease that an owner states in its row.

Answers an owner whose renewals are slow although the store is not, because its machine
is weak or its cell large: other members cannot know that from their own calls. No I/O.
"""

# Lease of an owner that renews its row at the usual interval of 0.3 s.
USUAL_LEASE_SECONDS = 1.1
# A lease is this much longer than the given number of renewals.
LEASE_MARGIN_SECONDS = 0.5
LEASE_RENEWALS = 2.0
# Bounds the time without an owner after a slow one is lost: its successor renews the
# leases of the workers, of 6 s, once it has loaded the cell.
MAX_LEASE_SECONDS = 3.0
# Lease of an owner that loads the cell, since renewals wait behind the rows that it
# reads; and its bound after several that never served. The row is renewed in between,
# so the load itself may take longer.
LOADING_LEASE_SECONDS = 2.2
MAX_LOADING_LEASE_SECONDS = 4.4
# Time in which the longest interval between renewals loses half of its weight.
HALF_LIFE_SECONDS = 2.0


def choose_loading_lease(previous):
    """Return the lease of an owner while it loads the cell, in milliseconds.

    It doubles with each owner that was replaced before it had loaded the cell, so that
    one of them has time to finish.

    Parameters
    ----------
    previous : OwnerRecord
        Record of the former owner.
    """
    has_served = previous.is_serving or previous.is_released
    lease = previous.lease_ms / 1000 * (1 if has_served else 2)
    lease = max(LOADING_LEASE_SECONDS, min(lease, MAX_LOADING_LEASE_SECONDS))
    return int(lease * 1000)


class LeaseEstimate:
    """Lease of an owner, from the longest recent interval between its renewals.

    Parameters
    ----------
    loading_lease_ms : int
        Shortest lease while the owner loads the cell.
    """

    def __init__(self, loading_lease_ms):
        self._loading_lease_ms = loading_lease_ms
        lease_seconds = loading_lease_ms / 1000
        self._longest = (lease_seconds - LEASE_MARGIN_SECONDS) / LEASE_RENEWALS

    def record_renewal(self, interval, is_store_available):
        """Record a renewal.

        Parameters
        ----------
        interval : float
            Time since the previous one, in seconds.
        is_store_available : bool
            Whether the store was available all the time; an outage says nothing about
            the owner.
        """
        if is_store_available:
            decayed = self._longest * 0.5 ** (interval / HALF_LIFE_SECONDS)
            self._longest = max(decayed, interval)

    def choose_ms(self, is_serving):
        """Return the lease to state in the next renewal, in milliseconds."""
        needed = LEASE_MARGIN_SECONDS + LEASE_RENEWALS * self._longest
        lease = min(MAX_LEASE_SECONDS, max(USUAL_LEASE_SECONDS, needed))
        lease_ms = int(lease * 1000)
        return lease_ms if is_serving else max(lease_ms, self._loading_lease_ms)
