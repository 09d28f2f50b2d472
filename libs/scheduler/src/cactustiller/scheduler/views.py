"""The member's view of all workers of the cell, its own and its peers'."""

from cactustiller.model import NOTHING, InstanceState
from cactustiller.policy import WorkerSnapshot


class CellView:
    """Static facts of the platform's list joined with the shards' digests."""

    def __init__(self):
        self.infos = {}
        self._views = {}

    def set_listing(self, listing):
        """Take the platform's list of workers."""
        self.infos = {info.worker: info for info in listing.workers}
        for worker in [name for name in self._views if name not in self.infos]:
            del self._views[worker]

    def take_views(self, views):
        """Take the free capacity that shards have published."""
        for view in views:
            self._views[view.worker] = view

    def hold(self, worker, resources):
        """Count a reservation until the shard's next digest."""
        view = self._views[worker]
        self._views[worker] = view.with_changes(free=view.free - resources)

    def note_denied(self, worker):
        """Avoid a worker until its shard's next digest."""
        view = self._views.get(worker)
        if view is not None:
            self._views[worker] = view.with_changes(free=NOTHING)

    def list_workers(self):
        """Return a `WorkerSnapshot` of every usable worker."""
        snapshots = []
        for worker, view in self._views.items():
            info = self.infos.get(worker)
            if info is None or not view.usable or info.state is InstanceState.LEAVING:
                continue
            snapshots.append(
                WorkerSnapshot(
                    worker=worker,
                    shard=view.shard,
                    zone=info.zone,
                    rack=info.rack,
                    make=info.make,
                    attributes=info.attributes,
                    total=info.resources,
                    free=view.free,
                )
            )
        return snapshots
