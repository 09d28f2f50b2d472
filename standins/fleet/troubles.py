"""What befalls workers and calls to them."""

from enum import Enum

from result import Err

from cactustiller.model import ErrorCode, Failure, Outcome


class WorkerTrouble(Enum):
    """What befalls a worker or its orders."""

    NONE = "none"
    CUT_OFF = "cutOff"
    ORDERS_LATE = "ordersLate"
    FAILING = "failing"
    STANDING_STILL = "standingStill"
    CRASHED = "crashed"
    REPLACED = "replaced"
    CUT_OFF_WITH_REFUSALS = "cutOffWithRefusals"
    DARK = "dark"


def make_failure(code, reason, outcome=Outcome.UNKNOWN):
    """Return the ``Err`` of a call to a worker."""
    return Err(
        Failure(
            code=code,
            step="call worker",
            peer="worker",
            reason=reason,
            outcome=outcome,
        )
    )


# Failures of calls to a worker that is not there, by its trouble.
CONNECTION_REFUSED = (ErrorCode.UNAVAILABLE, "connection refused", Outcome.NOT_RUN)
ABSENT_FAILURES = {
    WorkerTrouble.CRASHED: CONNECTION_REFUSED,
    WorkerTrouble.CUT_OFF_WITH_REFUSALS: CONNECTION_REFUSED,
    WorkerTrouble.REPLACED: (
        ErrorCode.REPLACED,
        "another process listens at the address",
        Outcome.NOT_RUN,
    ),
}
# Calls get no answer and are not carried out.
SILENT_TROUBLES = (WorkerTrouble.CUT_OFF, WorkerTrouble.DARK)
