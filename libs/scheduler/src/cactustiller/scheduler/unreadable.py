"""Committed assignments of a shard whose rows cannot be read.

Such a run may be in progress, so its worker takes no further runs until the run's home
has described it again. If the row does not name the worker, the worker that reports
the run takes no further ones.
"""

from typing import NamedTuple

from cactustiller.model import RunRecord, RunState
from cactustiller.ports import decode_rows

from .runs import RunEntry, RunPhase, make_run_key, run_row_key


class _Report(NamedTuple):
    """Latest status of a run from its worker, and the worker's boot id."""

    status: object
    boot: str


class UnreadableRuns:
    """Unreadable runs of one shard, by the key of their row.

    Parameters
    ----------
    shard : PartitionId
    on_change : callable
        Called with the session of a worker that is blocked or no longer blocked.
    """

    def __init__(self, shard, on_change):
        self._shard = shard
        self._on_change = on_change
        self._workers = {}
        self._reports = {}

    def read(self, rows):
        """Return the `RunRecord` in each row, and keep the keys of malformed rows."""

        def make_key(record):
            return run_row_key(self._shard, record.job, record.index)

        step = f"recover {self._shard}"
        records, unreadable = decode_rows(rows, RunRecord, step, make_key)
        for row in unreadable:
            worker = row.value.get("worker") if isinstance(row.value, dict) else None
            self._workers[row.key] = worker if isinstance(worker, str) else None
        return records

    def has(self, run):
        """Return whether the row of a run's task is unreadable."""
        return run_row_key(self._shard, run.job, run.index) in self._workers

    def watch(self, session):
        """Block a worker as long as it may have an unreadable run."""

        def is_orphan(status, boot):
            if not self.has(status):
                return status.state is RunState.RUNNING
            key = run_row_key(self._shard, status.job, status.index)
            self._workers[key] = session.info.worker
            self._reports[make_run_key(status)] = _Report(status, boot)
            self._update(session)
            return False

        session.is_orphan = is_orphan
        self._update(session)

    def claim(self, run, sessions):
        """Add a run as its home describes it; return whether its worker is known."""
        session = sessions.get(run.worker)
        if session is None:
            return False
        status, boot = self._reports.pop(make_run_key(run), (None, ""))
        entry = RunEntry(run, RunPhase.RECOVERED, lease_until=None, is_inherited=True)
        session.claim(entry, status, boot)
        del self._workers[run_row_key(self._shard, run.job, run.index)]
        for other in sessions.values():
            self._update(other)
        return True

    def _update(self, session):
        keys = [k for k, name in self._workers.items() if name == session.info.worker]
        reason = f"the row {min(keys)} cannot be read" if keys else ""
        if session.block_reason != reason:
            session.block_reason = reason
            self._on_change(session)
