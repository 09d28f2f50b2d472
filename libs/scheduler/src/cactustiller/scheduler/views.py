"""The member's view of all workers of the cell, its own and its peers'."""

from cactustiller.model import InstanceState, PartitionId, Resources
from cactustiller.policy import WorkerSnapshot

# Less than nothing, so that not even a task without amounts fits.
UNUSABLE = Resources.model_construct(cpu_millis=-1, memory_mib=-1, accelerators=-1)


class CellView:
    """Static facts of the platform's list joined with the shards' digests.

    Attributes
    ----------
    changed : set of WorkerId
        Workers to be read again by `find_worker`; emptied by the reader.
    """

    def __init__(self):
        self.infos = {}
        self.changed = set()
        self._views = {}

    def set_listing(self, listing):
        """Take the platform's list of workers."""
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
        """Take the free capacity that shards have published."""
        for view in views:
            self._views[view.worker] = view
            self.changed.add(view.worker)

    def reserve(self, worker, resources):
        """Count a reservation until the shard's next digest."""
        view = self._views[worker]
        self._views[worker] = view.with_changes(free=view.free - resources)

    def mark_denied(self, worker):
        """Avoid a worker until its shard's next digest."""
        view = self._views.get(worker)
        if view is not None:
            self._views[worker] = view.with_changes(free=UNUSABLE)
            self.changed.add(worker)

    def find_worker(self, worker):
        """Return the `WorkerSnapshot` of a listed worker that is not leaving.

        One that is not usable now has no free capacity. None where it is not listed.
        """
        info = self.infos.get(worker)
        if info is None or info.state is InstanceState.LEAVING:
            return None
        view = self._views.get(worker)
        is_usable = view is not None and view.usable
        return WorkerSnapshot(
            worker=worker,
            shard=view.shard if view else PartitionId(""),
            zone=info.zone,
            rack=info.rack,
            make=info.make,
            attributes=info.attributes,
            total=info.resources,
            free=view.free if is_usable else UNUSABLE,
        )
