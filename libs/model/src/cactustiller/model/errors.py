"""Typed failure of a step, with the peer at which it arose."""

from pydantic import Field

from .record import Record
from .states import ErrorCode, Outcome

TABLE_PEER = "table service"


class Failure(Record):
    """Reason why an operation did not succeed.

    Parameters
    ----------
    code : ErrorCode
        Machine-readable reason.
    step : str
        Step at which it arose, such as ``"commit job"``.
    peer : str
        Address or name of the other side, or ``"local"``.
    reason : str
        Explanation for a person, with the remedy where there is one.
    outcome : Outcome
        Whether the operation took effect. `NOT_RUN` is a promise.
    retry_after_ms : int
        Time after which a retry is sensible; 0 where there is none.
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
    """Carries a `Failure` through code that cannot return a result."""

    def __init__(self, failure):
        super().__init__(str(failure))
        self.failure = failure
