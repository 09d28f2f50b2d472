"""Cells of settings replicas that share an in-memory table and in-memory peers."""

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
    """A daemon's connection to the table service, which can be cut."""

    def __init__(self, table):
        self.table = table
        self.is_cut = False

    async def transact(self, write):
        return Err(FAILED) if self.is_cut else await self.table.transact(write)

    async def read(self, read):
        return Err(FAILED) if self.is_cut else await self.table.read(read)


class CutPeers:
    """A daemon's connection to its peers, which can be cut."""

    def __init__(self, peers):
        self.peers = peers
        self.is_cut = False

    async def call(self, address, message, timeout_seconds=2.0):
        if self.is_cut:
            return Err(FAILED)
        return await self.peers.call(address, message, timeout_seconds)

    async def close(self):
        return


class Daemon:
    """Replica and editor of one member whose connections can be cut."""

    def __init__(self, name, table, peers, seed_peers=()):
        self.name = name
        self.table = CutTable(table)
        self.peers = CutPeers(peers)
        self.member = Member(
            build_record(name, address=name),
            self.table,
            TIMING,
            None,
            peers=self.peers,
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
        """Stop without notifying the other daemons."""
        await self.replica.stop()
        await self.member.stop()


class Daemons:
    """Several daemons of one cell."""

    def __init__(self):
        self.table = FakeTable()
        self.peers = FakePeers()
        self.daemons = {}

    async def add(self, name):
        """Start a daemon and refresh the member lists of all daemons."""
        daemon = Daemon(name, self.table, self.peers)
        self.peers.handlers[name] = daemon.answer
        self.daemons[name] = daemon
        await daemon.start()
        for other in self.daemons.values():
            await other.member.refresh()
        return daemon

    def cut_peers(self, name, is_cut=True):
        """Cut or restore a daemon's peer connections in both directions."""
        self.daemons[name].peers.is_cut = is_cut
        self.hide(name, is_cut)

    def hide(self, name, is_hidden=True):
        """Make a daemon unreachable for its peers; its own requests still succeed."""
        if is_hidden:
            self.peers.handlers.pop(name, None)
        else:
            self.peers.handlers[name] = self.daemons[name].answer

    async def stop(self):
        """Stop every daemon."""
        for daemon in self.daemons.values():
            await daemon.stop()
