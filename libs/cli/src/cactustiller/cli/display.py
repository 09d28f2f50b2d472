"""Prints replies as tables for people or as JSON."""

import json
import sys

import typer
from rich.console import Console
from rich.table import Table
from rich.text import Text

PIPE_COLUMNS = 240


def show_record(reply, as_json):
    """Print one reply, a row for each name."""
    data = reply.model_dump(mode="json")
    if as_json:
        show_json(data)
        return
    rows = [{"name": name, "value": value} for name, value in flatten(data)]
    show_table(("name", "value"), rows)


def show_rows(reply, name, columns, as_json):
    """Print the list `name` of a reply, a row for each item."""
    data = reply.model_dump(mode="json")
    if as_json:
        show_json(data)
        return
    show_table(columns, data[name])


def show_list(name, rows, columns, as_json):
    """Print rows; as JSON they are an object's list `name`."""
    if as_json:
        show_json({name: rows})
        return
    show_table(columns, rows)


def show_json(data):
    """Print JSON with sorted names."""
    typer.echo(json.dumps(data, indent=2, sort_keys=True))


def show_table(columns, rows):
    """Print a table; a pipe gets wide lines, so that nothing is cut off."""
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        # Text keeps brackets in values from being read as markup.
        table.add_row(*(Text(format_value(row.get(name))) for name in columns))
    width = None if sys.stdout.isatty() else PIPE_COLUMNS
    Console(width=width).print(table, soft_wrap=False)


def format_value(value):
    """Return a value as one line for people."""
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True)


def flatten(data, prefix=""):
    """Yield dotted names and values of nested mappings."""
    for name, value in data.items():
        path = f"{prefix}.{name}" if prefix else name
        if isinstance(value, dict) and value:
            yield from flatten(value, path)
        else:
            yield path, value
