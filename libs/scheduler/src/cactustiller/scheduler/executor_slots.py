"""Listed executors of one service, and which of them may get new permits."""

from cactustiller.model import InstanceState


class ExecutorSlots:
    """Executors of one service by id.

    Parameters
    ----------
    service : ServiceName

    Attributes
    ----------
    infos : dict of str to BackendInfo
    evacuated : set of str
        Executors in evacuated zones.
    """

    def __init__(self, service):
        self.infos = {}
        self.evacuated = set()
        self._service = service

    def set_listing(self, executors, evacuated_zones):
        """Set the listed executors and the evacuated zones."""
        self.infos = {
            info.executor: info for info in executors if info.service == self._service
        }
        self.evacuated = {
            name for name, info in self.infos.items() if info.zone in evacuated_zones
        }

    def count_slots(self):
        """Return the number of slots for which permits may be granted."""
        return sum(info.slots for info in self.infos.values() if self._is_open(info))

    def choose(self, zone, avoid, count_free):
        """Return the `BackendInfo` of the executor to use, None if no slot is free.

        Prefers the zone, then the executor with the most free slots.

        Parameters
        ----------
        zone : str
        avoid : collection of str
            Executors not to use.
        count_free : callable
            Returns the number of free slots of a `BackendInfo`.
        """
        best = None
        best_rank = (False, 0, "")
        for name, info in self.infos.items():
            free = count_free(info)
            if free <= 0 or not self._is_open(info):
                continue
            rank = (info.zone == zone, free, name)
            if rank > best_rank and name not in avoid:
                best, best_rank = info, rank
        return best

    def _is_open(self, info):
        is_live = info.state is InstanceState.LIVE
        return is_live and info.executor not in self.evacuated
