"""Index of the workers of a round by free CPU; no I/O.

Answers a full cell with a long queue: a blocked step looks only at the few workers that
have enough free CPU for one of its tasks, and not at every worker.
"""

from bisect import bisect_left, insort


class FreeCapacity:
    """Workers of one round in ascending order of free CPU, then of their ids.

    Parameters
    ----------
    workers : iterable of Worker
    """

    def __init__(self, workers):
        self._entries = sorted(map(_make_entry, workers))

    @property
    def max_cpu(self):
        """Largest free CPU of any worker, in thousandths of a core."""
        return self._entries[-1][0] if self._entries else 0

    def iterate_fitting(self, cpu):
        """Yield the workers with at least that much free CPU, the fullest first.

        Tasks without CPU fit on any worker.
        """
        first = bisect_left(self._entries, (cpu,)) if cpu else 0
        for _, _, worker in self._entries[first:]:
            yield worker

    def remove(self, worker):
        """Remove a worker from the index."""
        del self._entries[bisect_left(self._entries, _make_entry(worker))]

    def take(self, worker, amounts):
        """Take capacity of a worker and update its position."""
        self.remove(worker)
        worker.take_capacity(amounts)
        insort(self._entries, _make_entry(worker))


def _make_entry(worker):
    return worker.free_cpu, worker.info.worker, worker
