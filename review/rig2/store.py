"""Stand-in of the platform's metadata store, in the form `table`."""

import asyncio
import base64
import time

import orjson
from aiohttp import web

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
PAGE_ROWS = 500
TX_SECONDS = 0.005
READ_SECONDS = 0.004
MAX_KEY_BYTES = 200
READ_ONLY_TABLES = ("op", "servers")
# Longer than any caller waits.
SILENT_SECONDS = 60.0


class Store:
    """Rows with versions from one counter, transactions and a feed of changes.

    Attributes
    ----------
    is_down : bool
        Every call is refused with 503; nothing is done.
    is_deaf : bool
        Feed calls show no changes.
    on_transaction : callable
        Called with the name of the gate and the rows of each committed transaction.
    """

    def __init__(self, record):
        self.rows = {}
        self.version = 0
        self.is_down = False
        self.is_deaf = False
        self.on_transaction = lambda gate, puts: None
        self._record = record
        self._changes = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._turn = asyncio.Lock()

    def put(self, table, key, content, part=""):
        """Write a row as the operator or an executor does."""
        value = base64.b64encode(orjson.dumps(content)).decode()
        self._apply({(table, part, key): value}, ())

    def remove(self, table, key, part=""):
        """Remove a row as the platform does."""
        self._apply({}, [(table, part, key)])

    def read(self, table, key, part=""):
        """Return the decoded value of a row, or None."""
        row = self.rows.get((table, part, key))
        return orjson.loads(base64.b64decode(row[0])) if row else None

    def forget_history(self):
        """Drop the changes that feeds can still ask for."""
        self._changes.clear()
        self._oldest = self.version

    async def handle(self, gate, request):
        """Answer one call that came in through a gate."""
        if self.is_down or gate.is_refusing:
            return web.json_response({}, status=503)
        if gate.is_silent:
            await asyncio.sleep(SILENT_SECONDS)
        if request.path == "/rows-tx":
            return await self._transact(gate, await request.read())
        if request.path == "/rows-get":
            await asyncio.sleep(READ_SECONDS)
            return self._get(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return web.json_response({}, status=404)

    async def _transact(self, gate, data):
        call = orjson.loads(data)
        expected = call.get("ExpectedRevision") or []
        puts = {_key(row): row["Value"] for row in call.get("Puts") or []}
        removes = [_key(row) for row in call.get("Remove") or []]
        keys = [*map(_key, expected), *puts, *removes]
        problem = _find_problem(keys, puts, len(expected), len(removes), len(data))
        if problem:
            self._record.note("store", f"{gate.name} refused with 400: {problem}")
            return web.json_response({}, status=400)
        if any(key[0] in READ_ONLY_TABLES for key in (*puts, *removes)):
            return web.json_response({}, status=403)
        async with self._turn:
            await asyncio.sleep(TX_SECONDS)
            if any(
                self.rows.get(_key(row), ("", 0))[1] != row["Ver"] for row in expected
            ):
                found = [_key(row) for row in expected if _key(row) in self.rows]
                rows = [self._show(key, *self.rows[key]) for key in found]
                return self._answer({"rows": rows}, 412)
            self._apply(puts, removes)
            answer = self._answer({})
        self.on_transaction(gate, puts)
        return answer

    def _apply(self, puts, removes):
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = (value, self.version)
            self._changes.append((self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self._changes.append((self.version, key, None))
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, query):
        table, part = query["Table"], query["part"]
        first, last = query.get("From", ""), query.get("To")
        limit = min(int(query.get("Limit", PAGE_ROWS)), PAGE_ROWS)
        found, size = [], 0
        has_more = False
        for key in sorted(self.rows):
            if key[:2] != (table, part) or key[2] < first:
                continue
            if last is not None and key[2] >= last:
                continue
            value, version = self.rows[key]
            size += len(value)
            if len(found) == limit or size > MAX_CALL_BYTES:
                has_more = True
                break
            found.append(self._show(key, value, version))
        return self._answer({"rows": found, "HasMore": has_more})

    async def _feed(self, query):
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if after < self._oldest and not self.is_deaf:
                return web.json_response({}, status=410)
            latest = {
                key: (value, version)
                for version, key, value in self._changes
                if key[0] == table and version > after
            }
            left = until - time.monotonic()
            if (latest and not self.is_deaf) or left <= 0:
                shown = {} if self.is_deaf else latest
                rows = [self._show(key, *row) for key, row in shown.items()]
                return self._answer({"rows": rows})
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _show(self, key, value, version):
        row = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": version}
        return row | ({"Deleted": True} if value is None else {"Value": value})

    def _answer(self, content, status=200):
        now_ms = int(time.monotonic() * 1000)
        content |= {"Ver": self.version, "NowMs": now_ms}
        return web.json_response(content, status=status)


class Gate:
    """Address at which one daemon reaches the store, and the state of its path.

    Attributes
    ----------
    is_silent, is_refusing : bool
        Calls of this daemon get no answer, or 503; nothing is done.
    """

    def __init__(self, store, name):
        self.name = name
        self.address = ""
        self.is_silent = self.is_refusing = False
        self._store = store
        self._runner = None

    async def open(self, ip):
        """Listen on a free port of an address."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def _handle(self, request):
        return await self._store.handle(self, request)

    async def close(self):
        """Stop listening."""
        await self._runner.cleanup()


def _key(row):
    return row["Table"], row["part"], row["Key"]


def _find_problem(keys, puts, expected_count, removed_count, size):
    """Return why a transaction is outside the limits of the store, or None."""
    if len(puts) + expected_count + removed_count > MAX_ENTRIES:
        return f"more than {MAX_ENTRIES} entries"
    if size > MAX_CALL_BYTES:
        return f"a call of {size} bytes"
    if len({part for _, part, _ in keys}) > 1:
        return "several parts"
    if any(len(text.encode()) > MAX_KEY_BYTES for key in keys for text in key):
        return "a long key"
    for key, value in puts.items():
        length = len(base64.b64decode(value))
        if length > ROW_BYTES:
            return f"row {'/'.join(key)} has {length} bytes, at most {ROW_BYTES}"
    return None
