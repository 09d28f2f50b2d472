"""Parser of JSON with comments, and strict validation with one-line errors."""

import json
import re
from difflib import get_close_matches
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin

import pyjson5
from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from cactustiller.model import Record

OFFSET_PATTERN = re.compile(r" (?:starting )?near (\d+)")


class StrictRecord(Record):
    """Record of a settings file: no field aliases and no type conversions."""

    model_config = ConfigDict(strict=True, alias_generator=None, allow_inf_nan=False)


class SettingsError(Record):
    """One problem of a file: the dotted path within the file and the reason."""

    file: str
    path: str
    reason: str

    def __str__(self):
        place = f"{self.file}:{self.path}" if self.path else self.file
        return f"{place}: {self.reason}"


def read_text(path) -> Result[str, list[SettingsError]]:
    """Return the text of the file at `path`, or why it cannot be read."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        reason = f"cannot be read: {getattr(error, 'strerror', None) or error}"
        return Err([SettingsError(file=str(path), path="", reason=reason)])


def parse_json(text: str, file: str) -> Result[Any, list[SettingsError]]:
    """Return the parsed JSON with comments, or a syntax error with line and column."""
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return Err([_locate(error, text, file)])


def validate(
    model: type[BaseModel], data: Any, file: str, prefix: str = ""
) -> Result[BaseModel, list[SettingsError]]:
    """Return `data` as an instance of `model`, or every problem in it.

    Parameters
    ----------
    model : type
        Strict pydantic model class.
    data : object
        Parsed JSON.
    file : str
        File name for the errors.
    prefix : str
        Dotted path of `data` within the file.
    """
    try:
        # In strict mode, pydantic accepts strings for enums and lists for tuples
        # only when it validates JSON text.
        return Ok(model.model_validate_json(json.dumps(data)))
    except ValidationError as error:
        return Err(
            [
                SettingsError(
                    file=file,
                    path=_join(prefix, problem["loc"]),
                    reason=_describe(model, problem),
                )
                for problem in error.errors()
            ]
        )


def _locate(error, text, file):
    message = str(error.args[0]) if error.args else str(error)
    found = OFFSET_PATTERN.search(message)
    # pyjson5 reports character offsets from 1, and 0 for an empty text.
    offset = max(int(found[1]) - 1, 0) if found else 0
    line = text.count("\n", 0, offset) + 1
    column = offset - (text.rfind("\n", 0, offset) + 1) + 1
    reason = OFFSET_PATTERN.sub("", message).replace("b'", "'")
    return SettingsError(
        file=file,
        path=f"line {line} column {column}",
        reason=f"syntax error: {reason}",
    )


def _join(prefix, loc):
    parts = [str(part) for part in loc if part != "[key]"]
    return ".".join([prefix, *parts] if prefix else parts)


def _describe(model, problem):
    if problem["type"] == "extra_forbidden":
        name = str(problem["loc"][-1])
        known = _list_names(model, problem["loc"][:-1])
        close = get_close_matches(name, known, n=1)
        return "unknown name" + (f"; did you mean {close[0]}?" if close else "")
    if problem["type"] == "missing":
        return "missing"
    return problem["msg"].removeprefix("Value error, ").replace("\n", " ")


def _list_names(annotation, loc):
    for part in loc:
        annotation = _get_item_annotation(_strip_optional(annotation), part)
    return list(getattr(_strip_optional(annotation), "model_fields", ()))


def _get_item_annotation(annotation, part):
    if hasattr(annotation, "model_fields"):
        return annotation.model_fields[part].annotation
    arguments = get_args(annotation)
    return arguments[1] if get_origin(annotation) is dict else arguments[0]


def _strip_optional(annotation):
    if get_origin(annotation) in (UnionType, Union):
        return next(arg for arg in get_args(annotation) if arg is not type(None))
    return annotation
