import aiohttp
import pytest

from standins.faults import FaultSwitch, StoreFaults
from standins.server import start_server
from standins.table import (
    Check,
    Get,
    Put,
    ReadRequest,
    Scan,
    TableStore,
    TransactRequest,
    build_table,
)

PUT = {"puts": [{"key": "a", "value": {"n": 1}}]}


def put(store, *keys, version=None):
    checks = (
        [] if version is None else [Check(key=key, version=version) for key in keys]
    )
    puts = [Put(key=key, value={"n": 1}) for key in keys]
    return store.transact(TransactRequest(checks=checks, puts=puts))


def test_conflict_writes_nothing_and_shows_the_current_row():
    store = TableStore()
    committed = put(store, "a", version=0)
    request = TransactRequest(
        checks=[Check(key="a", version=0), Check(key="b", version=7)],
        puts=[Put(key="c", value={})],
        deletes=["a"],
    )
    reply = store.transact(request)
    assert not reply.committed
    assert [(row.key, row.version) for row in reply.conflicts] == [
        ("a", committed.version),
        ("b", 0),
    ]
    assert list(store.rows) == ["a"]


def test_version_of_a_key_never_repeats_after_a_delete():
    store = TableStore()
    first = put(store, "a", version=0).version
    store.transact(TransactRequest(deletes=["a"]))
    assert put(store, "a", version=0).version > first


def test_scan_pages_by_prefix_and_get_spares_known_values():
    store = TableStore()
    version = put(store, "a", "p/1", "p/2", "p/3", "q").version
    seen, after = [], ""
    while True:
        scan = Scan(prefix="p/", after=after, limit=2)
        [page] = store.read(ReadRequest(scans=[scan])).scans
        seen += [row.key for row in page.rows]
        after = page.next
        if not after:
            break
    assert seen == ["p/1", "p/2", "p/3"]
    gets = [Get(key="a", known_version=version), Get(key="a"), Get(key="x")]
    known, fresh, missing = store.read(ReadRequest(gets=gets)).gets
    assert (known.unchanged, known.value) == (True, None)
    assert (fresh.unchanged, fresh.value) == (False, {"n": 1})
    assert (missing.version, missing.value) == (0, None)


@pytest.fixture
async def served():
    store = TableStore()
    application = build_table(store, FaultSwitch(StoreFaults()))
    runner = await start_server(application, "127.0.0.1", 0)
    host, port = runner.addresses[0]
    async with aiohttp.ClientSession(f"http://{host}:{port}") as session:
        yield store, session
    await runner.cleanup()


async def set_faults(session, **faults):
    async with session.post("/faults", json=faults) as response:
        assert response.status == 200


@pytest.mark.parametrize(("fault", "rows"), [("lose_answers", 1), ("drop_requests", 0)])
async def test_cut_connection_is_after_or_before_the_effect(served, fault, rows):
    store, session = served
    await set_faults(session, **{fault: 1.0})
    with pytest.raises(aiohttp.ClientError):
        await session.post("/v1/transact", json=PUT)
    await set_faults(session, **{fault: 0.0})
    assert len(store.rows) == rows
    async with session.post("/v1/transact", json=PUT) as response:
        assert (await response.json())["committed"]


async def test_down_answers_503_without_effect(served):
    store, session = served
    await set_faults(session, down=True)
    async with session.post("/v1/transact", json=PUT) as response:
        assert response.status == 503
    assert len(store.rows) == 0


@pytest.mark.parametrize("wrong", [{"slow": 1}, {"lose_answers": 2}, []])
async def test_refuses_an_unknown_or_wrong_fault(served, wrong):
    _, session = served
    async with session.post("/faults", json=wrong) as response:
        assert response.status == 400


def test_same_seed_gives_the_same_faults():
    switch = FaultSwitch(StoreFaults())
    switch.change({"seed": 3})
    first = [switch.happens(0.5) for _ in range(20)]
    switch.change({"seed": 3})
    assert [switch.happens(0.5) for _ in range(20)] == first
