"""Job ids, which name the job's home so that every gateway finds it.

An id is ``<home number>-<caller tag>-<token>``. The tag is a digest of the caller's
team, so a caller in an open queue may ask for its own jobs.
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
    """Return a job id, the same one for the same idempotency key.

    Parameters
    ----------
    team : TeamId
        Team in whose queue the job waits.
    caller : str
        Team of the caller's key.
    idempotency_key : str, optional
    """
    number = home_of_team(team).removeprefix(HOME_PREFIX)
    if idempotency_key is None:
        token = secrets.token_hex(TOKEN_BYTES)
    else:
        token = _digest(TOKEN_BYTES, team, caller, idempotency_key)
    return JobId(f"{number}-{_digest(TAG_BYTES, caller)}-{token}")


def home_of_job(job):
    """Return the home of a job, None if the id is malformed."""
    found = JOB_ID_PATTERN.fullmatch(job)
    if found is None:
        return None
    home = PartitionId(f"{HOME_PREFIX}{found[1]}")
    return home if home in list_homes() else None


def is_submitted_by(job, caller):
    """Return whether a key of the team `caller` submitted the job."""
    found = JOB_ID_PATTERN.fullmatch(job)
    return found is not None and found[2] == _digest(TAG_BYTES, caller)


def _digest(size_bytes, *parts):
    # The length of each part keeps ("ab", "c") apart from ("a", "bc").
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return blake2b(text.encode(), digest_size=size_bytes).hexdigest()
