"""Ways to bring a settings version into force on all daemons.

The real replicas and editors run in one process on the loop's virtual clock. Peers'
calls take the one-way delays of their places: 0.5 ms within an availability zone,
1.5 ms within a region, 40 ms between the regions. Compared are telling every daemon
directly, with and without the patch, and a relay for each availability zone that
passes the text on (the zone-aware idea of Fagg et al., "Scalable Fault Tolerant MPI:
Extending the recovery algorithm").
"""

import asyncio
import json
from collections import Counter
from typing import NamedTuple

import looptime
import structlog
from result import Ok

from cactustiller.model import MemberRecord
from cactustiller.model.codec import Frame, encode_frame
from cactustiller.model.messages import (
    AnnounceSettings,
    GetSettings,
    Hello,
    SettingsBody,
)
from cactustiller.ownership import Member, SettingsEditor, SettingsReplica
from cactustiller.ports import ReadReply, TransactReply
from cactustiller.settings import (
    TimingSettings,
    add_queue,
    add_team,
    default_tree,
    dump_tree,
    set_value,
)
from standins.table import ReadRequest, TableStore, TransactRequest

ZONES = (("r1", "a"), ("r1", "b"), ("r1", "c"), ("r2", "d"), ("r2", "e"))
SIZES = (9, 45, 90)
TEAMS = 340
SAME_ZONE_SECONDS = 0.0005
SAME_REGION_SECONDS = 0.0015
OTHER_REGION_SECONDS = 0.040
TIMING = TimingSettings(settings_poll_seconds=30, freshness_seconds=60)


class Place(NamedTuple):
    """Region and availability zone of a daemon."""

    region: str
    zone: str


def find_delay(first, second):
    """Return the one-way delay between two places in seconds."""
    if first == second:
        return SAME_ZONE_SECONDS
    if first.region == second.region:
        return SAME_REGION_SECONDS
    return OTHER_REGION_SECONDS


class Network:
    """Delays, and counts of messages and bytes, between daemons of one process."""

    def __init__(self):
        self.places = {}
        self.handlers = {}
        self.counts = Counter()
        self.sent_by = Counter()

    def count(self, sender, receiver, message):
        """Count one message about settings from one daemon to another."""
        if not isinstance(message, AnnounceSettings | GetSettings | SettingsBody):
            return
        size = len(encode_frame(Frame(1, False, message)))
        self.counts["messages"] += 1
        self.counts["bytes"] += size
        self.sent_by[sender] += size
        if self.places[sender].region != self.places[receiver].region:
            self.counts["bytes_between_regions"] += size


class NetworkPeers:
    """Peer client of one daemon on a `Network`."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    async def call(self, address, message, timeout_seconds=2.0):
        """Deliver a request and its reply after their delays."""
        network = self._network
        delay = find_delay(network.places[self._name], network.places[address])
        network.count(self._name, address, message)
        await asyncio.sleep(delay)
        reply = await network.handlers[address](message)
        network.count(address, self._name, reply)
        await asyncio.sleep(delay)
        return Ok(reply)

    async def close(self):
        """Close nothing."""


class MemoryTable:
    """Table port over the stand-in's logic."""

    def __init__(self):
        self._store = TableStore()

    async def transact(self, write):
        """Perform one conditional transaction."""
        reply = self._store.transact(TransactRequest(**write.model_dump()))
        return Ok(TransactReply.model_validate(reply.model_dump()))

    async def read(self, read):
        """Perform several gets and scans."""
        reply = self._store.read(ReadRequest(**read.model_dump()))
        return Ok(ReadReply.model_validate(reply.model_dump()))


class Direct:
    """Tells every daemon directly, with the patch."""

    def __init__(self, daemons):
        self.daemons = daemons

    async def announce(self, origin, message):
        """Send a message to every other daemon."""
        targets = [name for name in self.daemons if name != origin]
        await tell(self.daemons[origin], targets, message)


class DirectWithoutPatch(Direct):
    """Tells every daemon directly; each asks the origin for the text."""

    async def announce(self, origin, message):
        """Send a message without its patch to every other daemon."""
        await super().announce(origin, message.with_changes(patch=""))


