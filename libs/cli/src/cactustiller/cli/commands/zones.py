"""Availability zones and their evacuation."""

from typing import Annotated

import typer

from ..display import show_record, show_rows
from ..session import JsonFlag, run_call

COLUMNS = ("zone", "evacuated", "members", "workers", "executors")
Note = Annotated[str, typer.Option(help="Why; kept in the history of the settings.")]


def list_zones(context: typer.Context, as_json: JsonFlag = False):
    """List the availability zones, and which of them are evacuated."""
    reply = run_call(context, lambda client: client.list_zones())
    show_rows(reply, "zones", COLUMNS, as_json)


def evacuate(
    context: typer.Context, zone: str, note: Note = "", as_json: JsonFlag = False
):
    """Let no task and no request start in a zone; what runs there may finish."""
    reply = run_call(context, lambda client: client.evacuate_zone(zone, note))
    show_record(reply, as_json)


def restore(
    context: typer.Context, zone: str, note: Note = "", as_json: JsonFlag = False
):
    """Revoke the evacuation of a zone."""
    reply = run_call(context, lambda client: client.restore_zone(zone, note))
    show_record(reply, as_json)
