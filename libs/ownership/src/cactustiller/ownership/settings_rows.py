"""Rows of the settings in the table service.

The row ``settings/head`` holds the newest version and its digest,
``settings/body/<version>`` the serialized tree of a retained version, and
``settings/log/<version>`` the author and the changes of a version.
"""

import hashlib

from pydantic import Field

from cactustiller.model import Record

HEAD_KEY = "settings/head"
BODY_PREFIX = "settings/body/"
LOG_PREFIX = "settings/log/"
RETAINED_BODIES = 100
RETAINED_LOG_ENTRIES = 1000
MAX_LOGGED_CHANGES = 50


class SettingsHead(Record):
    """Row ``settings/head``: the newest committed version.

    `at` is in seconds since the Unix epoch; `token` identifies the commit and is
    repeated in the body row.
    """

    version: int = Field(ge=1)
    author: str
    note: str = ""
    at: float
    digest: str
    token: str


class SettingsBodyRow(Record):
    """Row ``settings/body/<version>``: the serialized tree of a version."""

    version: int
    token: str
    text: str


class SettingsLogEntry(Record):
    """Row ``settings/log/<version>``: a committed change of the settings."""

    version: int
    author: str
    note: str = ""
    at: float
    changes: list[str] = []


def body_key(version):
    """Return the key of a version's body row."""
    return f"{BODY_PREFIX}{version:09d}"


def log_key(version):
    """Return the key of a version's log row."""
    return f"{LOG_PREFIX}{version:09d}"


def digest_text(text):
    """Return the digest that detects a damaged or mismatched text."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def describe_changes(changes):
    """Return a line for each of the first `MAX_LOGGED_CHANGES` changes."""
    lines = [
        f"{change.path or '(system)'} {change.name}: {change.old} -> {change.new}"
        for change in changes[:MAX_LOGGED_CHANGES]
    ]
    hidden = len(changes) - len(lines)
    return [*lines, f"and {hidden} more"] if hidden else lines
