"""Reads of whole tables, page by page."""

import asyncio

from result import Ok

AFTER_LAST_KEY = "\x7f"


async def read_table(store, table, part, page_seconds, retry_seconds=None):
    """Return all rows of one part of a table.

    Rows that change meanwhile may be read as they were before or after; a feed that
    goes on from the returned version brings every such change again.

    Parameters
    ----------
    store : RowStore
    table, part : str
    page_seconds : float
        Bound of the call for each page.
    retry_seconds : float, optional
        Pause before a page is read again after a failure; by default the first
        failure is returned.

    Returns
    -------
    Result of (list of Row, int)
        Rows and the store's version at the first page, or a `Failure`.
    """
    rows = []
    version = None
    first = ""
    while True:
        answer = await store.read(table, part, first, AFTER_LAST_KEY, page_seconds)
        if answer.is_err():
            if retry_seconds is None:
                return answer
            await asyncio.sleep(retry_seconds)
            continue
        page = answer.unwrap()
        rows += page.rows
        version = page.version if version is None else version
        if not page.has_more:
            return Ok((rows, version))
        first = page.rows[-1].key.key + "\0"
