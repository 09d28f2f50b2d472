"""Table service: conditional transactions over versioned rows in memory."""

import asyncio
from typing import Any

import typer
from aiohttp import web
from pydantic import Field, ValidationError
from sortedcontainers import SortedDict

from cactustiller.model import Record

from .faults import (
    FaultSwitch,
    StoreFaults,
    build_fault_routes,
    build_store_middleware,
    respond_invalid,
    respond_json,
)
from .server import build_application, serve_until_signal


class Check(Record):
    """Condition that a row still has this version; 0 where it must not exist."""

    key: str
    version: int


class Put(Record):
    """Row to write."""

    key: str
    value: dict[str, Any]


class Row(Record):
    """Row as stored; version 0 and value null for a missing one."""

    key: str
    version: int = 0
    value: dict[str, Any] | None = None


class TransactRequest(Record):
    """Checks and writes that happen all or not at all."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Committed(Record):
    """The transaction took effect at this version."""

    committed: bool = True
    version: int


class Conflicted(Record):
    """The transaction had no effect; the rows whose version differed."""

    committed: bool = False
    conflicts: list[Row]


class Get(Record):
    """Row to read, unless the caller's version is current."""

    key: str
    known_version: int = 0


class Scan(Record):
    """Range of rows to read, in order of keys."""

    prefix: str
    after: str = ""
    limit: int = Field(default=1000, ge=1)


class ReadRequest(Record):
    """Rows and ranges to read at one moment."""

    gets: list[Get] = []
    scans: list[Scan] = []


class GetReply(Row):
    """Row read; `unchanged` where the caller knows this version."""

    unchanged: bool = False


class ScanReply(Record):
    """Rows of a range; `next` is empty at its end."""

    rows: list[Row]
    next: str


class ReadReply(Record):
    """Answers in the order of the request."""

    gets: list[GetReply]
    scans: list[ScanReply]


class TableStats(Record):
    """Counts since the start; `records` counts rows written or deleted."""

    transactions: int
    records: int
    reads: int
    rows: int


class TableStore:
    """Rows in memory with a commit counter of the whole table."""

    def __init__(self):
        self.rows = SortedDict()
        self.version = 0
        self.transactions = 0
        self.records = 0
        self.reads = 0

    def transact(self, request):
        """Write all rows or none; returns `Committed` or `Conflicted`."""
        self.transactions += 1
        conflicts = [
            current
            for check in request.checks
            if (current := self._find(check.key)).version != check.version
        ]
        if conflicts:
            return Conflicted(conflicts=conflicts)
        self.version += 1
        for key in request.deletes:
            self.rows.pop(key, None)
        for put in request.puts:
            self.rows[put.key] = Row.model_construct(
                key=put.key, version=self.version, value=put.value
            )
        self.records += len(request.puts) + len(request.deletes)
        return Committed(version=self.version)

    def read(self, request):
        """Return a `ReadReply` with the rows at this moment."""
        self.reads += 1
        return ReadReply.model_construct(
            gets=[self._get(get) for get in request.gets],
            scans=[self._scan(scan) for scan in request.scans],
        )

    def count(self):
        """Return the `TableStats`."""
        return TableStats(
            transactions=self.transactions,
            records=self.records,
            reads=self.reads,
            rows=len(self.rows),
        )

    def _find(self, key):
        return self.rows.get(key) or Row.model_construct(key=key)

    def _get(self, get):
        row = self._find(get.key)
        unchanged = row.version == get.known_version
        return GetReply.model_construct(
            key=row.key,
            version=row.version,
            value=None if unchanged else row.value,
            unchanged=unchanged,
        )

    def _scan(self, scan):
        resumes = scan.after >= scan.prefix and scan.after != ""
        start = scan.after if resumes else scan.prefix
        rows = []
        for key in self.rows.irange(minimum=start, inclusive=(not resumes, True)):
            if not key.startswith(scan.prefix):
                break
            if len(rows) == scan.limit:
                return ScanReply.model_construct(rows=rows, next=rows[-1].key)
            rows.append(self.rows[key])
        return ScanReply.model_construct(rows=rows, next="")


def build_table(store, switch):
    """Return the HTTP application of a store and its `FaultSwitch`."""

    def answer(record_type, handle):
        async def handler(request):
            try:
                parsed = record_type.model_validate_json(await request.read())
            except ValidationError as error:
                return respond_invalid(error)
            return respond_json(handle(parsed))

        return handler

    async def show_stats(request):
        return respond_json(store.count())

    routes = [
        web.post("/v1/transact", answer(TransactRequest, store.transact)),
        web.post("/v1/read", answer(ReadRequest, store.read)),
        web.get("/stats", show_stats),
        *build_fault_routes(switch),
    ]
    return build_application(routes, [build_store_middleware(switch)])


def main(host: str = "127.0.0.1", port: int = 21001):
    """Run the table service until SIGTERM or SIGINT."""
    application = build_table(TableStore(), FaultSwitch(StoreFaults()))
    asyncio.run(serve_until_signal(application, host, port))


if __name__ == "__main__":
    typer.run(main)
