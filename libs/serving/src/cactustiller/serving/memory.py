"""Which request gives way when the memory for requests is full; no I/O.

Load: more clients than the memory holds send large requests and stop before the end,
beside ordinary callers whose small requests arrive at once.
"""

from .refusals import RefusalReason


class RequestMemory:
    """Memory of the requests that one process receives and handles.

    The incomplete request that began first gives way, since those of ordinary callers
    are complete within one round trip. A request that a handler has is never dropped.

    Parameters
    ----------
    capacity_bytes : int

    Attributes
    ----------
    used_bytes : int
    """

    def __init__(self, capacity_bytes):
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        # Requests that are being received, the one that began first in front.
        self._receiving = {}
        self._handling = {}

    def receive(self, holder, size):
        """Account for what an incomplete request holds now.

        Parameters
        ----------
        holder : object
            With a method ``drop(reason)``, which calls `release`.
        size : int
            Bytes; 0 for a request that has not begun.

        Returns
        -------
        bool
            Whether the request may go on.
        """
        if not size:
            self.release(holder)
            return True
        self.used_bytes += size - self._receiving.get(holder, 0)
        self._receiving[holder] = size
        while self.used_bytes > self.capacity_bytes:
            oldest = next(iter(self._receiving))
            if oldest is holder:
                self.release(holder)
                return False
            oldest.drop(RefusalReason.MEMORY_FULL)
        return True

    def handle(self, holder, size):
        """Account for a complete request; return whether a handler may have it."""
        self.release(holder)
        while self.used_bytes + size > self.capacity_bytes:
            oldest = next(iter(self._receiving), None)
            if oldest is None:
                return False
            oldest.drop(RefusalReason.MEMORY_FULL)
        self._handling[holder] = size
        self.used_bytes += size
        return True

    def release(self, holder):
        """Forget the request of a holder."""
        self.used_bytes -= self._receiving.pop(holder, 0)
        self.used_bytes -= self._handling.pop(holder, 0)
