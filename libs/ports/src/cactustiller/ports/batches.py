"""Batches of one writer's operations that commit in a single transaction."""

import asyncio
from dataclasses import dataclass

from .records import Write

MAX_BATCH_RECORDS = 2000


@dataclass
class Operation:
    """One pending write; `done` resolves to the result of its transaction."""

    write: Write
    purpose: str
    done: asyncio.Future
    is_sent: bool = False

    @property
    def size(self):
        """Number of rows written or deleted."""
        return len(self.write.puts) + len(self.write.deletes)


class Batch:
    """Operations that can commit in one transaction with the same results."""

    def __init__(self):
        self.operations = []
        self._size = 0
        self._written = set()
        self._checked = {}

    def accepts(self, operation):
        """Return whether an operation can join with the same result as on its own.

        Two operations need separate transactions if they check one row at different
        versions, if both write one row, or if one writes a row that the other checks.
        """
        if not self.operations:
            return True
        if self._size + operation.size > MAX_BATCH_RECORDS:
            return False
        written = list_written_keys(operation.write)
        if written & (self._written | self._checked.keys()):
            return False
        return all(
            check.key not in self._written
            and self._checked.get(check.key, check.version) == check.version
            for check in operation.write.checks
        )

    def add(self, operation):
        """Add an operation that `accepts` allows."""
        operation.is_sent = True
        self.operations.append(operation)
        self._size += operation.size
        self._written |= list_written_keys(operation.write)
        for check in operation.write.checks:
            self._checked[check.key] = check.version


def list_written_keys(write):
    """Return the set of keys that a write puts or deletes."""
    return {put.key for put in write.puts} | set(write.deletes)
