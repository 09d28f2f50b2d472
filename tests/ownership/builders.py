"""Cells of settings replicas over one table and peers in memory."""

from result import Err

from cactustiller.model.messages import AnnounceSettings, Hello
from cactustiller.ownership import Member, SettingsEditor, SettingsReplica
from cactustiller.settings import TimingSettings, set_value
from tests.gateway.builders import FAILED, FakePeers, FakeTable, build_record

TIMING = TimingSettings(commit_delay_ms=0)


def set_weight(weight):
    """Return an edit that sets the system's share weight."""
    return lambda tree: set_value(tree, "", "share_weight", weight)


class CutTable:
    """One daemon's way to the table service, which can be cut."""

    def __init__(self, table):
        self.table = table
        self.is_cut = False

    async def transact(self, write):
        return Err(FAILED) if self.is_cut else await self.table.transact(write)

    async def read(self, read):
        return Err(FAILED) if self.is_cut else await self.table.read(read)


class Daemon:
    """Replica and editor of one member, whose ways out can be cut."""

    def __init__(self, name, table, peers, seed_peers=()):
        self.name = name
        self.table = CutTable(table)
        self.member = Member(
            build_record(name, address=name), self.table, TIMING, None, peers=peers
        )
        self.replica = SettingsReplica(self.member, TIMING, seed_peers)
        self.editor = SettingsEditor(self.replica, self.member, "demo", "main")

    async def answer(self, message):
        """Answer a peer."""
        hello = Hello(member=getattr(message, "origin", ""), role="", zone="")
        if isinstance(message, AnnounceSettings):
            return await self.replica.answer(message, hello)
        return await self.replica.answer(message, None)

    async def start(self):
        """Join the cell and load the settings."""
        await self.member.start()
        await self.replica.start()
        await self.editor.create_default()

    async def stop(self):
        """Stop without a word."""
        await self.replica.stop()
        await self.member.stop()


class Daemons:
    """Several daemons of one cell."""

    def __init__(self):
        self.table = FakeTable()
        self.peers = FakePeers()
        self.daemons = {}

    async def add(self, name):
        """Start a daemon and let the others see it."""
        daemon = Daemon(name, self.table, self.peers)
        self.peers.handlers[name] = daemon.answer
        self.daemons[name] = daemon
        await daemon.start()
        for other in self.daemons.values():
            await other.member.refresh()
        return daemon

    def cut_peers(self, name):
        """Cut a daemon off from its peers; they cannot reach it either."""
        self.peers.handlers.pop(name)

    async def stop(self):
        """Stop every daemon."""
        for daemon in self.daemons.values():
            await daemon.stop()
