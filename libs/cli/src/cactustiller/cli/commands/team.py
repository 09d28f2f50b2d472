"""Teams."""

from typing import Annotated

import typer

from ..display import show_list, show_record
from ..inputs import read_values
from ..session import JsonFlag, run_call
from .trees import find_teams

app = typer.Typer(no_args_is_help=True, help="Create and list teams.")

Values = Annotated[
    list[str] | None,
    typer.Option("--value", metavar="NAME=VALUE", help="Setting; repeatable."),
]


@app.command("add")
def add_team(
    context: typer.Context, team: str, value: Values = None, as_json: JsonFlag = False
):
    """Create a team."""
    values = read_values(value or ())
    reply = run_call(context, lambda client: client.add_team(team, values))
    show_record(reply, as_json)


@app.command("list")
def list_teams(context: typer.Context, as_json: JsonFlag = False):
    """List the teams with their own settings."""
    reply = run_call(context, lambda client: client.get_settings())
    rows = [
        {"team": team, "values": node.get("values", {})}
        for team, node in find_teams(reply.tree)
    ]
    show_list("teams", rows, ("team", "values"), as_json)
