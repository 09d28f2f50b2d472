"""Group commit of one writer, fenced by a row that each commit rewrites.

At most one transaction is in flight. Each transaction checks the version of the
writer's fence row and rewrites the row with a new random token. Therefore

* a retried or delayed transaction takes effect at most once,
* the token in the row shows whether a transaction with a lost reply took effect,
* another member that rewrites the fence row makes all later commits fail.
"""

import asyncio
import random
import secrets
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import structlog
from result import Err, Ok

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, Outcome
from cactustiller.model.supervision import keep_running

from .batches import Batch, Operation
from .records import Check, Put, TransactReply, Write

INITIAL_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
REFUSE_AFTER_SECONDS = 1.0

log = structlog.get_logger(__name__)


class _SentTransaction(NamedTuple):
    """Reply to a transaction that may have been sent several times.

    `earlier_may_have_run` is set if an earlier attempt may have taken effect.
    `first_sent_at` is then the time of the first attempt, else that of the last.
    """

    reply: TransactReply
    first_sent_at: float
    earlier_may_have_run: bool


@dataclass
class CommitCounters:
    """Transactions, written records, conflicts and lost replies of a writer."""

    transactions: int = 0
    records: int = 0
    conflicts: int = 0
    lost_answers: int = 0
    records_by_purpose: dict = field(default_factory=dict)


class Conflict(Failure):
    """Failed commit: `rows` had other versions than their checks expected."""

    rows: list = []


