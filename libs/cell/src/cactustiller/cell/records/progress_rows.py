"""Rows of the store that hold the progress of one job.

The store bounds the size of a row. Progress that fits is one row, as earlier releases
wrote it; larger progress is compressed and divided among several rows. The first of
them tells the state of the job and the number of further rows, and all are written in
one transaction.
"""

import zlib

import orjson

from ..ports import RowKey, make_progress_key
from .progress import STATES, encode_progress

# Separates the id of a job, which is hexadecimal, from the number of a further row.
PART_SEPARATOR = "."
# Third field of a first row that has further ones; elsewhere it is a number.
PARTS_MARK = "parts"
MAX_HEAD_BYTES = 100
# The lowest level is fast, and repeated names of workers make up most of the text.
COMPRESSION_LEVEL = 1


def make_progress_puts(job, max_row_bytes, max_bytes):
    """Return the rows to store as dict of RowKey to bytes, None for one to remove.

    Checkpoints are left out if the progress would exceed `max_bytes` with them. A
    later owner then learns only those that workers report.

    Parameters
    ----------
    job : JobRun
        Its `further_rows` is updated.
    max_row_bytes : int
        Largest value that a row may have.
    max_bytes : int
        Largest total size of the values.
    """
    head_key = make_progress_key(job.spec.job)
    data = encode_progress(job)
    if len(data) <= max_row_bytes:
        puts, count = {head_key: data}, 0
    else:
        data = zlib.compress(data, COMPRESSION_LEVEL)
        if len(data) > max_bytes:
            text = encode_progress(job, has_checkpoints=False)
            data = zlib.compress(text, COMPRESSION_LEVEL)
        parts = [
            data[first : first + max_row_bytes]
            for first in range(0, len(data), max_row_bytes)
        ]
        count = len(parts)
        head = [STATES.index(job.state), job.ended_ms, PARTS_MARK, count]
        puts = {head_key: orjson.dumps(head)}
        puts |= {
            _make_part_key(head_key, number): part for number, part in enumerate(parts)
        }
    for number in range(count, job.further_rows):
        puts[_make_part_key(head_key, number)] = None
    job.further_rows = count
    return puts


class ProgressRows:
    """Progress of jobs in the rows of the progress table.

    The rows of a job are put together when they are asked for, since that takes time
    in proportion to their size.

    Parameters
    ----------
    rows : iterable of Row
        All rows of the table.
    """

    def __init__(self, rows=()):
        self._heads, self._parts = {}, {}
        for row in rows:
            job, _, number = row.key.key.partition(PART_SEPARATOR)
            if number:
                self._parts[job, number] = row.value
            else:
                self._heads[job] = row.value

    def __contains__(self, job):
        return job in self._heads

    def find(self, job):
        """Return the encoded progress of a job and its number of further rows.

        None and 0 if it has no progress. Progress of which rows are missing or damaged
        is returned as it is in the first row, which `decode_progress` refuses.
        """
        head = self._heads.get(job)
        count = _count_parts(head) if head is not None else 0
        if not count:
            return head, 0
        try:
            parts = [self._parts[job, str(number)] for number in range(count)]
            return zlib.decompress(b"".join(parts)), count
        except (KeyError, zlib.error):
            return head, count


def _make_part_key(head_key, number):
    return RowKey(
        head_key.table, head_key.part, f"{head_key.key}{PART_SEPARATOR}{number}"
    )


def _count_parts(head):
    """Return the number of further rows that a first row names, 0 if it has none."""
    if len(head) > MAX_HEAD_BYTES:
        return 0
    try:
        fields = orjson.loads(head)
        return int(fields[3]) if fields[2] == PARTS_MARK else 0
    except (TypeError, ValueError, LookupError):
        return 0
