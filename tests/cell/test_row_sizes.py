"""Rows that grow with a job, in a store that bounds them."""

import hashlib

import pytest

from cactustiller.cell.owner.row_groups import (
    MAX_BYTES,
    MAX_ENTRIES,
    find_progress_limits,
)
from cactustiller.cell.ports import Row, make_progress_key
from cactustiller.cell.records.progress import decode_state, encode_progress
from cactustiller.cell.records.progress_rows import ProgressRows
from cactustiller.model import JobState

from .row_builders import (
    apply_puts,
    list_runs,
    make_puts,
    make_running_job,
    read_back,
)

ROW_BYTES = 65_536
SMALL_ROW_BYTES = 4096
# Of the checkpoints on the users' platform.
CHECKPOINT = "{:016x}"
LONGEST_ID = "w" * 180 + "{}"


@pytest.mark.parametrize("max_row_bytes", [SMALL_ROW_BYTES, ROW_BYTES, 1_000_000])
@pytest.mark.parametrize(
    "job",
    [
        make_running_job(),
        make_running_job(checkpoint=CHECKPOINT),
        make_running_job(occurrences=11, steps=3),
        make_running_job(steps=2000),
        make_running_job(worker=LONGEST_ID, allows_copies=True),
        make_running_job(is_gang=True, checkpoint="x" * 500),
    ],
    ids=["tasks", "checkpoints", "occurrences", "steps", "long ids", "gang"],
)
def test_progress_of_any_size_fits_the_rows_of_the_store(job, max_row_bytes):
    # Guards against a row over the size that the store takes, which fails the whole
    # transaction of an owner.
    job.further_rows = 0
    puts = make_puts(job, max_row_bytes)
    sizes = [len(value) for value in puts.values()]
    assert max(sizes) <= max_row_bytes
    assert sum(sizes) < MAX_BYTES - max(sizes)
    assert len(puts) < MAX_ENTRIES
    assert decode_state(puts[make_progress_key(job.spec.job)]) is job.state
    assert list_runs(read_back(job, puts)) == list_runs(job)


def test_rows_grow_in_proportion_to_the_tasks():
    sizes = []
    for count in (500, 1000, 2000):
        job = make_running_job(occurrences=2000 // count, checkpoint=CHECKPOINT)
        while len(job.occurrences) > 1:
            job.occurrences.popitem()
        sizes.append(sum(map(len, make_puts(job, SMALL_ROW_BYTES).values())))
    assert sizes[1] < 2.2 * sizes[0]
    assert sizes[2] < 2.2 * sizes[1]


def test_checkpoints_beyond_a_transaction_are_left_out():
    # Guards against checkpoints, whose length workers choose, that fit no transaction.
    job = make_running_job()
    for number, task in enumerate(job.occurrences[0][0].tasks):
        task.checkpoint = hashlib.shake_256(str(number).encode()).hexdigest(600)
    puts = make_puts(job, ROW_BYTES)
    assert sum(map(len, puts.values())) <= sum(find_progress_limits(ROW_BYTES))
    restored = list_runs(read_back(job, puts))
    assert [run[:4] for run in restored] == [run[:4] for run in list_runs(job)]
    assert {run[4] for run in restored} == {""}


def test_rows_that_are_no_longer_needed_are_removed():
    job = make_running_job(checkpoint=CHECKPOINT, worker=LONGEST_ID)
    rows = {}
    apply_puts(rows, make_puts(job, SMALL_ROW_BYTES))
    before = len(rows)
    for task in job.occurrences[0][0].tasks[100:]:
        task.worker, task.checkpoint = "w1", ""
    apply_puts(rows, make_puts(job, SMALL_ROW_BYTES))
    assert 1 < len(rows) < before
    assert list_runs(read_back(job, rows)) == list_runs(job)
    # The next owner removes the rows that its predecessor wrote.
    successor = read_back(job, rows)
    successor.state = JobState.SUCCEEDED
    apply_puts(rows, make_puts(successor, SMALL_ROW_BYTES))
    assert list(rows) == [make_progress_key(job.spec.job)]


def test_a_row_of_the_earlier_release_is_read_whatever_its_size():
    job = make_running_job(checkpoint=CHECKPOINT)
    rows = {make_progress_key(job.spec.job): encode_progress(job)}
    assert len(rows[make_progress_key(job.spec.job)]) > ROW_BYTES
    restored = read_back(job, rows)
    assert list_runs(restored) == list_runs(job)
    assert restored.further_rows == 0


def test_progress_with_a_missing_row_is_not_taken_for_a_new_job():
    job = make_running_job(checkpoint=CHECKPOINT)
    puts = make_puts(job, SMALL_ROW_BYTES)
    last = list(puts)[-1]
    del puts[last]
    stored = ProgressRows(Row(key, value, 1) for key, value in puts.items())
    assert stored.find(job.spec.job)[0] == puts[make_progress_key(job.spec.job)]
    with pytest.raises(ValueError, match="invalid progress"):
        read_back(job, puts)
