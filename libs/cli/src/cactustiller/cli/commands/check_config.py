"""Check of a settings tree before it is submitted."""

import json
from itertools import groupby
from operator import attrgetter
from pathlib import Path
from typing import Annotated

import typer
from result import Err, Ok

from ..display import format_value, show_json
from ..exits import Exit, describe_failure
from ..session import JsonFlag, Session, run_session, stop_usage

FINDINGS_EXIT = Exit.OTHER
UNREADABLE_EXIT = Exit.USAGE


def check_config(
    context: typer.Context,
    file: Path,
    against: Annotated[
        Path | None,
        typer.Option(metavar="FILE", help="Tree to compare with; else that in force."),
    ] = None,
    as_json: JsonFlag = False,
):
    """Check a settings tree and show what it would change; submits nothing."""
    from cactustiller.settings import check_file, diff_trees

    result = check_file(file)
    if result.is_err():
        stop_usage(*result.unwrap_err())
    checked = result.unwrap()
    old = _read_old(context, against, checked)
    old_name, old_tree = old.unwrap_or((None, None))
    changes = None
    if old_tree is not None:
        # Gateways show trees without keys, and a submission has none.
        changes = diff_trees(old_tree.with_changes(keys={}), checked.tree)
    if as_json:
        show_json(_build_report(file, checked.findings, old_name, changes))
    else:
        _print_report(file, checked.findings, old_name, changes)
    if old.is_err():
        typer.echo(old.unwrap_err(), err=True)
        raise typer.Exit(UNREADABLE_EXIT)
    if checked.findings:
        raise typer.Exit(FINDINGS_EXIT)


def _read_old(context, against, checked):
    """Return ``Ok`` of name and tree to compare with, or ``Err`` of why not."""
    from cactustiller.settings import read_text, read_tree

    if checked.tree is None:
        return _skip("the file has errors")
    if against is not None:
        name, text = str(against), read_text(against)
    elif context.find_object(Session).gateways:
        reply = run_session(context, lambda client: client.get_settings())
        if reply.is_err():
            return Err(describe_failure(reply.unwrap_err()))
        name = f"version {reply.unwrap().version}"
        text = Ok(json.dumps(reply.unwrap().tree))
    else:
        return _skip("neither --against nor a gateway is given")
    # Values are not checked: the version in force may be that of another release.
    tree = text.and_then(lambda text: read_tree(text, name))
    return tree.map(lambda tree: (name, tree)).map_err(
        lambda errors: "\n".join(f"error: {error}" for error in errors)
    )


def _skip(reason):
    typer.echo(f"not compared: {reason}", err=True)
    return Ok((None, None))


def _build_report(file, findings, old_name, changes):
    return {
        "file": str(file),
        "findings": [finding.model_dump(mode="json") for finding in findings],
        "against": old_name,
        "changes": None
        if changes is None
        else [change.model_dump(mode="json") for change in changes],
    }


def _print_report(file, findings, old_name, changes):
    for finding in findings:
        typer.echo(finding)
    if not findings:
        typer.echo(f"{file}: nothing found")
    if changes is None:
        return
    if not changes:
        typer.echo(f"no differences from {old_name}")
        return
    typer.echo(f"--- {old_name}\n+++ {file}")
    for path, group in groupby(changes, key=attrgetter("path")):
        typer.echo(f"@@ {path or 'system'} @@")
        for change in group:
            for sign, value in (("-", change.old), ("+", change.new)):
                if value is not None:
                    typer.echo(f"{sign}{change.name}: {format_value(value)}")
