"""Operations of one writer that share a transaction."""

import asyncio
from dataclasses import dataclass

from .records import Write

MAX_BATCH_RECORDS = 2000


@dataclass
class Operation:
    """One write that waits for its transaction."""

    write: Write
    purpose: str
    done: asyncio.Future
    is_sent: bool = False

    @property
    def size(self):
        """Number of rows written or deleted."""
        return len(self.write.puts) + len(self.write.deletes)


class Batch:
    """Operations that one transaction can carry without changing their meaning."""

    def __init__(self):
        self.operations = []
        self._size = 0
        self._written = set()
        self._checked = {}

    def accepts(self, operation):
        """Return whether an operation can join without changing a meaning.

        Two operations that check one row at different versions, or one that checks
        what an earlier one writes, have to stay apart.
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
        """Add an accepted operation."""
        operation.is_sent = True
        self.operations.append(operation)
        self._size += operation.size
        self._written |= list_written_keys(operation.write)
        for check in operation.write.checks:
            self._checked[check.key] = check.version


def list_written_keys(write):
    """Return the keys that a write puts or deletes."""
    return {put.key for put in write.puts} | set(write.deletes)
