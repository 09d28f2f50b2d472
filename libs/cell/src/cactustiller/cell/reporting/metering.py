"""Wrappers of a member's dependencies that count and time the calls."""

import asyncio

from cactustiller.model import Outcome

from ..ports import JOB_TABLE, OWNER_TABLE, PROGRESS_TABLE, Conflict, StartAnswer
from .metrics import Count, Latency

DONE = "done"
CONFLICT = "conflict"
NOT_RUN = "notRun"
UNKNOWN = "unknown"


class MeteredStore:
    """Row store whose calls are counted and timed by purpose.

    Parameters
    ----------
    store : RowStore
    metrics : Metrics
    """

    def __init__(self, store, metrics):
        self._store = store
        self._metrics = metrics

    async def transact(self, transaction, seconds):
        """Perform one transaction."""
        purpose = _name_purpose(transaction)
        size = sum(map(len, transaction.puts.values()))
        return await self._measure(
            purpose, size, self._store.transact(transaction, seconds)
        )

    async def read(self, table, part, first, last, seconds):
        """Return rows with keys from `first` to before `last`."""
        call = self._store.read(table, part, first, last, seconds)
        return await self._measure(f"read {table}", 0, call)

    async def follow(self, table, after, wait_seconds):
        """Return the rows changed after a version."""
        call = self._store.follow(table, after, wait_seconds)
        return await self._measure(f"follow {table}", 0, call)

    async def _measure(self, purpose, size, call):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            answer = await call
        except asyncio.CancelledError:
            # The caller stopped waiting, so the outcome is unknown.
            self._metrics.count(Count.STORE_CALLS, purpose, UNKNOWN)
            raise
        self._metrics.record(Latency.STORE_CALL, loop.time() - started_at, purpose)
        self._metrics.count(Count.STORE_CALLS, purpose, _name_outcome(answer))
        if answer.is_ok():
            rows = getattr(answer.unwrap(), "rows", ())
            size += sum(len(row.value) for row in rows if row.value is not None)
        self._metrics.count(Count.STORE_BYTES, purpose, amount=size)
        return answer


class MeteredWorkerCalls:
    """Calls to workers, counted and timed by kind and outcome.

    Parameters
    ----------
    calls : WorkerCalls
    metrics : Metrics
    """

    def __init__(self, calls, metrics):
        self._calls = calls
        self._metrics = metrics

    async def start(self, worker, order):
        """Start a run."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await self._calls.start(worker, order)
        self._record_call("start", loop.time() - started_at, answer.value)
        return answer

    async def stop(self, worker, task, run, fencing_token):
        """Stop a run."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await self._calls.stop(worker, task, run, fencing_token)
        self._record_call("stop", loop.time() - started_at, _name_outcome(answer))
        return answer

    async def pace(self, worker, task, run, percent, fencing_token):
        """Limit the speed of a run that fills idle capacity to a percentage."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await self._calls.pace(worker, task, run, percent, fencing_token)
        self._record_call("pace", loop.time() - started_at, _name_outcome(answer))
        return answer

    async def hold(self, worker, fencing_token, acked_through, deadline_ms, wait_ms):
        """Renew the lease of all runs and wait for one to end.

        The duration is mostly the wait, so only the outcome is recorded.
        """
        answer = await self._calls.hold(
            worker, fencing_token, acked_through, deadline_ms, wait_ms
        )
        self._metrics.count(Count.WORKER_CALLS, "hold", _name_outcome(answer))
        return answer

    def count_connections(self):
        """Return a `Counter` of the workers by their number of open connections."""
        return self._calls.count_connections()

    def _record_call(self, call, seconds, outcome):
        self._metrics.count(Count.WORKER_CALLS, call, outcome)
        if outcome != StartAnswer.UNANSWERED.value:
            self._metrics.record(Latency.WORKER_CALL, seconds, call)


class MeteredApprovals:
    """Approval service whose calls are counted.

    Parameters
    ----------
    approvals : ApprovalService
    metrics : Metrics
    """

    def __init__(self, approvals, metrics):
        self._approvals = approvals
        self._metrics = metrics

    async def ask(self, step, workers):
        """Return the approval for the given workers."""
        answer = await self._approvals.ask(step, workers)
        self._metrics.count(Count.APPROVAL_CALLS, _name_outcome(answer))
        return answer


def _name_outcome(answer):
    if answer.is_ok():
        return CONFLICT if isinstance(answer.unwrap(), Conflict) else DONE
    is_not_run = answer.unwrap_err().outcome is Outcome.NOT_RUN
    return NOT_RUN if is_not_run else UNKNOWN


def _name_purpose(transaction):
    """Return the purpose of a transaction by the tables that it changes."""
    tables = {key.table for key in (*transaction.puts, *transaction.removes)}
    if OWNER_TABLE in tables:
        return "batch" if tables & {JOB_TABLE, PROGRESS_TABLE} else "renew"
    if transaction.removes:
        return "remove"
    return f"write {' '.join(sorted(tables))}"
