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


def join_progress_rows(rows):
    """Return the encoded progress of each job, and its number of further rows.

    Progress of which rows are missing or damaged is returned as it is in the first
    row, which `decode_progress` refuses.

    Parameters
    ----------
    rows : iterable of Row
        All rows of the progress table.

    Returns
    -------
    tuple of (dict of str to bytes, dict of str to int)
    """
    heads, parts, counts = {}, {}, {}
    for row in rows:
        job, _, number = row.key.key.partition(PART_SEPARATOR)
        if number:
            parts[job, number] = row.value
        else:
            heads[job] = row.value
    for job, head in heads.items():
        count = _count_parts(head)
        if count:
            counts[job] = count
            heads[job] = _join_parts(job, head, count, parts)
    return heads, counts


def _make_part_key(head_key, number):
    return RowKey(
        head_key.table, head_key.part, f"{head_key.key}{PART_SEPARATOR}{number}"
    )


def _count_parts(head):
    """Return the number of further rows that a first row names, 0 if it has none."""
    try:
        fields = orjson.loads(head)
        return int(fields[3]) if fields[2] == PARTS_MARK else 0
    except (TypeError, ValueError, LookupError):
        return 0


def _join_parts(job, head, count, parts):
    try:
        compressed = b"".join(parts[job, str(number)] for number in range(count))
        return zlib.decompress(compressed)
    except (KeyError, zlib.error):
        return head
