"""One executor slot that a gateway may use, with the connection that goes with it."""

import asyncio

from .forwarding import create_session


class Slot:
    """Permit with the one connection that is opened under it.

    Parameters
    ----------
    permit : Permit
    """

    __slots__ = ("_session", "executor", "idle_since", "is_revoked", "permit", "task")

    def __init__(self, permit):
        self.permit = permit
        self.executor = permit.executor
        self.idle_since = asyncio.get_running_loop().time()
        self.is_revoked = False
        self.task = None
        self._session = None

    @property
    def session(self):
        """Session with at most one connection, opened on demand."""
        if self._session is None:
            self._session = create_session()
        return self._session

    def revoke(self):
        """End the request that uses the slot."""
        self.is_revoked = True
        if self.task is not None:
            self.task.cancel()

    async def close(self):
        """Close the connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None
