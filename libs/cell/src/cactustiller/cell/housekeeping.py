"""Removes rows that nobody needs any more."""

import asyncio

from .ports import (
    MEMBER_TABLE,
    RowKey,
    Transaction,
    make_cancel_key,
    make_job_key,
    make_progress_key,
)

INTERVAL_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 1.5
# Three rows a job, within the 100 entries of a transaction.
MAX_JOBS_PER_PASS = 30
# A member that has not answered for this long is gone; if not, it writes its row anew
# at its next start and is reachable through callers all the same.
MEMBER_EXPIRY_SECONDS = 60.0


async def run_housekeeping(engine, store, member_registry, announcer, status_ms):
    """Remove finished jobs and members that are gone, again and again.

    Parameters
    ----------
    engine : Engine
    store : RowStore
    roster : Roster
    announcer : Announcer
    status_ms : int
        How long finished jobs stay readable.
    """
    while True:
        await asyncio.sleep(INTERVAL_SECONDS)
        keys = []
        for job in engine.remove_expired_jobs(status_ms, MAX_JOBS_PER_PASS):
            keys += [make_job_key(job), make_cancel_key(job), make_progress_key(job)]
        await _remove(store, keys)
        unreachable = announcer.find_unreachable(MEMBER_EXPIRY_SECONDS)
        names = [member_registry.find_name(address) for address in unreachable]
        for name in filter(None, names):
            await _remove(store, [RowKey(MEMBER_TABLE, MEMBER_TABLE, name)])


async def _remove(store, keys):
    """Remove rows; what fails is read and removed after the next takeover."""
    if keys:
        await store.transact(Transaction({}, {}, tuple(keys)), CALL_TIMEOUT_SECONDS)
