"""Client of the platform's transactional table service."""

import asyncio
import itertools
import random
from collections import Counter
from typing import Protocol

from result import Err, Result

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, Outcome

from .breaker import CircuitBreaker
from .http import CallCounters, call_json
from .records import Get, Read, ReadReply, Scan, TransactReply, Write

CALL_TIMEOUT_SECONDS = 1.5
READ_ATTEMPTS = 3
BACKOFF_SECONDS = 0.05
SCAN_PAGE_ROWS = 1000


class TablePort(Protocol):
    """Calls of the table service."""

    async def transact(self, write: Write) -> Result[TransactReply, Failure]:
        """Perform one conditional transaction."""

    async def read(self, read: Read) -> Result[ReadReply, Failure]:
        """Perform several gets and scans in one request."""


class HttpTable:
    """Table service over HTTP; a failed call switches to the next address."""

    def __init__(self, session, addresses, seconds=CALL_TIMEOUT_SECONDS):
        self.counters = CallCounters()
        self.transactions = 0
        self.reads = 0
        self._session = session
        self._addresses = itertools.cycle(addresses)
        self._address = next(self._addresses)
        self._seconds = seconds

    async def transact(self, write):
        """Perform one conditional transaction."""
        self.transactions += 1
        return await self._call("transact", "/v1/transact", write, TransactReply)

    async def read(self, read):
        """Perform several gets and scans in one request."""
        self.reads += 1
        return await self._call("read table", "/v1/read", read, ReadReply)

    async def _call(self, step, path, body, reply_class):
        answer = await call_json(
            self._session,
            self.counters,
            step,
            self._address,
            path,
            body,
            reply_class,
            self._seconds,
        )
        if answer.is_err():
            self._address = next(self._addresses)
        return answer


class TableReader:
    """Reads rows with up to `READ_ATTEMPTS` attempts behind a circuit breaker.

    Parameters
    ----------
    port : TablePort
    seed : int
        Seed for the jitter of the back-off.

    Attributes
    ----------
    reads_by_purpose : Counter of str
        Calls by the part before the first ``/`` of the first key or prefix.
    """

    def __init__(self, port, seed=0):
        self.reads_by_purpose = Counter()
        self._port = port
        self._random = random.Random(seed)
        self.breaker = CircuitBreaker(self._random)

    async def read(self, read):
        """Perform a `Read`; retries failures, since reads are idempotent."""
        for attempt in range(READ_ATTEMPTS):
            if not self.breaker.allows():
                return Err(_fail_paused_read(self.breaker.retry_after_seconds()))
            self.reads_by_purpose[_find_purpose(read)] += 1
            answer = await self._port.read(read)
            self.breaker.record(answer.is_ok())
            if answer.is_ok():
                return answer
            await asyncio.sleep(self._random.uniform(0, BACKOFF_SECONDS * 2**attempt))
        return answer

    async def read_row(self, key, known_version=0):
        """Return ``Ok(GotRow)`` or ``Err(Failure)``."""
        answer = await self.read(Read(gets=[Get(key=key, known_version=known_version)]))
        return answer.map(lambda reply: reply.gets[0])

    async def scan_rows(self, prefix):
        """Return ``Ok(list of Row)`` with all rows of a prefix, or ``Err(Failure)``."""
        rows = []
        after = ""
        while True:
            scan = Scan(prefix=prefix, after=after, limit=SCAN_PAGE_ROWS)
            answer = await self.read(Read(scans=[scan]))
            if answer.is_err():
                return answer
            page = answer.unwrap().scans[0]
            rows.extend(page.rows)
            after = page.next
            if not after:
                return answer.map(lambda _: rows)


def _find_purpose(read):
    keys = [get.key for get in read.gets] + [scan.prefix for scan in read.scans]
    return keys[0].partition("/")[0] if keys else "nothing"


def _fail_paused_read(retry_after_seconds):
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="read table",
        peer=TABLE_PEER,
        reason="the table service does not answer; reads are paused",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=int(retry_after_seconds * 1000),
    )
