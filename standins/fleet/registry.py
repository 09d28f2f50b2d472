"""The list of workers in the store, where entries of silent workers expire."""

import asyncio

from cactustiller.cell import RowKey

from .http import encode_entry
from .store import Trouble

TABLE = "servers"
# Three intervals between status reports.
ENTRY_LIFETIME_SECONDS = 4.5
EXPIRY_SECONDS = 0.1


class Registry:
    """Entries of the workers that have reported lately.

    Parameters
    ----------
    store : Store
    client : StoreClient
        Its trouble keeps reports from the store.
    """

    def __init__(self, store, client):
        self._store = store
        self._client = client
        self._reported = {}

    def report(self, info):
        """Take a worker's report about itself."""
        if self._client.trouble in (Trouble.REFUSING, Trouble.SILENT):
            return
        self._reported[info.worker] = asyncio.get_running_loop().time()
        key, value = RowKey(TABLE, "", info.worker), encode_entry(info)
        row = self._store.rows.get(key)
        if row is None or row.value != value:
            self._store.put(key, value)

    def remove(self, worker_id):
        """Remove the entry of a worker that has left."""
        self._reported.pop(worker_id, None)
        self._store.remove(RowKey(TABLE, "", worker_id))

    def is_listed(self, worker_id):
        """Return whether a worker has an entry."""
        return RowKey(TABLE, "", worker_id) in self._store.rows

    def expire_all(self):
        """Remove every entry; workers that are alive report again."""
        for worker_id in list(self._reported):
            self.remove(worker_id)

    async def expire_entries(self):
        """Remove entries of silent workers, for ever."""
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            oldest = asyncio.get_running_loop().time() - ENTRY_LIFETIME_SECONDS
            for worker_id, reported_at in list(self._reported.items()):
                if reported_at < oldest:
                    self.remove(worker_id)
