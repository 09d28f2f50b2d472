"""Calls between members in one process."""

import asyncio
from collections import Counter

from result import Err, Ok

from cactustiller.model import ErrorCode, Failure, Outcome

CALL_SECONDS = 0.002


class PeerNetwork:
    """Carries messages between members; `cut` names those that hear nothing."""

    def __init__(self):
        self.cut = set()
        # Messages carried, by the address of the receiver and their type.
        self.carried = Counter()
        self._handlers = {}
        self._tasks = set()

    def make_peers(self, identity, handle):
        """Return a client and a server for a member."""
        return _Client(self, identity), _Server(self, identity, handle)

    async def carry(self, sender, address, message, seconds):
        """Deliver a message and return its answer."""
        self.carried[address, type(message)] += 1
        member, handle = self._handlers.get(address, (None, None))
        if handle is None or sender.member in self.cut or member in self.cut:
            await asyncio.sleep(seconds)
            return _fail(ErrorCode.UNAVAILABLE, address)
        await asyncio.sleep(CALL_SECONDS)
        # A peer goes on with a call that its caller has given up.
        task = asyncio.create_task(handle(message, sender))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(seconds):
                reply = await asyncio.shield(task)
        except TimeoutError:
            return _fail(ErrorCode.TIMEOUT, address)
        return Err(reply) if isinstance(reply, Failure) else Ok(reply)

    def connect(self, address, member, handle):
        """Let a member be reached."""
        self._handlers[address] = (member, handle)

    def disconnect(self, address):
        """Let a member be reached no more."""
        self._handlers.pop(address, None)


def _fail(code, address):
    return Err(
        Failure(
            code=code,
            step="call peer",
            peer=address,
            reason="no answer",
            outcome=Outcome.UNKNOWN,
        )
    )


class _Client:
    def __init__(self, network, identity):
        self._network = network
        self._identity = identity

    async def call(self, address, message, timeout_seconds=2.0):
        return await self._network.carry(
            self._identity, address, message, timeout_seconds
        )

    async def close(self):
        pass


class _Server:
    def __init__(self, network, identity, handle):
        self._network = network
        self._identity = identity
        self._handle = handle
        self._address = ""

    async def start(self, host, port):
        self._address = f"{host}:{port}"
        self._network.connect(self._address, self._identity.member, self._handle)

    async def stop(self):
        self._network.disconnect(self._address)
