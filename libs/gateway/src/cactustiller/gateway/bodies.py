"""Validation of request bodies and headers."""

import json
from typing import Annotated, Any

from pydantic import Field, ValidationError

from cactustiller.model import ErrorCode, TaskTemplate, WorkloadKind
from cactustiller.model.jobs import MAX_TASKS_PER_JOB, NAME_PATTERN
from cactustiller.model.record import Record

from .errors import make_refusal

MAX_JSON_BYTES = 4 * 1024 * 1024
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Submission(Record):
    """Body of ``POST /v1/jobs``."""

    name: Name
    team: Name
    queue: Name
    kind: WorkloadKind | None = None
    task_count: int = Field(ge=1, le=MAX_TASKS_PER_JOB)
    template: TaskTemplate
    deadline_seconds: float = Field(default=0.0, ge=0.0)
    max_attempts: int | None = Field(default=None, ge=1, le=100)


class TreeChange(Record):
    """Body of ``PUT /v1/settings``."""

    expected_version: int = Field(ge=0)
    tree: dict[str, Any]
    note: str = Field(default="", max_length=500)


class ValueChange(Record):
    """Body of ``PATCH /v1/settings``; the value None removes the setting."""

    expected_version: int | None = None
    path: str
    name: str
    value: Any = None
    note: str = Field(default="", max_length=500)


class Rollback(Record):
    """Body of ``POST /v1/settings/rollback``."""

    to_version: int = Field(ge=1)
    expected_version: int | None = None
    note: str = Field(default="", max_length=500)


class ZoneChange(Record):
    """Body of ``POST /v1/zones/<zone>/evacuate`` and ``.../restore``."""

    expected_version: int | None = None
    note: str = Field(default="", max_length=500)


class TeamCreation(Record):
    """Body of ``POST /v1/teams``."""

    team: Name
    values: dict[str, Any] = {}


class QueueCreation(TeamCreation):
    """Body of ``POST /v1/queues``."""

    queue: Name


class KeyCreation(Record):
    """Body of ``POST /v1/keys``."""

    team: Name | None = None
    name: Name
    operator: bool = False


async def read_body(request, body_class):
    """Return the validated JSON body of a request.

    Raises
    ------
    FailureError
        If it is not JSON or a field is invalid; the reason names the field.
    """
    text = await request.read()
    try:
        return body_class.model_validate(json.loads(text))
    except ValidationError as error:
        raise make_refusal(
            ErrorCode.INVALID, "read body", format_validation_error(error)
        ) from error
    except (ValueError, RecursionError) as error:
        reason = f"the body is not JSON: {error}"
        raise make_refusal(ErrorCode.INVALID, "read body", reason) from error


def format_validation_error(error):
    """Return one line that names every invalid field."""
    problems = error.errors(include_url=False, include_context=False)
    return "; ".join(
        f"{'.'.join(str(part) for part in problem['loc']) or 'body'}: {problem['msg']}"
        for problem in problems
    )


def read_int_header(request, header, low, high, default=None):
    """Return the integer in a header, `default` if the header is absent."""
    text = request.headers.get(header)
    if text is None:
        return default
    if text.isascii() and text.isdigit() and low <= int(text[:18]) <= high:
        return int(text)
    reason = f"{header}: must be an integer from {low} to {high}"
    raise make_refusal(ErrorCode.INVALID, "read headers", reason)


def read_idempotency_key(request):
    """Return the Idempotency-Key header, ``None`` if it is absent."""
    key = request.headers.get("Idempotency-Key")
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
        reason = f"Idempotency-Key: must have 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS}"
        raise make_refusal(ErrorCode.INVALID, "read headers", f"{reason} characters")
    return key
