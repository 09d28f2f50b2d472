"""Names of partitions and the partition of a team, rack or service."""

import xxhash

from cactustiller.model import PartitionId

HOME_COUNT = 32
HOME_PREFIX = "home-"
SHARD_PREFIX = "shard-"
POOL_PREFIX = "pool-"


def home_of_team(team):
    """Return the home partition that owns a team."""
    number = xxhash.xxh64_intdigest(team.encode()) % HOME_COUNT
    return PartitionId(f"{HOME_PREFIX}{number:02d}")


def shard_of_rack(rack):
    """Return the shard partition that owns the workers of a rack."""
    return PartitionId(f"{SHARD_PREFIX}{rack}")


def pool_of_service(service):
    """Return the partition that owns the executors' slots of a service."""
    return PartitionId(f"{POOL_PREFIX}{service}")


def list_homes():
    """Return every home partition."""
    return [PartitionId(f"{HOME_PREFIX}{n:02d}") for n in range(HOME_COUNT)]


def list_partitions(listing):
    """Return every partition of a cell with the listed workers and services."""
    shards = {shard_of_rack(worker.rack) for worker in listing.workers}
    pools = {pool_of_service(backend.service) for backend in listing.backends}
    return [*list_homes(), *sorted(shards), *sorted(pools)]
