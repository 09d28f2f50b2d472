"""Queues."""

from typing import Annotated

import typer

from ..display import show_list, show_record
from ..inputs import read_values
from ..session import JsonFlag, run_call
from .team import Values
from .trees import find_queues

app = typer.Typer(no_args_is_help=True, help="Create and list queues.")


@app.command("add")
def add_queue(
    context: typer.Context,
    team: str,
    queue: str,
    value: Values = None,
    as_json: JsonFlag = False,
):
    """Create a queue of a team."""
    values = read_values(value or ())
    reply = run_call(context, lambda client: client.add_queue(team, queue, values))
    show_record(reply, as_json)


@app.command("list")
def list_queues(
    context: typer.Context,
    team: Annotated[str | None, typer.Argument()] = None,
    as_json: JsonFlag = False,
):
    """List the queues of a team, or all, with their own settings."""
    reply = run_call(context, lambda client: client.get_settings())
    rows = [
        {"team": name, "queue": queue, "values": node.get("values", {})}
        for name, queue, node in find_queues(reply.tree, team)
    ]
    show_list("queues", rows, ("team", "queue", "values"), as_json)
