"""What became of each arrival, measured from the time at which it was due."""

from dataclasses import dataclass, field
from enum import StrEnum

from cactustiller.model import JobState, Outcome

from .arrivals import Arrival


class Result(StrEnum):
    """Result of one arrival as the load sees it."""

    PENDING = "pending"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


RESULTS_BY_STATE = {
    JobState.SUCCEEDED: Result.SUCCEEDED,
    JobState.FAILED: Result.FAILED,
    JobState.CANCELLED: Result.CANCELLED,
}


@dataclass
class Tracked:
    """One arrival with its result; times are seconds after it was due.

    Parameters
    ----------
    arrival : Arrival
    late_seconds : float
        How late the load itself sent it.
    answered_seconds : float or None
        Until the answer came.
    first_start_seconds, last_start_seconds : float or None
        Until the first and the last task started.
    ended_seconds : float or None
        Until the job ended.
    """

    arrival: Arrival
    result: Result = Result.PENDING
    job: str = ""
    reason: str = ""
    late_seconds: float = 0.0
    answered_seconds: float | None = None
    first_start_seconds: float | None = None
    last_start_seconds: float | None = None
    ended_seconds: float | None = None

    @property
    def missed_deadline(self):
        """Whether a job with a deadline ended after it or has not ended."""
        deadline = getattr(self.arrival.load, "deadline_seconds", 0.0)
        if not self.job or not deadline or self.result is Result.CANCELLED:
            return False
        return self.ended_seconds is None or self.ended_seconds > deadline

    def note_failure(self, failure):
        """Record a call that failed."""
        is_unknown = failure.outcome is Outcome.UNKNOWN
        self.result = Result.UNKNOWN if is_unknown else Result.REFUSED
        self.reason = failure.reason

    def note_status(self, status):
        """Take a `JobStatus` of the accepted job."""
        self.result = RESULTS_BY_STATE.get(status.state, Result.ACCEPTED)
        # The cell counts from acceptance, the load from when the job was due.
        offset = self.answered_seconds or 0.0
        if getattr(status, "first_start_seconds", -1.0) >= 0:
            self.first_start_seconds = offset + status.first_start_seconds
            self.last_start_seconds = offset + status.last_start_seconds
        if getattr(status, "ended_at", 0.0):
            self.ended_seconds = offset + status.ended_at - status.submitted_at


@dataclass(frozen=True)
class Moment:
    """State of the cell `at` seconds after the begin."""

    at: float
    packing: float
    teams: dict = field(default_factory=dict)
