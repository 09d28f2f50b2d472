"""Jobs."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer
from result import Err, Ok
from rich.console import Console
from rich.progress import Progress

from cactustiller.model import JobState, WorkloadKind

from ..display import show_list, show_record
from ..exits import Exit
from ..inputs import build_submission, read_labels, read_object
from ..session import JsonFlag, run_call, run_session, stop_usage, take

POLL_SECONDS = 0.5
ENDED_TASKS = ("succeeded", "failed", "cancelled")
Labels = Annotated[list[str] | None, typer.Option(metavar="NAME=TEXT")]


def submit(
    context: typer.Context,
    file: Annotated[
        Path | None, typer.Option(help="Job as JSON with comments; - is stdin.")
    ] = None,
    name: str | None = None,
    team: str | None = None,
    queue: str | None = None,
    kind: WorkloadKind | None = None,
    tasks: Annotated[int | None, typer.Option(help="Number of tasks.")] = None,
    cpu_millis: int | None = None,
    memory_mib: int | None = None,
    accelerators: int | None = None,
    run_seconds: float | None = None,
    payload: str | None = None,
    require: Labels = None,
    prefer: Labels = None,
    deadline_seconds: float | None = None,
    max_attempts: int | None = None,
    idempotency_key: Annotated[
        str | None, typer.Option(help="Of an earlier try, to submit it only once.")
    ] = None,
    wait: Annotated[bool, typer.Option("--wait", help="Until it has ended.")] = False,
    as_json: JsonFlag = False,
):
    """Submit a job; options override what the file says."""
    data = read_object(file) if file else {}
    resources = {
        "cpu_millis": cpu_millis,
        "memory_mib": memory_mib,
        "accelerators": accelerators,
    }
    template = {
        "run_seconds": run_seconds,
        "payload": payload,
        "required": read_labels(require) if require else None,
        "preferred": read_labels(prefer) if prefer else None,
    }
    options = {
        "name": name,
        "team": team,
        "queue": queue,
        "kind": kind,
        "task_count": tasks,
        "deadline_seconds": deadline_seconds,
        "max_attempts": max_attempts,
        "template": template | {"resources": resources},
    }
    job = build_submission(_override(data, options), file or "options")
    accepted = run_call(context, lambda client: client.submit_job(job, idempotency_key))
    if not wait:
        show_record(accepted, as_json)
        return
    typer.echo(f"accepted: job {accepted.job}", err=True)
    status = take(run_session(context, lambda client: _await_end(client, accepted.job)))
    show_record(status, as_json)
    if status.state is not JobState.SUCCEEDED:
        raise typer.Exit(Exit.OTHER)


def show_status(
    context: typer.Context,
    job: Annotated[str | None, typer.Argument()] = None,
    team: Annotated[str | None, typer.Option(help="List the team's jobs.")] = None,
    detail: Annotated[bool, typer.Option("--detail", help="Each task.")] = False,
    as_json: JsonFlag = False,
):
    """Show one job, or the jobs of a team."""
    if (job is None) == (team is None):
        stop_usage("pass either JOB or --team")
    if job is not None:
        reply = run_call(context, lambda client: client.get_job(job, detail))
        show_record(reply, as_json)
        return
    reply = run_call(context, lambda client: client.list_jobs(team))
    rows = reply.model_dump(mode="json")["jobs"]
    show_list("jobs", rows, ("job", "state", "tasks", "reason"), as_json)


def explain(context: typer.Context, job: str, as_json: JsonFlag = False):
    """Show why a job waits, or how it was placed."""
    reply = run_call(context, lambda client: client.explain_job(job))
    show_record(reply, as_json)


def cancel(context: typer.Context, job: str, as_json: JsonFlag = False):
    """Cancel a job."""
    reply = run_call(context, lambda client: client.cancel_job(job))
    show_record(reply, as_json)


async def _await_end(client, job):
    console = Console(stderr=True)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        bar = progress.add_task(job, total=None)
        while True:
            result = await client.get_job(job)
            if result.is_err():
                return Err(result.unwrap_err())
            status = result.unwrap()
            ended = sum(status.tasks.get(state, 0) for state in ENDED_TASKS)
            progress.update(
                bar,
                total=sum(status.tasks.values()),
                completed=ended,
                description=f"{job} {status.state}",
            )
            if status.state.is_final:
                return Ok(status)
            await asyncio.sleep(POLL_SECONDS)


def _override(data, options):
    merged = dict(data)
    for name, value in options.items():
        if isinstance(value, dict) and name in NESTED:
            below = merged.get(name, {})
            # A wrong type stays as it is, so that the check names it.
            merged[name] = _override(below, value) if isinstance(below, dict) else below
        elif value is not None:
            merged[name] = value
    return merged


NESTED = frozenset({"template", "resources"})
