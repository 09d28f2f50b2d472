"""Names of the partitions and their assignment by team, rack or service.

A partition is the unit of ownership in a cell, and its kind is the first part of its
name. A home owns the jobs of the teams that hash to it, a shard owns the workers of
one rack, and a pool owns the executors' slots of one backend service.
"""

from cactustiller.model import PartitionId

from .hashing import hash_name

HOME_COUNT = 32
HOME_PREFIX = "home-"
SHARD_PREFIX = "shard-"
POOL_PREFIX = "pool-"


def home_of_team(team):
    """Return the home partition of a team."""
    number = hash_name(team) % HOME_COUNT
    return PartitionId(f"{HOME_PREFIX}{number:02d}")


def shard_of_rack(rack):
    """Return the shard partition of a rack's workers."""
    return PartitionId(f"{SHARD_PREFIX}{rack}")


def pool_of_service(service):
    """Return the pool partition of a service's executor slots."""
    return PartitionId(f"{POOL_PREFIX}{service}")


def list_homes():
    """Return every home partition."""
    return [PartitionId(f"{HOME_PREFIX}{n:02d}") for n in range(HOME_COUNT)]


def list_partitions(listing):
    """Return all partitions of a cell with the workers and services of a listing."""
    shards = {shard_of_rack(worker.rack) for worker in listing.workers}
    pools = {pool_of_service(backend.service) for backend in listing.backends}
    return [*list_homes(), *sorted(shards), *sorted(pools)]
