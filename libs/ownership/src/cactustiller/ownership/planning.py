"""Which member should own a partition: rendezvous hashing with a load bound."""

import math
from functools import lru_cache

from .hashing import hash_name

LOAD_BOUND = 1.25
WATCHED_MEMBERS = 3
PLAN_CACHE_SIZE = 8


def _score(partition, member):
    return hash_name(f"{partition}|{member}")


def plan_owners(partitions, members):
    """Return the desired member of each partition.

    Each partition goes to its highest-scored member that has fewer than
    `LOAD_BOUND` times the average load of its family, so that one member's
    arrival or departure moves about its own share only.

    Parameters
    ----------
    partitions : iterable of PartitionId
    members : iterable of MemberId
    """
    return dict(_plan_all_families(tuple(sorted(partitions)), tuple(sorted(members))))


@lru_cache(maxsize=PLAN_CACHE_SIZE)
def _plan_all_families(partitions, members):
    # Every heartbeat asks again, and the answer changes only with the membership.
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
    """Return the members whose lease `member` watches.

    These are its nearest `WATCHED_MEMBERS` predecessors in hash order that have
    not lapsed, and the lapsed ones between them.
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
