"""Instances and their graceful shutdown."""

import asyncio
from typing import Annotated

import typer
from result import Err, Ok

from ..display import show_json, show_record, show_table
from ..session import JsonFlag, run_call, run_session, take

POLL_SECONDS = 0.5
COLUMNS = ("member", "instance", "role", "zone", "leaving")


def list_instances(context: typer.Context, as_json: JsonFlag = False):
    """List the members; --json adds workers and backend servers."""
    reply = run_call(context, lambda client: client.list_instances())
    data = reply.model_dump(mode="json")
    if as_json:
        show_json(data)
        return
    show_table(COLUMNS, data["members"])
    for name, items in data.items():
        if name != "members" and isinstance(items, list):
            typer.echo(f"{name}: {len(items)}")


def drain(
    context: typer.Context,
    instance: str,
    wait: Annotated[
        bool, typer.Option("--wait", help="Until no member of it is listed.")
    ] = False,
    as_json: JsonFlag = False,
):
    """Shut the daemons of an instance down gracefully."""
    reply = run_call(context, lambda client: client.drain(instance))
    if wait:
        typer.echo(f"draining: {instance}", err=True)
        take(run_session(context, lambda client: _await_gone(client, instance)))
    show_record(reply, as_json)


async def _await_gone(client, instance):
    while True:
        result = await client.list_instances()
        if result.is_err():
            return Err(result.unwrap_err())
        if all(member.instance != instance for member in result.unwrap().members):
            return Ok(None)
        await asyncio.sleep(POLL_SECONDS)
