"""Paged reads of whole tables."""

import asyncio

from result import Ok

from ..reporting.events import Event, log_event

# Sorts after every key that starts with a printable ASCII character.
AFTER_LAST_KEY = "\x7f"


async def read_table(store, table, part, page_seconds, retry_seconds=None):
    """Return all rows of one part of a table.

    The pages are not one snapshot: a row that changes meanwhile may be returned in its
    old or new state. A feed that starts at the returned version includes each such
    change.

    Parameters
    ----------
    store : RowStore
    table, part : str
    page_seconds : float
        Timeout of the call for each page.
    retry_seconds : float, optional
        Delay before a failed read of a page is retried; by default the first failure
        is returned.

    Returns
    -------
    Result of (list of Row, int)
        Rows and the version of the store at the first page, or a `Failure`.
    """
    rows = []
    version = None
    first = ""
    while True:
        answer = await store.read(table, part, first, AFTER_LAST_KEY, page_seconds)
        if answer.is_err():
            if retry_seconds is None:
                return answer
            failure = answer.unwrap_err()
            log_event(
                Event.CALL_FAILED,
                step=f"read table {table}",
                peer=failure.peer,
                reason=failure.reason,
                rows=len(rows),
            )
            await asyncio.sleep(retry_seconds)
            continue
        page = answer.unwrap()
        rows += page.rows
        version = page.version if version is None else version
        if not page.has_more:
            return Ok((rows, version))
        first = page.rows[-1].key.key + "\0"