class Committer:
    """Batches and serialises the durable writes of one member.

    Parameters
    ----------
    port : TablePort
    fence_key : str
        Key of the member's row, which serves as the fence row.
    make_fence_value : callable
        Maps a token to the fence row's value, a dict that holds it as ``token``.
    delay_seconds : float
        Time in which further operations can join a transaction.
    """

    def __init__(self, port, fence_key, make_fence_value, delay_seconds=0.005, seed=0):
        self.counters = CommitCounters()
        self.is_fenced = False
        self.confirmed_at = float("-inf")
        self._port = port
        self._fence_key = fence_key
        self._make_fence_value = make_fence_value
        self._delay_seconds = delay_seconds
        self._random = random.Random(seed)
        self._version = 0
        self._queue = deque()
        self._in_flight = []
        self._wake = asyncio.Event()
        self._stuck_since = None
        self._task = None

    @property
    def fence_version(self):
        """Version of the fence row after the last confirmed commit."""
        return self._version

    def start(self, fence_version):
        """Start the commit loop; `fence_version` is the fence row's current version."""
        self._version = fence_version
        self._task = asyncio.create_task(keep_running("commit writes", self._run))

    async def stop(self):
        """Stop; queued writes fail with `NOT_RUN`, those in flight with `UNKNOWN`."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        for operation in self._in_flight:
            _resolve(operation, _fail_in_flight(operation))
        for operation in self._queue:
            _resolve(operation, _refuse("the writer has stopped"))
        self._queue.clear()

    @property
    def is_stuck(self):
        """Whether the transaction in flight has failed for `REFUSE_AFTER_SECONDS`."""
        if self._stuck_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._stuck_since > REFUSE_AFTER_SECONDS

    async def commit(self, write, purpose, timeout_seconds=5.0, wait_if_stuck=False):
        """Commit a write and return ``Ok(version)`` or ``Err(Failure)``.

        A `Conflict` lists the rows whose checks failed. The outcome `NOT_RUN`
        guarantees that the write has not taken effect and never will. While
        `is_stuck`, a write is refused at once; with `wait_if_stuck` it is queued
        until the timeout.
        """
        if self.is_fenced:
            return _fence_failure()
        if self.is_stuck and not wait_if_stuck:
            return _refuse("the table service does not answer")
        operation = Operation(write, purpose, asyncio.Future())
        self._queue.append(operation)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_seconds):
                return await asyncio.shield(operation.done)
        except TimeoutError:
            return self._abandon(operation, timeout_seconds)
        except asyncio.CancelledError:
            self._abandon(operation, timeout_seconds)
            raise

    def _abandon(self, operation, timeout_seconds):
        if not operation.is_sent and operation in self._queue:
            self._queue.remove(operation)
            return _refuse("the table service does not answer in time")
        if operation.done.done():
            return operation.done.result()
        return Err(
            Failure(
                code=ErrorCode.TIMEOUT,
                step=f"commit {operation.purpose}",
                peer=TABLE_PEER,
                reason=f"no answer within {timeout_seconds} s",
                outcome=Outcome.UNKNOWN,
                retry_after_ms=1000,
            )
        )

    async def _run(self):
        while not self.is_fenced:
            await self._wake.wait()
            await asyncio.sleep(self._delay_seconds)
            self._wake.clear()
            batch = self._take_batch()
            try:
                while batch and not self.is_fenced:
                    batch = await self._commit_batch(batch)
            except Exception:
                for operation in batch:
                    _resolve(operation, _fail_in_flight(operation))
                raise
            if self._queue:
                self._wake.set()

    def _take_batch(self):
        batch = Batch()
        while self._queue and batch.accepts(self._queue[0]):
            batch.add(self._queue.popleft())
        return batch.operations

    async def _commit_batch(self, batch):
        """Commit a batch; after a conflict, return the other operations to retry."""
        token = secrets.token_hex(8)
        write = self._merge(batch, token)
        self._in_flight = batch
        transaction = await self._send_until_answered(write, token)
        self._in_flight = []
        reply = self._interpret(transaction, token)
        if reply is None:
            self._fence(batch, transaction.earlier_may_have_run)
            return []
        if reply.committed:
            self._version = reply.version
            # The first attempt may be the one that took effect, and other members
            # measure the lease from that time.
            self.confirmed_at = transaction.first_sent_at
            self._count(batch)
            for operation in batch:
                _resolve(operation, Ok(reply.version))
            return []
        return self._drop_conflicting(batch, reply.conflicts)

    def _merge(self, batch, token):
        checks = {check.key: check for item in batch for check in item.write.checks}
        checks[self._fence_key] = Check(key=self._fence_key, version=self._version)
        puts = [put for item in batch for put in item.write.puts]
        puts.append(Put(key=self._fence_key, value=self._make_fence_value(token)))
        deletes = [key for item in batch for key in item.write.deletes]
        return Write(checks=list(checks.values()), puts=puts, deletes=deletes)

    async def _send_until_answered(self, write, token):
        """Send one transaction, with back-off, until the table service answers."""
        loop = asyncio.get_running_loop()
        backoff = INITIAL_BACKOFF_SECONDS
        first_sent_at = loop.time()
        may_have_run = False
        while True:
            sent_at = loop.time()
            self.counters.transactions += 1
            try:
                answer = await self._port.transact(write)
            except Exception as error:
                # The token shows later whether the transaction took effect.
                log.exception("commit_failed", step="commit", peer=TABLE_PEER)
                failure = _refuse(f"{type(error).__name__}: {error}").unwrap_err()
                answer = Err(failure.with_changes(outcome=Outcome.UNKNOWN))
            if answer.is_ok():
                self._stuck_since = None
                since = first_sent_at if may_have_run else sent_at
                return _SentTransaction(answer.unwrap(), since, may_have_run)
            may_have_run |= answer.unwrap_err().outcome is not Outcome.NOT_RUN
            if self._stuck_since is None:
                self._stuck_since = sent_at
                log.warning("commit_retried", reason=str(answer.unwrap_err()))
            await asyncio.sleep(self._random.uniform(backoff / 2, backoff))
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    def _interpret(self, transaction, token):
        """Return the reply, as committed if the row has `token`; None if fenced."""
        reply = transaction.reply
        if reply.committed:
            return reply
        fence = [row for row in reply.conflicts if row.key == self._fence_key]
        if not fence:
            return reply
        if fence[0].value is not None and fence[0].value.get("token") == token:
            self.counters.lost_answers += 1
            return reply.with_changes(committed=True, version=fence[0].version)
        return None

    def _drop_conflicting(self, batch, conflicts):
        self.counters.conflicts += 1
        failed = {row.key: row for row in conflicts}
        remaining = []
        for operation in batch:
            rows = [
                failed[check.key]
                for check in operation.write.checks
                if check.key in failed
            ]
            if rows:
                _resolve(operation, Err(_make_conflict(operation.purpose, rows)))
            else:
                remaining.append(operation)
        return remaining

    def _fence(self, batch, earlier_may_have_run):
        self.is_fenced = True
        log.error("writer_fenced", fence=self._fence_key)
        # An earlier attempt without a reply may have taken effect before the
        # takeover replaced the token in the fence row.
        outcome = Outcome.UNKNOWN if earlier_may_have_run else Outcome.NOT_RUN
        for operation in batch:
            _resolve(operation, _fence_failure(outcome))
        for operation in self._queue:
            _resolve(operation, _fence_failure())
        self._queue.clear()

    def _count(self, batch):
        counters = self.counters
        for operation in batch:
            counters.records += operation.size
            by_purpose = counters.records_by_purpose
            previous = by_purpose.get(operation.purpose, 0)
            by_purpose[operation.purpose] = previous + operation.size


def _resolve(operation, result):
    if not operation.done.done():
        operation.done.set_result(result)


def _make_conflict(purpose, rows):
    names = ", ".join(f"{row.key} is at version {row.version}" for row in rows[:3])
    return Conflict(
        code=ErrorCode.CONFLICT,
        step=f"commit {purpose}",
        peer=TABLE_PEER,
        reason=names,
        rows=rows,
    )


def _fail_in_flight(operation):
    return Err(
        Failure(
            code=ErrorCode.UNAVAILABLE,
            step=f"commit {operation.purpose}",
            peer=TABLE_PEER,
            reason="the writer stopped before the reply arrived",
            outcome=Outcome.UNKNOWN,
            retry_after_ms=1000,
        )
    )


def _refuse(reason):
    return Err(
        Failure(
            code=ErrorCode.UNAVAILABLE,
            step="commit",
            peer=TABLE_PEER,
            reason=reason,
            outcome=Outcome.NOT_RUN,
            retry_after_ms=2000,
        )
    )


def _fence_failure(outcome=Outcome.NOT_RUN):
    return Err(
        Failure(
            code=ErrorCode.FENCED,
            step="commit",
            peer=TABLE_PEER,
            reason="another member has taken over; this member restarts",
            outcome=outcome,
            retry_after_ms=1000,
        )
    )
