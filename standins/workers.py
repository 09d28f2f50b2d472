"""Workers: one process and port for many simulated workers."""

import asyncio

import typer
from aiohttp import web
from pydantic import ValidationError

from cactustiller.model import Record, Resources

from .faults import cut_connection, read_changes, respond_invalid, respond_json
from .history import History, HistoryEvent
from .instances import Kind, WorkerInfo, register_all
from .runs import ApplyRequest, EpochRefused, WatchRequest, WorkerFaults
from .server import build_application, start_server, wait_for_signal
from .simulation import SimulatedWorker

SIZES = ((32, 64), (16, 32), (32, 64), (48, 128), (32, 64), (24, 48))
MAKES = ("intel", "amd")
ACCELERATOR_EVERY = 12
ACCELERATORS = 4
CONFLICT_STATUS = 409


class HistoryReply(Record):
    """Answer of ``GET /history``."""

    events: list[HistoryEvent]


def list_workers(address, count, racks_of, zones, region):
    """Return `count` unlike `WorkerInfo`, the same ones for the same arguments."""
    return [
        _describe_worker(number, address, racks_of, zones, region)
        for number in range(count)
    ]


def _describe_worker(number, address, racks_of, zones, region):
    cores, memory_gib = SIZES[number % len(SIZES)]
    rack = number // racks_of
    make = MAKES[rack % len(MAKES)]
    accelerated = number % ACCELERATOR_EVERY == ACCELERATOR_EVERY - 1
    return WorkerInfo(
        worker=f"w-{number:04d}",
        address=address,
        rack=f"{region}-rack-{rack:03d}",
        zone=zones[rack % len(zones)],
        region=region,
        make=make,
        attributes={"make": make},
        resources=Resources(
            cpu_millis=cores * 1000,
            memory_mib=memory_gib * 1024,
            accelerators=ACCELERATORS if accelerated else 0,
        ),
    )


def build_workers(infos):
    """Return the HTTP application of the workers."""
    history = History()
    workers = {info.worker: SimulatedWorker(info, history) for info in infos}

    def answer(record_type, handle):
        async def handler(request):
            worker = workers.get(request.match_info["worker"])
            if worker is None:
                return web.json_response({"error": "unknown worker"}, status=404)
            if worker.faults.down:
                return cut_connection(request)
            try:
                parsed = record_type.model_validate_json(await request.read())
            except ValidationError as error:
                return respond_invalid(error)
            reply = await handle(worker, parsed)
            if worker.faults.slow_ms:
                await asyncio.sleep(worker.faults.slow_ms / 1000)
            if worker.faults.down:
                return cut_connection(request)
            refused = isinstance(reply, EpochRefused)
            return respond_json(reply, CONFLICT_STATUS if refused else 200)

        return handler

    async def apply(worker, request):
        return worker.apply(request)

    async def show_history(request):
        for worker in workers.values():
            worker.settle()
        return respond_json(HistoryReply.model_construct(events=history.show()))

    async def show_faults(request):
        return web.json_response(
            {name: worker.faults.model_dump() for name, worker in workers.items()}
        )

    async def change_faults(request):
        try:
            changes = await read_changes(request)
            name = changes.pop("worker", "*")
            WorkerFaults.model_validate(changes)
        except ValueError as error:
            return respond_invalid(error)
        chosen = list(workers.values()) if name == "*" else [workers.get(name)]
        if None in chosen:
            return web.json_response({"error": "unknown worker"}, status=404)
        for worker in chosen:
            worker.set_faults(changes)
        return web.json_response({"changed": len(chosen)})

    path = "/v1/workers/{worker}"
    return build_application(
        [
            web.post(f"{path}/apply", answer(ApplyRequest, apply)),
            web.post(f"{path}/watch", answer(WatchRequest, SimulatedWorker.watch)),
            web.get("/history", show_history),
            web.get("/faults", show_faults),
            web.post("/faults", change_faults),
        ]
    )


async def run_workers(host, port, infos, instances):
    """Serve and register the workers until SIGTERM or SIGINT."""
    runner = await start_server(build_workers(infos), host, port)
    try:
        if instances:
            named = {info.worker: info for info in infos}
            await register_all(instances, Kind.WORKERS, named)
        await wait_for_signal()
    finally:
        await runner.cleanup()


def main(
    host: str = "127.0.0.1",
    port: int = 21004,
    instances: str = "",
    count: int = 24,
    racks_of: int = 8,
    zones: str = "a,b,c",
    region: str = "r1",
):
    """Run the workers; INSTANCES is the list's ip:port, empty for none."""
    infos = list_workers(f"{host}:{port}", count, racks_of, zones.split(","), region)
    asyncio.run(run_workers(host, port, infos, instances))


if __name__ == "__main__":
    typer.run(main)