class RelayForEachZone(Direct):
    """Tells one daemon of each zone, which asks for the text and tells its zone."""

    async def announce(self, origin, message):
        """Send a message without its patch along the relays."""
        zones = {}
        for name, daemon in self.daemons.items():
            zones.setdefault(daemon.place, []).append(name)
        own = self.daemons[origin].place
        zones[own].remove(origin)
        zones[own].insert(0, origin)
        message = message.with_changes(patch="")
        await asyncio.gather(
            *(self._reach(origin, names, message) for names in zones.values())
        )

    async def _reach(self, origin, names, message):
        relay, *others = names
        if relay != origin:
            await tell(self.daemons[origin], [relay], message)
        passed_on = message.with_changes(origin=relay)
        await tell(self.daemons[relay], others, passed_on)


WAYS = (Direct, DirectWithoutPatch, RelayForEachZone)


async def tell(daemon, names, message):
    """Send a message from one daemon to others."""
    await asyncio.gather(*(daemon.peers.call(name, message) for name in names))


class Daemon:
    """Replica and editor of one member on the network."""

    def __init__(self, name, place, network, table):
        self.place = place
        self.peers = NetworkPeers(network, name)
        network.places[name] = place
        network.handlers[name] = self.answer
        record = MemberRecord(
            member=name,
            role="gateway",
            instance=name,
            zone=place.zone,
            region=place.region,
            peer_address=name,
            incarnation="",
        )
        self.member = Member(record, table, TIMING, None, peers=self.peers)
        self.replica = SettingsReplica(self.member, TIMING)
        self.editor = SettingsEditor(self.replica, self.member, "demo", "main")

    async def answer(self, message):
        """Answer a peer."""
        if isinstance(message, AnnounceSettings | GetSettings):
            hello = Hello(member=getattr(message, "origin", ""), role="", zone="")
            return await self.replica.answer(message, hello)
        return message


def build_trees():
    """Return the text of a tree of the design size, before and after a change."""
    tree = default_tree("demo", "main")
    for number in range(TEAMS):
        name = f"team-{number:03d}"
        tree = add_team(tree, "demo", "main", name).unwrap()
        tree = add_queue(tree, "demo", "main", name, "batch").unwrap()
    changed = set_value(tree, "demo/main/team-007", "limit_tasks", 70).unwrap()
    return dump_tree(tree), dump_tree(changed), changed


async def measure_way(way_class, count, trees):
    """Return messages, bytes and time to the last daemon of one change."""
    old_text, new_text, changed = trees
    network = Network()
    table = MemoryTable()
    daemons = {}
    for number in range(count):
        place = Place(*ZONES[number % len(ZONES)])
        name = f"d{number:02d}"
        daemons[name] = Daemon(name, place, network, table)
    for daemon in daemons.values():
        await daemon.member.start()
    for daemon in daemons.values():
        await daemon.member.refresh()
        daemon.replica.adopt(1, old_text)
    network.counts.clear()
    network.sent_by.clear()
    loop = asyncio.get_running_loop()
    started = loop.time()
    reached_at = []
    for daemon in daemons.values():
        daemon.replica.changes.subscribe(lambda _: reached_at.append(loop.time()))
    origin = daemons["d00"]
    version = origin.editor._make_version(changed, "bench", "")
    message = origin.editor._make_announcement(version)
    origin.replica.adopt(2, new_text)
    await way_class(daemons).announce("d00", message)
    for daemon in daemons.values():
        await daemon.member.stop()
    assert len(reached_at) == count
    return {
        "way": way_class.__name__,
        "daemons": count,
        "messages": network.counts["messages"],
        "bytes": network.counts["bytes"],
        "bytes_between_regions": network.counts["bytes_between_regions"],
        "most_bytes_of_one_daemon": max(network.sent_by.values()),
        "last_ms": round((max(reached_at) - started) * 1000, 1),
    }


def main():
    """Measure every way at every size; the last line is one JSON object."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    trees = build_trees()
    print(f"one change of one value; text of {len(trees[0])} bytes, {TEAMS} teams")
    print("delays 0.5, 1.5 and 40 ms one way, virtual time; processor time not counted")
    rows = []
    for count in SIZES:
        for way_class in WAYS:
            loop = looptime.new_event_loop()
            rows.append(loop.run_until_complete(measure_way(way_class, count, trees)))
            loop.close()
            print("  ".join(f"{name} {value}" for name, value in rows[-1].items()))
    print(json.dumps({"text_bytes": len(trees[0]), "rows": rows}))


if __name__ == "__main__":
    main()
