"""Failures that a home or a shard returns to its callers."""

from cactustiller.model import TABLE_PEER, ErrorCode, Failure, Outcome
from cactustiller.ownership.evacuation import STALE_REASON


def fail_handed_over(home, purpose):
    """Return the failure of a write after ownership of the home has moved."""
    return Failure(
        code=ErrorCode.NOT_OWNER,
        step=f"commit {purpose}",
        peer=home,
        reason="the home has been handed over",
        retry_after_ms=200,
    )


def fail_missing_job(home, job, unreadable):
    """Return the failure of a request about a job that the home does not have.

    Parameters
    ----------
    home : PartitionId
    job : JobId
    unreadable : dict of JobId to str
        Keys of the malformed rows because of which jobs were set aside.
    """
    if job in unreadable:
        return Failure(
            code=ErrorCode.CONFLICT,
            step="find job",
            peer=home,
            reason=f"the row {unreadable[job]} of job {job} cannot be read",
        )
    return Failure(
        code=ErrorCode.NOT_FOUND, step="find job", peer=home, reason=f"no job {job}"
    )


def fail_job_ended(job):
    """Return the failure of an assignment of a job that has ended."""
    return Failure(
        code=ErrorCode.CONFLICT, step="commit assign", reason=f"job {job} has ended"
    )


def fail_cancel_unavailable():
    """Return the failure of a cancellation during an outage of the table service."""
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step="cancel job",
        peer=TABLE_PEER,
        reason="the table service is not answering",
        retry_after_ms=2000,
    )


def fail_outcome_unknown(job, seconds):
    """Return the failure of a submission whose commit timed out."""
    return Failure(
        code=ErrorCode.TIMEOUT,
        step="commit job",
        peer=TABLE_PEER,
        reason=f"no answer within {seconds} s; ask again for job {job}",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=1000,
    )


def fail_unverified(shard):
    """Return the failure of a start whose assignment cannot be verified."""
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step=f"verify an assignment to {shard}",
        peer=TABLE_PEER,
        reason="the table service is unavailable, so the assignment is unverified",
        retry_after_ms=500,
    )


def fail_stale(shard):
    """Return the failure of a start while the evacuated zones may be out of date."""
    return Failure(
        code=ErrorCode.UNAVAILABLE,
        step=f"start runs of {shard}",
        reason=STALE_REASON,
        retry_after_ms=500,
    )
