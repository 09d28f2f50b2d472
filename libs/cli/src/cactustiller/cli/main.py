"""Command line of submitters and operators."""

from pathlib import Path
from typing import Annotated

import typer

from .commands import register_commands
from .session import Session

app = typer.Typer(
    name="cactustiller",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_show_locals=False,
    help="Submit work to a cell and operate it.",
)


@app.callback()
def set_options(
    context: typer.Context,
    gateway: Annotated[
        list[str] | None,
        typer.Option(metavar="IP:PORT", help="Repeatable, in order of preference."),
    ] = None,
    gateways: Annotated[
        str, typer.Option(envvar="CACTUSTILLER_GATEWAYS", hidden=True)
    ] = "",
    key_file: Annotated[
        Path | None,
        typer.Option(envvar="CACTUSTILLER_KEY_FILE", help="File with the key."),
    ] = None,
    deadline: Annotated[
        float, typer.Option(min=0.001, help="Seconds for a call with its retries.")
    ] = 10.0,
    retry: Annotated[
        int, typer.Option(min=0, help="Retries of what was refused and did not run.")
    ] = 0,
):
    """Read the options that precede every command."""
    named = gateway or gateways.replace(",", " ").split()
    context.obj = Session(tuple(named), key_file, deadline, retry)


register_commands(app)


def run_cli():
    """Run the command line."""
    app()
