"""Decoding of stored rows; a malformed one is logged and skipped."""

import structlog
from pydantic import ValidationError

log = structlog.get_logger(__name__)


def decode_row(row, record_class, step, make_key=None, reported=None):
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
    reported : set of str, optional
        Keys of rows that are malformed and logged already, for rows that are read
        again and again; this function keeps it up to date.
    """
    reason, record = "", None
    try:
        record = record_class.model_validate(row.value)
        if make_key is not None and make_key(record) != row.key:
            reason = f"it holds {make_key(record)}"
    except (ValidationError, RecursionError) as error:
        reason = _describe(error)
    if reported is None:
        reported = set()
    if not reason:
        reported.discard(row.key)
        return record
    if row.key not in reported:
        report_unreadable(row.key, step, reason)
    reported.add(row.key)
    return None


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
