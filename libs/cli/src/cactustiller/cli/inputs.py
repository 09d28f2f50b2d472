"""Reads values and job files that the user gives."""

import sys
from pathlib import Path

import pyjson5
from pydantic import ValidationError

from .session import stop_usage
from .submissions import JobSubmission

INSTANCE_NAMES = frozenset({"instance", "gateway", "scheduler", "platform"})


def read_value(text):
    """Return `text` as a JSON value, or as itself where it is none."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception:
        return text


def read_values(pairs):
    """Return ``NAME=VALUE`` pairs as a mapping with JSON values."""
    return {name: read_value(text) for name, text in map(_split, pairs)}


def read_labels(pairs):
    """Return ``NAME=TEXT`` pairs as a mapping of texts."""
    return dict(map(_split, pairs))


def read_body(path):
    """Return the bytes of a file, or of standard input for ``-``."""
    if str(path) == "-":
        return sys.stdin.buffer.read()
    try:
        return Path(path).read_bytes()
    except OSError as error:
        stop_usage(f"{path}: {error.strerror}")


def read_object(path):
    """Return the object in a file of JSON with comments."""
    try:
        data = pyjson5.decode(read_body(path).decode())
    except (pyjson5.Json5Exception, UnicodeDecodeError) as error:
        stop_usage(f"{path}: {error.args[0] if error.args else error}")
    if not isinstance(data, dict):
        stop_usage(f"{path}: expected an object")
    return data


def is_tree(path):
    """Return whether a settings file holds a tree, not an instance's settings."""
    try:
        data = pyjson5.decode(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, pyjson5.Json5Exception):
        return False
    return isinstance(data, dict) and not INSTANCE_NAMES & data.keys()


def build_submission(data, source) -> JobSubmission:
    """Return the checked job; every problem is printed on its own line."""
    try:
        return JobSubmission.model_validate(data)
    except ValidationError as error:
        stop_usage(
            *(
                f"{source}: {'.'.join(map(str, problem['loc']))}: {problem['msg']}"
                for problem in error.errors()
            )
        )


def _split(pair):
    name, equals, text = pair.partition("=")
    if not name or not equals:
        stop_usage(f"{pair!r} is not NAME=VALUE")
    return name, text
