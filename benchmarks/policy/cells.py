"""Workers of the simulated cells."""

from cactustiller.model import Resources
from cactustiller.policy import WorkerSnapshot

SIZES = ((32, 64), (16, 32), (32, 64), (48, 128), (32, 64), (24, 48))
WORKERS_PER_RACK = 8
ACCELERATOR_EVERY = 12


def make_workers(count):
    """Return `count` heterogeneous workers in racks of three availability zones."""
    return [_make_worker(number) for number in range(count)]


def _make_worker(number):
    cores, memory_gib = SIZES[number % len(SIZES)]
    rack = number // WORKERS_PER_RACK
    is_accelerated = number % ACCELERATOR_EVERY == ACCELERATOR_EVERY - 1
    total = Resources(
        cpu_millis=cores * 1000,
        memory_mib=memory_gib * 1024,
        accelerators=4 if is_accelerated else 0,
    )
    make = ("intel", "amd")[rack % 2]
    return WorkerSnapshot(
        worker=f"w-{number:04d}",
        shard=f"shard-{rack}",
        zone="abc"[rack % 3],
        rack=f"rack-{rack}",
        make=make,
        attributes={"make": make},
        total=total,
        free=total,
    )
