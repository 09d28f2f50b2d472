"""Capacity and attributes of the usable workers as arrays, updated incrementally."""

from enum import IntEnum

import numpy as np

from cactustiller.model.jobs import MAX_TASKS_PER_JOB

from .snapshots import Amounts

RESOURCE_KINDS = 3
BUILTIN_ATTRIBUTES = ("zone", "rack", "make")


class CapacityClass(IntEnum):
    """Class of work by the free capacity that it may use.

    Urgent work may use all free capacity. Short work ends before the earliest claim
    starts and may use all but the capacity reserved for urgent work. Long work may use
    only unreserved capacity.
    """

    URGENT = 0
    SHORT = 1
    LONG = 2


class Fleet:
    """Capacity of all workers as arrays; rows are ordered by worker id.

    Attributes
    ----------
    names : list of WorkerId
    total, free : ndarray of shape (3, workers)
    is_open : ndarray of bool
        Which rows are not in an evacuated zone.
    version : int
        Grows whenever the set of workers or a constant property of one changes.
    """

    def __init__(self):
        self.version = 0
        self._snapshots = {}
        self._is_stale = True
        self._masks = {}
        self._rebuild()

    def put_worker(self, snapshot):
        """Add a worker, or update its free capacity."""
        known = self._snapshots.get(snapshot.worker)
        self._snapshots[snapshot.worker] = snapshot
        if known is None or _get_constants(known) != _get_constants(snapshot):
            self._is_stale = True
        elif not self._is_stale:
            self.free[:, self.rows[snapshot.worker]] = Amounts.of(snapshot.free)

    def remove_worker(self, worker):
        """Remove a worker that is not usable."""
        if self._snapshots.pop(worker, None) is not None:
            self._is_stale = True

    def refresh(self):
        """Rebuild the arrays if the set of workers has changed."""
        if self._is_stale:
            self._rebuild()

    def __contains__(self, worker):
        return worker in self._snapshots

    def has_open(self, worker):
        """Return whether a worker is listed and not in an evacuated zone."""
        snapshot = self._snapshots.get(worker)
        return snapshot is not None and not snapshot.is_evacuated

    def __iter__(self):
        return iter(self._snapshots)

    def get_snapshot(self, row):
        """Return the `WorkerSnapshot` of a row."""
        return self._snapshots[self.names[row]]

    def allocate(self, row, amounts, count=1):
        """Allocate `count` tasks on a row; a negative count releases them."""
        self.free[:, row] -= np.multiply(amounts, count)

    def find_eligible(self, required):
        """Return the mask of workers with all the required attributes."""
        key = tuple(sorted(required.items()))
        mask = self._masks.get(key)
        if mask is None:
            mask = np.ones(len(self.names), dtype=bool)
            for name, value in key:
                mask &= self._match(name, value)
            self._masks[key] = mask
        return mask

    def count_preferred(self, preferred):
        """Return the number of preferred attributes that each row has."""
        count = np.zeros(len(self.names))
        for name, value in preferred.items():
            count += self._match(name, value)
        return count

    def get_available(self, capacity_class):
        """Return the free capacity that a `CapacityClass` may use."""
        reserved = self._reserved[capacity_class]
        return self.free if reserved is None else self.free - reserved

    def find_fitting(self, amounts, capacity_class):
        """Return the mask of rows that fit one task."""
        free = self.get_available(capacity_class)
        cpu, memory, accelerators = amounts
        mask = free[0] >= cpu
        mask &= free[1] >= memory
        mask &= free[2] >= accelerators
        return mask

    def count_fitting(self, amounts, capacity):
        """Return how many tasks fit into each column of `capacity`."""
        counts = np.full(capacity.shape[1], MAX_TASKS_PER_JOB)
        counts[(capacity < 0).any(axis=0)] = 0
        for available, amount in zip(capacity, amounts, strict=True):
            if amount:
                np.minimum(counts, np.maximum(available, 0) // amount, out=counts)
        return counts

    def set_reserved(self, urgent, claimed):
        """Replace the capacity reserved for urgent work and for claims.

        Parameters
        ----------
        urgent, claimed : iterable of (WorkerId, Amounts)
        """
        reserved_for_urgent = self._sum_reserved(urgent)
        reserved_for_claims = self._sum_reserved(claimed)
        self._reserved[CapacityClass.SHORT] = reserved_for_urgent
        if reserved_for_claims is None:
            self._reserved[CapacityClass.LONG] = reserved_for_urgent
        else:
            both = (
                reserved_for_claims
                if reserved_for_urgent is None
                else reserved_for_urgent + reserved_for_claims
            )
            self._reserved[CapacityClass.LONG] = both

    def _sum_reserved(self, pairs):
        reserved = None
        for worker, amounts in pairs:
            row = self.rows.get(worker)
            if row is not None:
                reserved = np.zeros_like(self.free) if reserved is None else reserved
                reserved[:, row] += amounts
        return reserved

    def get_codes(self, attribute):
        """Return an integer code for each row's ``zone``, ``rack`` or ``make``."""
        return self._codes[attribute]

    def _match(self, name, value):
        snapshots = (self._snapshots[worker] for worker in self.names)
        return np.array(
            [read_attribute(snapshot, name) == value for snapshot in snapshots],
            dtype=bool,
        )

    def _rebuild(self):
        self.version += 1
        self._is_stale = False
        self._masks = {}
        self.names = sorted(self._snapshots)
        self.rows = {worker: row for row, worker in enumerate(self.names)}
        snapshots = [self._snapshots[worker] for worker in self.names]
        self.total = _stack(snapshot.total for snapshot in snapshots)
        self.free = _stack(snapshot.free for snapshot in snapshots)
        self.is_open = np.array([not s.is_evacuated for s in snapshots], dtype=bool)
        self._reserved = dict.fromkeys(CapacityClass)
        self.inverse_total = 1.0 / np.maximum(self.total[:2], 1)
        self.cell_capacity = np.maximum(self.total.sum(axis=1), 1)
        self.cell_capacity_list = self.cell_capacity.tolist()
        self.has_accelerators = self.total[2] > 0
        self._codes = {
            attribute: _encode([getattr(snapshot, attribute) for snapshot in snapshots])
            for attribute in BUILTIN_ATTRIBUTES
        }


def read_attribute(snapshot, name):
    """Return an attribute of a worker, None if it is not set."""
    if name in BUILTIN_ATTRIBUTES:
        return getattr(snapshot, name)
    return snapshot.attributes.get(name)


def _get_constants(snapshot):
    return (
        snapshot.shard,
        snapshot.zone,
        snapshot.rack,
        snapshot.make,
        snapshot.attributes,
        snapshot.total,
        snapshot.is_evacuated,
    )


def _stack(resources):
    rows = [Amounts.of(item) for item in resources]
    return np.array(rows, dtype=np.int64).reshape(-1, RESOURCE_KINDS).T.copy()


def _encode(values):
    codes = {value: code for code, value in enumerate(sorted(set(values)))}
    return np.array([codes[value] for value in values], dtype=np.int64)
