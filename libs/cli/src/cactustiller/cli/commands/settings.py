"""Settings."""

from pathlib import Path
from typing import Annotated

import typer

from ..display import show_json, show_record, show_rows
from ..exits import Exit
from ..inputs import is_tree, read_value
from ..session import JsonFlag, run_call, stop_usage

app = typer.Typer(no_args_is_help=True, help="Read and change settings.")
Note = Annotated[str, typer.Option(help="Why; kept in the history.")]
Expected = Annotated[
    int | None, typer.Option(help="Refuse unless this version is in force.")
]
PathArgument = Annotated[
    str, typer.Argument(metavar="PATH", help="site/cell/team/queue; '' is the system.")
]


@app.command("get")
def get_settings(context: typer.Context, as_json: JsonFlag = False):
    """Print the whole tree and its version, always as JSON."""
    reply = run_call(context, lambda client: client.get_settings())
    show_json(reply.model_dump(mode="json"))


@app.command("set")
def set_value(
    context: typer.Context,
    path: PathArgument,
    name: str,
    value: Annotated[str, typer.Argument(help="JSON, or a plain text.")],
    note: Note = "",
    expected_version: Expected = None,
    as_json: JsonFlag = False,
):
    """Set one value at one level."""
    parsed = read_value(value)
    if parsed is None:
        stop_usage("null is no value; use: settings unset")
    _patch(context, path, name, parsed, note, expected_version, as_json)


@app.command("unset")
def unset_value(
    context: typer.Context,
    path: PathArgument,
    name: str,
    note: Note = "",
    expected_version: Expected = None,
    as_json: JsonFlag = False,
):
    """Remove one value, so that the level inherits it again."""
    _patch(context, path, name, None, note, expected_version, as_json)


@app.command("show")
def show_values(
    context: typer.Context,
    path: PathArgument = "",
    origin: Annotated[
        bool, typer.Option("--origin", help="Add the level of each value.")
    ] = False,
    as_json: JsonFlag = False,
):
    """Show the values in force at a level."""
    reply = run_call(context, lambda client: client.show_settings(path))
    columns = ("name", "value", "origin") if origin else ("name", "value")
    show_rows(reply, "values", columns, as_json)


@app.command("status")
def show_status(context: typer.Context, as_json: JsonFlag = False):
    """Show the version in force on each member."""
    reply = run_call(context, lambda client: client.get_settings_status())
    columns = ("member", "role", "zone", "version", "age_seconds", "reason")
    show_rows(reply, "instances", columns, as_json)


@app.command("diff")
def diff_versions(
    context: typer.Context, old: int, new: int, as_json: JsonFlag = False
):
    """Show the values that differ between two versions."""
    reply = run_call(context, lambda client: client.diff_settings(old, new))
    show_rows(reply, "changes", ("path", "name", "old", "new"), as_json)


@app.command("history")
def show_history(context: typer.Context, as_json: JsonFlag = False):
    """Show earlier versions, their authors and changes."""
    reply = run_call(context, lambda client: client.get_settings_history())
    columns = ("version", "author", "at", "note", "changes")
    show_rows(reply, "versions", columns, as_json)


@app.command("rollback")
def roll_back(
    context: typer.Context,
    to_version: int,
    note: Note = "",
    expected_version: Expected = None,
    as_json: JsonFlag = False,
):
    """Put an earlier version in force as a new version."""
    reply = run_call(
        context,
        lambda client: client.rollback_settings(to_version, note, expected_version),
    )
    show_record(reply, as_json)


@app.command("check")
def check_file(file: Path, as_json: JsonFlag = False):
    """Check an instance file or a tree; one line for each problem."""
    from cactustiller.settings import load_instance, parse_tree

    # A file that cannot be parsed goes to the loader that names the place.
    if is_tree(file):
        result = parse_tree(file.read_text(encoding="utf-8"), str(file))
    else:
        result = load_instance(file)
    errors = [str(error) for error in result.err() or ()]
    if as_json:
        show_json({"file": str(file), "errors": errors})
    for error in errors:
        typer.echo(error, err=True)
    if errors:
        raise typer.Exit(Exit.USAGE)
    if not as_json:
        typer.echo(f"{file}: sound")


def _patch(context, path, name, value, note, expected_version, as_json):
    reply = run_call(
        context,
        lambda client: client.patch_settings(path, name, value, note, expected_version),
    )
    show_record(reply, as_json)
