"""Keys."""

from typing import Annotated

import typer

from ..display import show_record, show_rows
from ..session import JsonFlag, run_call, stop_usage

app = typer.Typer(no_args_is_help=True, help="Create, list and withdraw keys.")
COLUMNS = ("key_id", "team", "name", "created_at", "withdrawn_at")


@app.command("create")
def create_key(
    context: typer.Context,
    name: Annotated[str, typer.Argument(help="What the key is for.")],
    team: Annotated[str | None, typer.Option(help="Team that it acts for.")] = None,
    operator: Annotated[bool, typer.Option("--operator")] = False,
    as_json: JsonFlag = False,
):
    """Create a key of a team or an operator; the key is shown once."""
    if (team is None) != operator:
        stop_usage("pass either --team or --operator")
    reply = run_call(context, lambda client: client.create_key(team, name, operator))
    show_record(reply, as_json)


@app.command("list")
def list_keys(
    context: typer.Context,
    team: Annotated[str | None, typer.Option()] = None,
    as_json: JsonFlag = False,
):
    """List keys without their secrets."""
    reply = run_call(context, lambda client: client.list_keys(team))
    show_rows(reply, "keys", COLUMNS, as_json)


@app.command("withdraw")
def withdraw_key(context: typer.Context, key_id: str, as_json: JsonFlag = False):
    """Withdraw a key by its id."""
    reply = run_call(context, lambda client: client.withdraw_key(key_id))
    show_record(reply, as_json)
