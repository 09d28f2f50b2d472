"""Stand-in of the platform's metadata store, served over HTTP."""

import asyncio
import base64
import time
from contextvars import ContextVar

import orjson
from aiohttp import web

READ_SECONDS = 0.004
TRANSACT_SECONDS = 0.005
ROW_BYTES = 65_536
MAX_CALL_BYTES = 1_000_000
MAX_ENTRIES = 100
PAGE_ROWS = 500
# Longer than any caller waits.
SILENT_SECONDS = 30.0
# Peer address of the daemon that reads, if its calls arrive at a port of its own.
READER = ContextVar("reader", default="")


class PlatformStore:
    """Rows with versions, conditional transactions and change feeds.

    Attributes
    ----------
    mode : str
        ``up``, ``busy`` (503 at once) or ``silent``.
    refused_sizes : list of int
        Sizes of the values that exceeded the limit of a row.
    rewrite : callable
        Returns the value that a reader gets of a row. It puts relays on the path
        between daemons, whose addresses are in the rows that they write.
    """

    def __init__(self):
        self.mode = "up"
        self.refused_sizes = []
        self.rewrite = lambda key, value, reader: value
        self._rows = {}
        self._changes = []
        self._version = 0
        self._turn = asyncio.Lock()
        self._changed = asyncio.Event()

    def put(self, table, part, key, value):
        """Write a row as the operator or an executor."""
        self._version += 1
        self._write((table, part, key), value)
        self._notify()

    def remove(self, table, part, key):
        """Remove a row as an executor's status report that expired."""
        if (table, part, key) in self._rows:
            self._version += 1
            self._drop((table, part, key))
            self._notify()

    def find(self, table, part, key):
        """Return the value of a row, or None."""
        row = self._rows.get((table, part, key))
        return row[0] if row else None

    def make_handler(self, reader):
        """Return a handler of the calls of one daemon."""

        async def handle(request):
            READER.set(reader)
            return await self.handle(request)

        return handle

    async def handle(self, request):
        """Serve one call."""
        body = await request.read()
        if self.mode == "busy":
            return web.json_response({}, status=503)
        if self.mode == "silent":
            await asyncio.sleep(SILENT_SECONDS)
            return web.json_response({}, status=503)
        if request.path == "/rows-tx":
            return await self._transact(body)
        await asyncio.sleep(READ_SECONDS)
        if request.path == "/rows-get":
            return self._read(request.query)
        if request.path == "/rows-feed":
            return await self._follow(request.query)
        return web.json_response({}, status=404)

    async def _transact(self, body):
        content = orjson.loads(body)
        expected = content.get("ExpectedRevision") or []
        puts, removes = content.get("Puts") or [], content.get("Remove") or []
        values = {_key(row): base64.b64decode(row["Value"]) for row in puts}
        too_large = [len(v) for v in values.values() if len(v) > ROW_BYTES]
        self.refused_sizes += too_large
        count = len(expected) + len(puts) + len(removes)
        if too_large or count > MAX_ENTRIES or len(body) > MAX_CALL_BYTES:
            return web.json_response({}, status=400)
        if any(key[0] in ("op", "servers") for key in values):
            return web.json_response({}, status=403)
        async with self._turn:
            await asyncio.sleep(TRANSACT_SECONDS)
            for row in expected:
                if self._rows.get(_key(row), (None, 0))[1] != row["Ver"]:
                    return self._conflict(expected)
            self._version += 1
            for key, value in values.items():
                self._write(key, value)
            for row in removes:
                self._drop(_key(row))
            self._notify()
            return web.json_response({"Ver": self._version, "NowMs": _now_ms()})

    def _conflict(self, expected):
        keys = [_key(row) for row in expected]
        rows = [self._encode(key) for key in keys if key in self._rows]
        return web.json_response({"rows": rows, "Ver": self._version}, status=412)

    def _read(self, query):
        table, part = query["Table"], query.get("part", "")
        first, last = query.get("From", ""), query.get("To")
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (table, part)
            and key[2] >= first
            and (last is None or key[2] < last)
        )
        page, size = [], 0
        for key in keys[:PAGE_ROWS]:
            size += len(self._rows[key][0]) * 4 // 3 + 100
            if page and size > MAX_CALL_BYTES:
                break
            page.append(self._encode(key))
        return self._respond(page, len(page) < len(keys))

    async def _follow(self, query):
        table, after = query["Table"], int(query["After"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("WaitMs", 0)) / 1000
        while True:
            latest = {
                key: version
                for key, version in self._changes
                if key[0] == table and version > after
            }
            left = until - loop.time()
            if latest or left <= 0 or self.mode != "up":
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
        if self.mode != "up":
            return web.json_response({}, status=503)
        keys = sorted(latest, key=latest.get)
        return self._respond([self._encode(key, latest[key]) for key in keys], False)

    def _respond(self, rows, has_more):
        content = {
            "rows": rows,
            "Ver": self._version,
            "NowMs": _now_ms(),
            "HasMore": has_more,
        }
        return web.json_response(content)

    def _encode(self, key, version=0):
        fields = dict(zip(("Table", "part", "Key"), key, strict=True))
        row = self._rows.get(key)
        if row is None:
            return fields | {"Deleted": True, "Ver": version}
        value = base64.b64encode(self.rewrite(key, row[0], READER.get())).decode()
        return fields | {"Value": value, "Ver": row[1]}

    def _write(self, key, value):
        self._rows[key] = (value, self._version)
        self._changes.append((key, self._version))

    def _drop(self, key):
        if self._rows.pop(key, None) is not None:
            self._changes.append((key, self._version))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


def _key(row):
    return (row["Table"], row["part"], row["Key"])


def _now_ms():
    return int(time.monotonic() * 1000)
