"""Failures that a home answers."""

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, Outcome


def fail_handed_over(home, purpose):
    """Return the failure of a write after the home has another owner."""
    return Failure(
        code=ErrorCode.NOT_OWNER,
        step=f"commit {purpose}",
        peer=home,
        reason="the home has been handed over",
        retry_after_ms=200,
    )


def fail_unknown_job(home, job):
    """Return the failure of a question about a job that the home does not have."""
    return Failure(
        code=ErrorCode.NOT_FOUND, step="find job", peer=home, reason=f"no job {job}"
    )


def fail_job_ended(job):
    """Return the failure of an assignment of a job that has ended."""
    return Failure(
        code=ErrorCode.CONFLICT, step="commit assign", reason=f"job {job} is over"
    )


def fail_cancel_unavailable():
    """Return the refusal of a cancellation during an outage."""
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="cancel job",
        peer=TABLE_PEER,
        reason="the table service does not answer",
        retry_after_ms=2000,
    )


def fail_outcome_unknown(job, seconds):
    """Return the failure of a submission whose commit has not been answered."""
    return Failure(
        code=ErrorCode.TIMEOUT,
        step="commit job",
        peer=TABLE_PEER,
        reason=f"no answer within {seconds} s; ask again for job {job}",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=1000,
    )
