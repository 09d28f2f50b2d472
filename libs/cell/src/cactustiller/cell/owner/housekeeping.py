"""Periodic removal of rows of finished jobs and stopped members."""

import asyncio

from ..ports import (
    MEMBER_TABLE,
    RowKey,
    Transaction,
    make_cancel_key,
    make_job_key,
    make_progress_key,
)

INTERVAL_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 1.5
# A job has three rows, and a transaction takes 100 entries.
MAX_JOBS_PER_PASS = 30
# The row of a member that has not answered for this long is removed. A member that
# still runs keeps serving callers and writes its row again at its next start.
MEMBER_EXPIRY_SECONDS = 60.0


async def run_housekeeping(
    engine, store, member_registry, announcer, status_retention_ms
):
    """Remove expired jobs and unreachable members at regular intervals.

    Parameters
    ----------
    engine : Engine
    store : RowStore
    member_registry : MemberRegistry
    announcer : Announcer
    status_retention_ms : int
        How long the state of a finished job stays readable.
    """
    while True:
        await asyncio.sleep(INTERVAL_SECONDS)
        keys = []
        for job in engine.remove_expired_jobs(status_retention_ms, MAX_JOBS_PER_PASS):
            keys += [make_job_key(job), make_cancel_key(job), make_progress_key(job)]
        await _remove(store, keys)
        unreachable = announcer.find_unreachable(MEMBER_EXPIRY_SECONDS)
        names = [member_registry.find_name(address) for address in unreachable]
        for name in filter(None, names):
            await _remove(store, [RowKey(MEMBER_TABLE, MEMBER_TABLE, name)])


async def _remove(store, keys):
    """Remove rows; rows that remain after a failure are removed by the next owner."""
    if keys:
        await store.transact(Transaction({}, {}, tuple(keys)), CALL_TIMEOUT_SECONDS)
