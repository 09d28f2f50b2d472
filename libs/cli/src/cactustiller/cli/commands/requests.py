"""Interactive requests."""

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from ..display import show_json
from ..inputs import read_body
from ..session import JsonFlag, run_call

REQUEST_SECONDS = 10.0


def send_request(
    context: typer.Context,
    service: str,
    body: Annotated[Path, typer.Option(help="File; - is stdin.")] = Path("-"),
    idempotent: Annotated[
        bool, typer.Option("--idempotent", help="It may be sent more than once.")
    ] = False,
    deadline: Annotated[float, typer.Option(help="Seconds.")] = REQUEST_SECONDS,
    work_ms: int | None = None,
    request_id: str | None = None,
    as_json: JsonFlag = False,
):
    """Send a request to a backend service and print its answer."""
    data = read_body(body)
    answer = run_call(
        context,
        lambda client: client.send_request(
            service,
            data,
            idempotent=idempotent,
            deadline_seconds=deadline,
            work_ms=work_ms,
            request_id=request_id,
        ),
    )
    if not as_json:
        sys.stdout.buffer.write(answer.body)
        sys.stdout.buffer.flush()
        return
    show_json(
        {
            "request": answer.request,
            "content_type": answer.content_type,
            "body": _read_json(answer.body),
        }
    )


def _read_json(body):
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")
