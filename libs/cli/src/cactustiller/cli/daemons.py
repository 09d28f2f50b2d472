"""Entry points of the two daemons."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Annotated

import structlog
import typer

from cactustiller.model import Role
from cactustiller.model.loops import run_daemon_loop

from .exits import Exit
from .logs import configure_logs

SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNAL_EXIT_BASE = 128
SettingsOption = Annotated[Path, typer.Option("--settings", help="Instance settings.")]


def run_gateway():
    """Run the gateway."""
    typer.run(serve_gateway_daemon)


def run_scheduler():
    """Run the scheduler."""
    typer.run(serve_scheduler_daemon)


def serve_gateway_daemon(settings: SettingsOption):
    """Serve the HTTP interface of one instance until a signal."""
    loaded = load_settings(settings, Role.GATEWAY)
    from cactustiller.gateway import serve_gateway

    run_daemon_loop(serve_until_signal(serve_gateway, loaded))


def serve_scheduler_daemon(settings: SettingsOption):
    """Serve the partitions of one instance until a signal."""
    loaded = load_settings(settings, Role.SCHEDULER)
    from cactustiller.scheduler import serve_scheduler

    run_daemon_loop(serve_until_signal(serve_scheduler, loaded))


def load_settings(path, role):
    """Return the settings with logs configured; exits on any problem."""
    from cactustiller.settings import load_instance

    result = load_instance(path)
    if result.is_err():
        _stop(result.unwrap_err())
    settings = result.unwrap()
    if getattr(settings, role.value) is None:
        _stop([f"{path}:{role.value}: missing, this daemon needs it"])
    configure_logs(f"{settings.instance}/{role.value}", settings.log_level)
    return settings


async def serve_until_signal(serve, settings, exit_now=os._exit):
    """Run `serve(settings, stop)`; a signal sets `stop`, a second one exits.

    Parameters
    ----------
    serve : coroutine function
        Returns once it has shut down gracefully after `stop` is set.
    settings : InstanceSettings
        Passed on.
    exit_now : function
        Ends the process with an exit code.
    """
    stop = asyncio.Event()
    log = structlog.get_logger()

    def handle(number):
        name = signal.Signals(number).name
        if stop.is_set():
            log.warning("exiting at once", signal=name)
            exit_now(SIGNAL_EXIT_BASE + number)
            return
        log.info("stopping gracefully", signal=name)
        stop.set()

    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        loop.add_signal_handler(number, handle, number)
    try:
        await serve(settings, stop)
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)


def _stop(errors):
    for error in errors:
        typer.echo(str(error), err=True)
    raise typer.Exit(Exit.USAGE)
