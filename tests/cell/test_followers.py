import asyncio

import pytest

from cactustiller.cell.members.followers import WorkerRegistry
from cactustiller.cell.ports import RowKey
from cactustiller.cell.records.workers import WorkerInfo
from cactustiller.model import Amounts
from standins.fleet import Store, StoreClient

TABLE = "workers"


def decode(key, value):
    return WorkerInfo(key, value.decode(), "s", "z", Amounts(1000, 1000, 0))


def make_store(workers):
    store = Store()
    for number in range(workers):
        store.put(RowKey(TABLE, "", f"w{number:04d}"), b"10.0.0.1:1")
    return store


@pytest.mark.looptime
async def test_all_pages_of_a_large_table_are_read():
    store = make_store(1200)
    registry = WorkerRegistry(StoreClient(store), TABLE, "", decode, lambda: None)
    registry.start()
    await registry.wait_until_read()
    assert len(registry.workers) == 1200
    # Periodic rereads return all pages as well.
    sizes = set()
    for _ in range(60):
        await asyncio.sleep(0.1)
        sizes.add(len(registry.workers))
    assert sizes == {1200}
    await registry.stop()


@pytest.mark.looptime
async def test_change_on_a_later_page_is_followed():
    store = make_store(800)
    registry = WorkerRegistry(StoreClient(store), TABLE, "", decode, lambda: None)
    registry.start()
    await registry.wait_until_read()
    store.remove(RowKey(TABLE, "", "w0700"))
    store.put(RowKey(TABLE, "", "w0900"), b"10.0.0.1:1")
    await asyncio.sleep(0.2)
    assert "w0700" not in registry.workers
    assert "w0900" in registry.workers
    await registry.stop()
