"""Cell of stand-ins and daemons on one machine, for demo, chaos and benchmarks."""

import asyncio
import secrets
import shutil
import signal
import sys
import tempfile
from collections import defaultdict
from pathlib import Path

import typer

from standins.instances import EntryInfo, Kind, register_all
from standins.server import wait_for_signal

from .layout import (
    BACKENDS_OFFSET,
    ENTRIES_OFFSET,
    HOST,
    INSTANCES_OFFSET,
    OBJECTS_OFFSET,
    PORTS_PER_ENTRY,
    REGION,
    TABLE_OFFSET,
    WORKERS_OFFSET,
    ZONES,
    CellOptions,
    write_settings,
)
from .processes import ChildProcess
from .readiness import CellError, check_port_free, poll_until_accepted


class Cell:
    """Stand-ins and daemons as child processes; an async context manager.

    Parameters
    ----------
    options : CellOptions
        Size, ports and folder.

    Attributes
    ----------
    folder, logs : Path
        Settings files and one log file for each process.
    operator_key : str
        Secret of the first operator.
    """

    def __init__(self, options):
        self.options = options
        self.folder = None
        self.logs = None
        self.operator_key = ""
        self._key_file = None
        self._children = {}
        self._restarts = defaultdict(asyncio.Lock)

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exception):
        await self.stop()

    @property
    def addresses(self):
        """Addresses of the HTTP interfaces by process name."""
        return {
            name: child.address
            for name, child in self._children.items()
            if child.address
        }

    @property
    def pids(self):
        """Process ids by name."""
        return {name: child.pid for name, child in self._children.items()}

    async def start(self):
        """Start everything and wait until it is ready; raises `CellError`."""
        self._prepare_folder()
        self._add_stand_ins()
        stand_ins = list(self._children)
        await self._start_children(stand_ins)
        await self._register_entries()
        self._add_daemons()
        await self._start_children(
            [name for name in self._children if name not in stand_ins]
        )

    async def stop(self):
        """Stop daemons, then stand-ins; removes a temporary folder."""
        children = list(self._children.values())
        daemons = [child for child in children if _is_daemon(child.name)]
        stand_ins = [child for child in children if not _is_daemon(child.name)]
        await asyncio.gather(*(child.stop() for child in daemons))
        await asyncio.gather(*(child.stop() for child in stand_ins))
        if self.folder is not None and not self.options.folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def kill(self, name):
        """Kill a process without warning."""
        await self._find(name).kill()

    def pause(self, name):
        """Halt a process until `resume`."""
        self._find(name).send(signal.SIGSTOP)

    def resume(self, name):
        """Let a halted process go on."""
        self._find(name).send(signal.SIGCONT)

    async def restart(self, name):
        """Stop the process if it runs, start it again and wait until ready."""
        child = self._find(name)
        async with self._restarts[name]:
            await child.stop()
            await child.start()
            await self._wait_until_ready(child)

    def list_crashed(self):
        """Return the processes that ended though nobody ended them."""
        return [
            child.name for child in self._children.values() if child.has_ended_by_itself
        ]

    def _find(self, name):
        if name not in self._children:
            raise CellError(f"no process {name}; known: {', '.join(self._children)}")
        return self._children[name]

    def _prepare_folder(self):
        chosen = self.options.folder or tempfile.mkdtemp(prefix="cactustiller-cell-")
        self.folder = Path(chosen)
        self.logs = self.folder / "logs"
        self.logs.mkdir(parents=True, exist_ok=True)
        self.operator_key = f"ct_first_{secrets.token_hex(16)}"
        self._key_file = self.folder / "first-operator.key"
        self._key_file.touch(mode=0o600)
        self._key_file.write_text(self.operator_key)

    def _add(self, name, arguments, **options):
        log_path = self.logs / f"{name}.log"
        self._children[name] = ChildProcess(name, arguments, log_path, **options)

    def _add_stand_in(self, name, offset, *extra):
        port = self.options.base_port + offset
        command = [sys.executable, "-m", f"standins.{name}", "--host", HOST]
        command += ["--port", str(port), *map(str, extra)]
        self._add(name, command, address=self.options.address(offset))

    def _add_stand_ins(self):
        listed = ("--instances", self.options.address(INSTANCES_OFFSET))
        placed = ("--zones", ",".join(ZONES), "--region", REGION)
        options = self.options
        self._add_stand_in("table", TABLE_OFFSET)
        self._add_stand_in("objects", OBJECTS_OFFSET)
        self._add_stand_in("instances", INSTANCES_OFFSET)
        sizes = ("--count", options.workers, "--racks-of", options.racks_of)
        self._add_stand_in("workers", WORKERS_OFFSET, *listed, *placed, *sizes)
        if options.backends:
            count = ("--count", options.backends)
            self._add_stand_in("backends", BACKENDS_OFFSET, *listed, *placed, *count)

    def _add_daemons(self):
        for number in range(len(self.options.instances)):
            settings = write_settings(self.options, number, self.folder, self._key_file)
            for role, count, path in (
                ("scheduler", self.options.schedulers, ""),
                ("gateway", self.options.gateways, "/readyz"),
            ):
                if number >= count:
                    continue
                program = Path(sys.executable).parent / f"cactustiller-{role}"
                http = self.options.address(ENTRIES_OFFSET + PORTS_PER_ENTRY * number)
                self._add(
                    f"{role}-{number + 1}",
                    [str(program), "--settings", str(settings)],
                    address=http if role == "gateway" else "",
                    health_path=path,
                )

    async def _register_entries(self):
        entries = {
            instance: EntryInfo(instance=instance, zone=ZONES[number % len(ZONES)])
            for number, instance in enumerate(self.options.instances)
        }
        await register_all(
            self.options.address(INSTANCES_OFFSET), Kind.ENTRIES, entries
        )

    async def _start_children(self, names):
        children = [self._children[name] for name in names]
        for child in children:
            check_port_free(child)
            await child.start()
        await asyncio.gather(*(self._wait_until_ready(child) for child in children))
        if "workers" in names:
            await self._wait_until_listed()

    async def _wait_until_ready(self, child):
        if not child.address:
            return
        url = f"http://{child.address}{child.health_path}"
        await poll_until_accepted(child, url, lambda reply: True, self._check_running)

    async def _wait_until_listed(self):
        url = f"http://{self.options.address(INSTANCES_OFFSET)}/v1/instances"
        await poll_until_accepted(
            self._children["workers"],
            url,
            lambda reply: (
                len(reply["workers"]) == self.options.workers
                and len(reply["backends"]) == self.options.backends
            ),
            self._check_running,
        )

    def _check_running(self):
        for child in self._children.values():
            if child.has_ended_by_itself:
                raise CellError(f"{child.name} ended: {child.read_log_tail()}")


def _is_daemon(name):
    return name.startswith(("gateway-", "scheduler-"))


async def _run_in_foreground(options):
    stopped = asyncio.create_task(wait_for_signal())
    cell = Cell(options)
    starting = asyncio.create_task(cell.start())
    try:
        await asyncio.wait({stopped, starting}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            await starting
            for name, pid in cell.pids.items():
                print(f"{name:14} {cell.addresses.get(name, '-'):21} pid {pid}")
            print(f"settings and logs: {cell.folder}", flush=True)
            await stopped
    finally:
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        await cell.stop()


def main(
    gateways: int = 3,
    schedulers: int = 3,
    workers: int = 24,
    backends: int = 6,
    base_port: int = 21000,
    folder: str = "",
):
    """Run a cell until SIGINT or SIGTERM; leaves no process behind."""
    options = CellOptions(
        gateways=gateways,
        schedulers=schedulers,
        workers=workers,
        backends=backends,
        base_port=base_port,
        folder=folder,
    )
    try:
        asyncio.run(_run_in_foreground(options))
    except CellError as error:
        typer.echo(f"cell: {error}", err=True)
        raise typer.Exit(1) from error


if __name__ == "__main__":
    typer.run(main)
