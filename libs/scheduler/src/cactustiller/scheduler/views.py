"""View of all workers of the cell, those of this member's and of its peers' shards."""

from cactustiller.model import (
    NO_RESOURCES,
    InstanceState,
    PartitionId,
    Resources,
)
from cactustiller.policy import WorkerSnapshot

# Negative, so that even a task that requests no resources does not fit.
UNUSABLE = Resources.model_construct(cpu_millis=-1, memory_mib=-1, accelerators=-1)


class CellView:
    """Workers of the platform's list, joined with the digests of the shards.

    Parameters
    ----------
    list_evacuated : callable
        Returns the evacuated zones.

    Attributes
    ----------
    changed : set of WorkerId
        Workers to read again with `find_worker`; the reader clears it.
    """

    def __init__(self, list_evacuated=frozenset):
        self.infos = {}
        self._list_evacuated = list_evacuated
        self.changed = set()
        self._views = {}

    def set_listing(self, listing):
        """Set the platform's list of workers."""
        infos = {info.worker: info for info in listing.workers}
        self.changed.update(
            worker
            for worker in infos.keys() | self.infos.keys()
            if infos.get(worker) != self.infos.get(worker)
        )
        self.infos = infos
        for worker in [name for name in self._views if name not in self.infos]:
            del self._views[worker]

    def receive_views(self, views):
        """Process digests (`WorkerView`) that shards have published."""
        for view in views:
            self._views[view.worker] = view
            self.changed.add(view.worker)

    def reserve(self, worker, resources):
        """Subtract a reservation from the view until the shard's next digest."""
        view = self._views[worker]
        self._views[worker] = view.with_changes(free=view.free - resources)

    def mark_denied(self, worker):
        """Treat a worker as full until the next digest of its shard."""
        view = self._views.get(worker)
        if view is not None:
            self._views[worker] = view.with_changes(free=UNUSABLE)
            self.changed.add(worker)

    def mark_zones(self, zones):
        """Mark the workers of zones whose evacuation has changed."""
        self.changed.update(
            worker for worker, info in self.infos.items() if info.zone in zones
        )

    def find_worker(self, worker):
        """Return the `WorkerSnapshot` of a worker.

        Returns None if the worker is not listed or is leaving. A worker that is not
        usable now has no free capacity.
        """
        info = self.infos.get(worker)
        if info is None or info.state is InstanceState.LEAVING:
            return None
        view = self._views.get(worker)
        is_usable = view is not None and view.usable
        free = view.free if view is not None else NO_RESOURCES
        is_evacuated = info.zone in self._list_evacuated()
        return WorkerSnapshot(
            worker=worker,
            shard=view.shard if view else PartitionId(""),
            zone=info.zone,
            rack=info.rack,
            make=info.make,
            attributes=info.attributes,
            total=info.resources,
            free=free if is_usable and not is_evacuated else UNUSABLE,
            withheld=free if is_evacuated else None,
        )
