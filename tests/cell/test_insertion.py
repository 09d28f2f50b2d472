"""Rows that a member stores without the owner."""

import asyncio
import random

import pytest
from result import Ok

from cactustiller.cell import Acceptance, Committed
from cactustiller.cell.members.insertion import MAX_BYTES, MAX_ROWS, Inserter
from cactustiller.cell.ports import make_job_key

pytestmark = pytest.mark.looptime

DEADLINE = 60.0


class RecordingStore:
    """Store that commits each transaction and keeps its values."""

    def __init__(self):
        self.batches = []

    async def transact(self, transaction, seconds):
        self.batches.append(list(transaction.puts.values()))
        await asyncio.sleep(0.01)
        return Ok(Committed(1, 0))


async def insert_all(sizes):
    """Store rows of some sizes at once; return the sizes in each transaction."""
    store = RecordingStore()
    inserter = Inserter(store, random.Random(0))
    outcomes = await asyncio.gather(
        *(
            inserter.insert(make_job_key(f"{number:016x}"), b"a" * size, DEADLINE)
            for number, size in enumerate(sizes)
        )
    )
    assert set(outcomes) == {Acceptance.ACCEPTED}
    return [[len(value) for value in batch] for batch in store.batches]


async def test_large_rows_are_stored_in_transactions_that_the_store_takes():
    batches = await insert_all([60_000] * 45)
    assert max(sum(batch) for batch in batches) <= MAX_BYTES
    assert sum(map(len, batches)) == 45


async def test_a_row_over_the_size_of_a_batch_is_stored_alone():
    assert [MAX_BYTES + 1] in await insert_all([100, MAX_BYTES + 1, 100])


async def test_small_rows_are_stored_together():
    assert max(map(len, await insert_all([100] * 100))) == MAX_ROWS
