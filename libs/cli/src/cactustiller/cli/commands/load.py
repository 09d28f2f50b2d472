"""Replays a described workload against a running cell."""

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import Progress

from ..client import GatewayClient
from ..display import show_json, show_table
from ..inputs import read_body
from ..session import JsonFlag, Session, run_session, stop_usage, take

PROGRESS_EVERY_SECONDS = 10.0
COLUMNS = (
    "load",
    "sent",
    "results",
    "missed",
    "answer p50/p99 ms",
    "first start p50/p99 ms",
    "last start p99 ms",
)


def run_load(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(help="Workload as JSON with comments.")],
    seed: Annotated[int | None, typer.Option(help="Instead of the file's.")] = None,
    duration: Annotated[
        float | None, typer.Option(min=1, help="Seconds, instead of the file's.")
    ] = None,
    picture: Annotated[
        Path | None, typer.Option(help="Image file; needs the extra plots.")
    ] = None,
    as_json: JsonFlag = False,
):
    """Replay a workload with an operator's key and report what became of it."""
    from ..load import read_workload
    from ..load.picture import PictureError, draw_picture, load_pyplot

    workload = _read(read_workload, file, seed, duration)
    try:
        if picture:
            load_pyplot()
        replay, summary = take(
            run_session(context, lambda client: _replay(context, client, workload))
        )
        if picture:
            draw_picture(picture, workload, replay)
    except PictureError as error:
        stop_usage(str(error))
    _show(summary, as_json)


def _read(read_workload, file, seed, duration):
    try:
        text = read_body(file).decode()
    except UnicodeDecodeError:
        stop_usage(f"{file}: not UTF-8")
    result = read_workload(text, file)
    if result.is_err():
        stop_usage(*result.unwrap_err())
    changes = {"seed": seed, "duration_seconds": duration}
    given = {name: value for name, value in changes.items() if value is not None}
    return result.unwrap().with_changes(**given)


async def _replay(context, operator, workload):
    """Return ``Ok`` of the finished `Replay` and its summary."""
    from result import Ok

    from ..load import Replay, plan_arrivals, summarize
    from ..load.preparation import prepare_cell

    session = context.find_object(Session)
    prepared = await prepare_cell(operator, workload)
    if prepared.is_err():
        return prepared
    created = prepared.unwrap()
    try:
        async with GatewayClient(
            session.gateways, created.key, deadline_seconds=session.deadline_seconds
        ) as submitter:
            await _wait_until_in_force(operator)
            arrivals = plan_arrivals(workload)
            replay = Replay(submitter, operator, arrivals, workload)
            with _Progress(workload, len(arrivals)) as progress:
                await replay.run(progress.update)
    finally:
        await operator.withdraw_key(created.key_id)
    stats = await operator.get_stats()
    if stats.is_err():
        return stats
    return Ok((replay, summarize(workload, replay, stats.unwrap().model_dump())))


async def _wait_until_in_force(operator):
    """Wait until every member has the version with the load's teams and key."""
    import asyncio

    for _ in range(50):
        status = await operator.get_settings_status()
        if status.is_ok():
            versions = {member.version for member in status.unwrap().instances}
            if len(versions) == 1:
                return
        await asyncio.sleep(0.2)


class _Progress:
    """Bar on a terminal, else a line now and then, both on standard error."""

    def __init__(self, workload, count):
        console = Console(stderr=True)
        self._bars = Progress(console=console, disable=not console.is_terminal)
        self._is_terminal = console.is_terminal
        seconds = workload.duration_seconds + workload.drain_seconds
        self._bar = self._bars.add_task(workload.name, total=seconds)
        self._count = count
        self._shown_at = 0.0

    def __enter__(self):
        self._bars.start()
        return self

    def __exit__(self, *exception):
        self._bars.stop()

    def update(self, replay):
        """Show how far the replay is."""
        elapsed = replay.elapsed_seconds
        running = 0
        if replay.moments:
            teams = replay.moments[-1].teams.values()
            running = sum(team["running"] for team in teams)
        text = f"{len(replay.tracked)}/{self._count} sent, {running} tasks running"
        self._bars.update(self._bar, completed=elapsed, description=text)
        if not self._is_terminal and elapsed - self._shown_at >= PROGRESS_EVERY_SECONDS:
            self._shown_at = elapsed
            typer.echo(f"{elapsed:.0f} s: {text}", err=True)


def _show(summary, as_json):
    from ..load.report import list_rows

    if not as_json:
        show_table(COLUMNS, list_rows(summary))
        late = summary["sent_late_max_ms"]
        typer.echo(f"the load itself was at most {late} ms late")
        typer.echo(f"packing at most {summary['packing_max']:.1%} of capacity")
    show_json(summary)
