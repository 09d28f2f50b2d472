"""Failure record with code, step, peer and outcome, and its exception."""

from pydantic import Field

from .record import Record
from .states import ErrorCode, Outcome

TABLE_PEER = "table service"


class Failure(Record):
    """Failure of an operation, as returned to callers and sent to peers.

    Parameters
    ----------
    code : ErrorCode
        Machine-readable reason.
    step : str
        Step that failed, such as ``"commit job"``.
    peer : str
        Address or name of the other side, or ``"local"``.
    reason : str
        Human-readable explanation, with a remedy if there is one.
    outcome : Outcome
        Whether the operation took effect; `NOT_RUN` guarantees that it did not.
    retry_after_ms : int
        Suggested delay before a retry in milliseconds; 0 if there is none.
    """

    code: ErrorCode
    step: str
    peer: str = "local"
    reason: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int = Field(default=0, ge=0)

    def __str__(self):
        return f"{self.step} at {self.peer}: {self.reason} ({self.code})"


class FailureError(Exception):
    """Exception that carries a `Failure` through code that cannot return a result."""

    def __init__(self, failure):
        super().__init__(str(failure))
        self.failure = failure
