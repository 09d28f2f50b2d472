from cactustiller.model import Resources
from standins.history import History
from standins.instances import WorkerInfo
from standins.runs import ApplyRequest, Start, WatchRequest
from standins.simulation import SimulatedWorker

SMALL = Resources(cpu_millis=1000, memory_mib=512)


def build_worker():
    info = WorkerInfo(
        worker="w-1",
        address="127.0.0.1:1",
        rack="r",
        zone="a",
        region="r1",
        make="amd",
        resources=SMALL.times(4),
    )
    return SimulatedWorker(info, History())


def build_start(now, index=0, attempt=1, **changes):
    values = {
        "job": "j-1",
        "index": index,
        "attempt": attempt,
        "resources": SMALL,
        "run_seconds": 10.0,
        "start_before": now + 5.0,
        "lease_until": now + 60.0,
    }
    return Start(**(values | changes))


def build_apply(epoch=1, **changes):
    return ApplyRequest(shard="s-1", epoch=epoch, owner="m-1", **changes)


def build_watch(after=0, wait_ms=0, epoch=1):
    return WatchRequest(shard="s-1", epoch=epoch, after=after, wait_ms=wait_ms)
