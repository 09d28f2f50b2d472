"""Images that slow each other down."""

from pathlib import Path
from typing import Annotated

import typer

from ..display import show_list
from ..pairs import Pair, PairState, find_pairs
from ..session import JsonFlag
from ..story import read_files


def list_pairs(
    files: Annotated[list[Path], typer.Argument(exists=True, dir_okay=False)],
    include_all: Annotated[
        bool, typer.Option("--all", help="Also pairs that are not known any more.")
    ] = False,
    as_json: JsonFlag = False,
):
    """List the pairs that the cell keeps apart, from the members' log files."""
    pairs = find_pairs(read_files(files))
    if not include_all:
        pairs = [pair for pair in pairs if pair.state is PairState.KNOWN]
    if not pairs and not as_json:
        typer.echo("no pair is known")
        return
    show_list("pairs", [pair._asdict() for pair in pairs], Pair._fields, as_json)
