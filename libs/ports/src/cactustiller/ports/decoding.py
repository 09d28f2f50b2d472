"""Decoding of stored rows; a malformed one is logged and skipped."""

import structlog
from pydantic import ValidationError

log = structlog.get_logger(__name__)


def decode_row(row, record_class, step, make_key=None):
    """Return the record in a row, ``None`` if it is malformed.

    Logs one error line with step, key and reason for a malformed row.

    Parameters
    ----------
    row : Row
    record_class : type of Record
    step : str
        Step that reads the row, for the log line.
    make_key : callable, optional
        Returns the key at which a record has to be stored.
    """
    try:
        record = record_class.model_validate(row.value)
    except (ValidationError, RecursionError) as error:
        report_unreadable(row.key, step, _describe(error))
        return None
    if make_key is not None and make_key(record) != row.key:
        report_unreadable(row.key, step, f"it holds {make_key(record)}")
        return None
    return record


def decode_rows(rows, record_class, step, make_key=None):
    """Return the records in rows, and the list of the malformed rows."""
    records, unreadable = [], []
    for row in rows:
        record = decode_row(row, record_class, step, make_key)
        if record is None:
            unreadable.append(row)
        else:
            records.append(record)
    return records, unreadable


def report_unreadable(key, step, reason):
    """Log that a stored row cannot be used."""
    log.error("row_unreadable", key=key, step=step, reason=reason)


def _describe(error):
    if not isinstance(error, ValidationError):
        return type(error).__name__
    problem = error.errors(include_url=False, include_context=False)[0]
    field = ".".join(str(part) for part in problem["loc"]) or "row"
    return f"{field}: {problem['msg']}"
