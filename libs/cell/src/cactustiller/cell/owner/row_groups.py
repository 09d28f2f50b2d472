"""Groups of rows that an owner stores together, and their transactions; no I/O."""

from dataclasses import dataclass

from cactustiller.model import JobId

from ..ports import RowKey, make_job_key

# The store limits a transaction to 100 entries and 1 MB. The owner's row uses two
# entries, and base64 makes values a third larger.
MAX_ENTRIES = 96
MAX_BYTES = 600_000
# Progress is divided into rows of at most this size, even if the store takes larger
# ones, so that a transaction has room for a job's own row beside them.
MAX_PART_BYTES = MAX_BYTES // 4


@dataclass(slots=True, eq=False)
class RowGroup:
    """Rows of one job, which share a transaction.

    Attributes
    ----------
    puts : dict of RowKey to bytes or None
        New values; None for a row to remove.
    is_new_job : bool
        They include the row of a newly submitted job.
    """

    job: JobId
    puts: dict[RowKey, bytes | None]
    is_new_job: bool = False

    @property
    def size(self):
        """Total size of the values in bytes."""
        return sum(len(value) for value in self.puts.values() if value is not None)


def find_progress_limits(max_row_bytes):
    """Return the largest row of a job's progress and their largest sum, in bytes.

    The job's own row and the first row of its progress have to fit the transaction,
    too.

    Parameters
    ----------
    max_row_bytes : int
        Largest value that a row of the store may have.
    """
    part_bytes = min(max_row_bytes, MAX_PART_BYTES)
    total = min(MAX_BYTES - 2 * part_bytes, (MAX_ENTRIES - 2) * part_bytes)
    return part_bytes, total


def make_row_groups(progress, new_jobs):
    """Return one `RowGroup` for each job: its own row, if new, and its progress.

    Parameters
    ----------
    progress : dict of JobId to (dict of RowKey to bytes or None)
        Progress rows, the most urgent first.
    new_jobs : list of (JobId, bytes)
        Rows of newly submitted jobs.
    """
    groups = {job: RowGroup(job, dict(puts)) for job, puts in progress.items()}
    for job, value in new_jobs:
        group = groups.setdefault(job, RowGroup(job, {}))
        group.puts = {make_job_key(job): value, **group.puts}
        group.is_new_job = True
    return list(groups.values())


def split_groups(groups):
    """Split groups into lists that each fit one transaction; return at least one list.

    Parameters
    ----------
    groups : list of RowGroup
        The most urgent first.
    """
    chunks = [[]]
    entries = size = 0
    for group in groups:
        length = group.size
        if entries + len(group.puts) > MAX_ENTRIES or size + length > MAX_BYTES:
            chunks.append([])
            entries = size = 0
        chunks[-1].append(group)
        entries += len(group.puts)
        size += length
    return chunks
