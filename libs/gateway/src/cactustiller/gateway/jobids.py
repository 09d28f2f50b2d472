"""Job ids.

An id is ``<home number>-<caller tag>-<token>``. The home of a job is the partition
that manages its team's jobs; the number lets every gateway find it. The tag is a
digest of the caller's team, so that a caller can query its own jobs in the queue of
another team.
"""

import re
import secrets
from hashlib import blake2b

from cactustiller.model import JobId, PartitionId
from cactustiller.ownership import home_of_team, list_homes
from cactustiller.ownership.partitions import HOME_PREFIX

TAG_BYTES = 6
TOKEN_BYTES = 10
JOB_ID_PATTERN = re.compile(r"([0-9]{2,6})-([0-9a-f]{12})-([0-9a-f]{20})")


def make_job_id(team, caller, idempotency_key=None):
    """Return a job id, always the same for one idempotency key.

    Parameters
    ----------
    team : TeamId
        Team that owns the queue of the job.
    caller : str
        Team of the caller's key, or the key's id if it has no team.
    idempotency_key : str, optional
    """
    number = home_of_team(team).removeprefix(HOME_PREFIX)
    if idempotency_key is None:
        token = secrets.token_hex(TOKEN_BYTES)
    else:
        token = _digest(TOKEN_BYTES, team, caller, idempotency_key)
    return JobId(f"{number}-{_digest(TAG_BYTES, caller)}-{token}")


def home_of_job(job):
    """Return the home partition of a job, ``None`` if the id is malformed."""
    found = JOB_ID_PATTERN.fullmatch(job)
    if found is None:
        return None
    home = PartitionId(f"{HOME_PREFIX}{found[1]}")
    return home if home in list_homes() else None


def is_submitted_by(job, caller):
    """Return whether `caller`, a team or a key's id, submitted the job."""
    found = JOB_ID_PATTERN.fullmatch(job)
    return found is not None and found[2] == _digest(TAG_BYTES, caller)


def _digest(size_bytes, *parts):
    # The length prefixes distinguish ("ab", "c") from ("a", "bc").
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return blake2b(text.encode(), digest_size=size_bytes).hexdigest()
