"""Rows of the table service that keep the settings.

The row ``settings/head`` names the version in force, ``settings/body/<version>``
holds the text of one of the last versions and ``settings/log/<version>`` says who
changed what.
"""

import hashlib

from cactustiller.model import Record

HEAD_KEY = "settings/head"
BODY_PREFIX = "settings/body/"
LOG_PREFIX = "settings/log/"
RETAINED_BODIES = 100
RETAINED_LOG_ENTRIES = 1000
MAX_LOGGED_CHANGES = 50


class SettingsHead(Record):
    """Row ``settings/head``; `at` is seconds since the Unix epoch."""

    version: int
    author: str
    note: str = ""
    at: float
    digest: str
    token: str


class SettingsBodyRow(Record):
    """Row ``settings/body/<version>``."""

    version: int
    token: str
    text: str


class SettingsLogEntry(Record):
    """Row ``settings/log/<version>``: one accepted change."""

    version: int
    author: str
    note: str = ""
    at: float
    changes: list[str] = []


def body_key(version):
    """Return the key of a version's text."""
    return f"{BODY_PREFIX}{version:09d}"


def log_key(version):
    """Return the key of a version's log entry."""
    return f"{LOG_PREFIX}{version:09d}"


def digest_text(text):
    """Return the digest by which a damaged text is found."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def describe_changes(changes):
    """Return one line for each `Change`, the first `SHOWN_CHANGES` of them."""
    lines = [
        f"{change.path or '(system)'} {change.name}: {change.old} -> {change.new}"
        for change in changes[:MAX_LOGGED_CHANGES]
    ]
    hidden = len(changes) - len(lines)
    return [*lines, f"and {hidden} more"] if hidden else lines
