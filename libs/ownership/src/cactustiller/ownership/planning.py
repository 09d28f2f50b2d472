"""Assignment of partitions to members by rendezvous hashing with bounded loads."""

import math
from functools import lru_cache

from .hashing import hash_name

LOAD_BOUND = 1.25
WATCHED_MEMBERS = 3
PLAN_CACHE_SIZE = 8


def _score(partition, member):
    return hash_name(f"{partition}|{member}")


def plan_owners(partitions, members):
    """Return the desired owner of each partition.

    A family consists of the partitions of one kind: homes, shards or pools. Each
    partition is assigned to the member with the highest hash score among those below
    `LOAD_BOUND` times the family's average load. A member that joins or leaves
    therefore moves little more than its own share of the partitions.

    Parameters
    ----------
    partitions : iterable of PartitionId
    members : iterable of MemberId
    """
    return dict(_plan_all_families(tuple(sorted(partitions)), tuple(sorted(members))))


@lru_cache(maxsize=PLAN_CACHE_SIZE)
def _plan_all_families(partitions, members):
    # Cached since every heartbeat plans, and the plan changes only with the members.
    if not members:
        return {}
    families = {}
    for partition in partitions:
        families.setdefault(partition.split("-")[0], []).append(partition)
    desired = {}
    for family in families.values():
        desired.update(_plan_family(family, members))
    return desired


def _plan_family(partitions, members):
    bound = math.ceil(LOAD_BOUND * len(partitions) / len(members))
    load = dict.fromkeys(members, 0)
    desired = {}
    for partition in partitions:
        candidates = [member for member in members if load[member] < bound]
        best = max(candidates, key=lambda member: _score(partition, member))
        desired[partition] = best
        load[best] += 1
    return desired


def list_watched(member, members, expired=()):
    """Return the members whose leases `member` watches.

    These are its nearest `WATCHED_MEMBERS` predecessors on the hash ring whose leases
    have not expired, and the expired ones between them. A member outside the ring
    watches all.
    """
    ring = sorted(members, key=lambda name: (hash_name(name), name))
    if member not in ring:
        return ring
    position = ring.index(member)
    predecessors = [ring[position - step] for step in range(1, len(ring))]
    watched = []
    live = 0
    for name in predecessors:
        if live == WATCHED_MEMBERS:
            break
        watched.append(name)
        live += name not in expired
    return watched
