"""From a job's id to what happened to it."""

from pathlib import Path
from typing import Annotated

import typer

from ..display import show_list
from ..session import JsonFlag
from ..story import read_files, tell_story

NOT_FOUND_EXIT = 1


def trace(
    job: str,
    files: Annotated[list[Path], typer.Argument(exists=True, dir_okay=False)],
    as_json: JsonFlag = False,
):
    """Merge the members' log files into the story of one job."""
    story = tell_story(job, read_files(files))
    if not story:
        typer.echo(f"no line about job {job} in {len(files)} files", err=True)
        raise typer.Exit(NOT_FOUND_EXIT)
    first = story[0].at
    rows = [
        {
            "seconds": f"{line.at - first:.3f}",
            "gap": f"{line.gap:.1f}" if line.gap else "",
            "member": line.member,
            "event": line.event,
            "fields": line.fields,
        }
        for line in story
    ]
    show_list("lines", rows, ("seconds", "gap", "member", "event", "fields"), as_json)
