"""Connection options of one command, and the calls made with them."""

import asyncio
import ipaddress
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from .client import GatewayClient
from .exits import Exit, choose_exit, describe_failure

KEY_VARIABLE = "CACTUSTILLER_KEY"
JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@dataclass(frozen=True)
class Session:
    """Options that precede the command; the key is read when it is needed."""

    gateways: tuple[str, ...]
    key_file: Path | None
    deadline_seconds: float
    retries: int

    def open_client(self):
        """Return a `GatewayClient`; exits on missing or malformed options."""
        if not self.gateways:
            stop_usage("no gateway: pass --gateway or set CACTUSTILLER_GATEWAYS")
        for gateway in self.gateways:
            _check_gateway(gateway)
        return GatewayClient(
            self.gateways,
            read_key(self.key_file),
            deadline_seconds=self.deadline_seconds,
            retries=self.retries,
        )


def read_key(key_file):
    """Return the key of the environment, else of the file, else None."""
    key = os.environ.get(KEY_VARIABLE, "").strip()
    if not key and key_file is not None:
        try:
            key = key_file.read_text(encoding="ascii").strip()
        except (OSError, UnicodeDecodeError) as error:
            # The text of a decoding error shows bytes of the key.
            reason = getattr(error, "strerror", None) or "not plain text"
            stop_usage(f"key file {key_file}: {reason}")
    if key and not (key.isascii() and key.isprintable()):
        stop_usage("the key has characters that no key has")
    return key or None


def run_session(context: typer.Context, act):
    """Return what the coroutine function `act` makes of an open client."""
    session = context.find_object(Session)

    async def run():
        async with session.open_client() as client:
            return await act(client)

    return asyncio.run(run())


def run_call(context: typer.Context, call):
    """Return the reply of one call; a failure is printed and ends the command."""
    return take(run_session(context, call))


def take(result):
    """Return the value of a result; a failure is printed and ends the command."""
    if result.is_ok():
        return result.unwrap()
    failure = result.unwrap_err()
    typer.echo(describe_failure(failure), err=True)
    raise typer.Exit(choose_exit(failure))


def stop_usage(*lines) -> NoReturn:
    """Print each line as an error and end the command for wrong usage."""
    for line in lines:
        typer.echo(f"error: {line}", err=True)
    raise typer.Exit(Exit.USAGE)


def _check_gateway(gateway):
    host, _, port = gateway.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 1 <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        stop_usage(f"gateway {gateway!r} is not IP:port")
