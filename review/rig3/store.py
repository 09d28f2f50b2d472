"""Stand-in of the platform's metadata store, with the limits that its page states."""

import asyncio
import base64
from bisect import bisect_left

from aiohttp import web
from orjson import dumps, loads

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_048_576
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
MAX_NAME_BYTES = 200
# Tables that only the operator and the executors write.
FOREIGN_TABLES = ("op", "servers")
TX_SECONDS = 0.005
READ_SECONDS = 0.004


class Store:
    """Rows with one counter of versions.

    Parameters
    ----------
    tell : callable
        Called with a line for the record.
    """

    def __init__(self, tell):
        self.refused = {}
        self._tell = tell
        self._rows = {}
        self._changes = []
        self._version = 0
        self._changed = asyncio.Event()
        self._turns = {}

    def put(self, table, key, value):
        """Write a row of the operator or of an executor."""
        self._version += 1
        self._apply(table, "", key, value)
        self._notify()

    def remove(self, table, key):
        """Remove a row of the operator or of an executor."""
        if (table, "", key) in self._rows:
            self._version += 1
            self._apply(table, "", key, None)
            self._notify()

    def read_value(self, table, part, key):
        """Return the value of a row, or None."""
        row = self._rows.get((table, part, key))
        return row[0] if row else None

    async def handle(self, request):
        """Answer one call."""
        if request.path == "/rows-tx" and request.method == "POST":
            return await self._transact(await request.read())
        if request.path == "/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return self._answer(self._read(request.query))
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return _respond(404, {})

    async def _transact(self, body):
        if len(body) > MAX_CALL_BYTES:
            return self._refuse("call too large")
        call = loads(body)
        expected, puts = call.get("ExpectedRevision") or [], call.get("Puts") or []
        removes = call.get("Remove") or []
        entries = [*expected, *puts, *removes]
        parts = {row.get("part", "") for row in entries}
        if len(entries) > MAX_ENTRIES or len(parts) > 1:
            return self._refuse("too many entries or parts")
        values = {}
        for row in puts:
            value = base64.b64decode(row["Value"])
            if len(value) > ROW_BYTES:
                name = f"{row['Table']} row of {len(value)} bytes"
                return self._refuse(f"{name}, more than RowBytes {ROW_BYTES}")
            values[_find_key(row)] = value
        for row in entries:
            if max(len(text.encode()) for text in _find_key(row)) > MAX_NAME_BYTES:
                return self._refuse("name too long")
        if any(row["Table"] in FOREIGN_TABLES for row in (*puts, *removes)):
            return _respond(403, {})
        turn = self._turns.setdefault(next(iter(parts), ""), asyncio.Lock())
        async with turn:
            await asyncio.sleep(TX_SECONDS)
            status, answer = self._commit(expected, values, removes)
        return self._answer(answer, status)

    def _commit(self, expected, values, removes):
        for row in expected:
            if self._rows.get(_find_key(row), (b"", 0))[1] != row["Ver"]:
                keys = [_find_key(item) for item in expected]
                rows = [self._encode(key) for key in keys if key in self._rows]
                return 412, {"rows": rows}
        self._version += 1
        for key, value in values.items():
            self._apply(*key, value)
        for row in removes:
            if _find_key(row) in self._rows:
                self._apply(*_find_key(row), None)
        self._notify()
        return 200, {}

    def _read(self, query):
        first, last = query.get("From", ""), query.get("To")
        place = (query["Table"], query.get("part", ""))
        limit = min(MAX_PAGE_ROWS, int(query.get("Limit", MAX_PAGE_ROWS)))
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == place and first <= key[2] and (last is None or key[2] < last)
        )
        rows, size = [], 0
        for key in keys:
            size += len(self._rows[key][0])
            if len(rows) >= limit or (rows and size > MAX_PAGE_BYTES):
                break
            rows.append(self._encode(key))
        return {"rows": rows, "HasMore": len(rows) < len(keys)}

    async def _feed(self, query):
        table, after = query["Table"], int(query.get("After", 0))
        loop = asyncio.get_running_loop()
        until = loop.time() + min(30_000, int(query.get("WaitMs", 0))) / 1000
        await asyncio.sleep(READ_SECONDS)
        while True:
            rows = self._find_changes(table, after)
            if rows or loop.time() >= until:
                return self._answer({"rows": rows, "HasMore": False})
            try:
                async with asyncio.timeout(until - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _find_changes(self, table, after):
        latest = {}
        first = bisect_left(self._changes, after + 1, key=lambda item: item[0])
        for version, key, value in self._changes[first:]:
            if key[0] == table:
                latest.pop(key, None)
                latest[key] = (version, value)
        rows = []
        for key, (version, value) in latest.items():
            row = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": version}
            if value is None:
                rows.append(row | {"Deleted": True})
            else:
                rows.append(row | {"Value": base64.b64encode(value).decode()})
        return rows

    def _apply(self, table, part, key, value):
        name = (table, part, key)
        self._changes.append((self._version, name, value))
        if value is None:
            del self._rows[name]
        else:
            self._rows[name] = (value, self._version)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, key):
        value, version = self._rows[key]
        text = base64.b64encode(value).decode()
        row = {"Table": key[0], "part": key[1], "Key": key[2]}
        return row | {"Value": text, "Ver": version}

    def _answer(self, content, status=200):
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return _respond(status, content | {"Ver": self._version, "NowMs": now_ms})

    def _refuse(self, reason):
        """Answer a call that breaks a limit of the page; nothing is done."""
        if reason not in self.refused:
            self._tell(f"store: 400, {reason}")
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return _respond(400, {"Reason": reason})


def _find_key(row):
    return row["Table"], row.get("part", ""), row["Key"]


def _respond(status, content):
    body = dumps(content)
    return web.Response(status=status, body=body, content_type="application/json")
