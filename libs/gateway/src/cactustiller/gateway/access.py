"""Who calls: keys and the rights that they give."""

import hmac
from pathlib import Path
from typing import NamedTuple

import structlog

from cactustiller.model import ErrorCode, KeyId, TeamId
from cactustiller.settings import has_path, resolve, verify_key

from .errors import make_refusal

FIRST_KEY_ID = KeyId("first-operator")
MIN_FIRST_KEY_CHARACTERS = 16
BEARER_PREFIX = "Bearer "
STALE_RETRY_AFTER_MS = 1000

log = structlog.get_logger(__name__)


class Caller(NamedTuple):
    """Holder of a valid key."""

    key: KeyId
    name: str
    team: TeamId | None
    operator: bool


class AccessControl:
    """Checks keys against the settings in force.

    Parameters
    ----------
    replica : SettingsReplica
    site, cell : str
        Path of the cell in the settings tree.
    first_key_file : str, optional
        File with the first operator's key.
    """

    def __init__(self, replica, site, cell, first_key_file=None):
        self._replica = replica
        self._site = site
        self._cell = cell
        self._first_key_file = first_key_file

    def identify(self, authorization):
        """Return the `Caller` of an Authorization header.

        Raises
        ------
        FailureError
            If the key is not valid or the settings may be out of date.
        """
        if not authorization.startswith(BEARER_PREFIX):
            reason = "no key; send Authorization: Bearer <key>"
            raise make_refusal(ErrorCode.UNAUTHENTICATED, "check key", reason)
        if not self._replica.is_fresh:
            raise make_refusal(
                ErrorCode.UNAVAILABLE,
                "check key",
                "the settings in force can't be confirmed; no key is accepted",
                retry_after_ms=STALE_RETRY_AFTER_MS,
            )
        presented = authorization.removeprefix(BEARER_PREFIX).strip()
        found = verify_key(self._replica.tree, presented)
        if found.is_err():
            # The file is read last, so that requests under other keys don't wait.
            if self._is_first_key(presented):
                return Caller(FIRST_KEY_ID, "first operator", None, True)
            reason = found.unwrap_err().value
            raise make_refusal(ErrorCode.UNAUTHENTICATED, "check key", reason)
        key = found.unwrap()
        return Caller(key.key_id, key.name, key.team, key.operator)

    def identify_operator(self, authorization):
        """Return the caller, who must be an operator."""
        caller = self.identify(authorization)
        if not caller.operator:
            reason = "needs an operator's key"
            raise make_refusal(ErrorCode.FORBIDDEN, "check rights", reason)
        return caller

    def check_submission(self, caller, team, queue):
        """Return the values of a queue to which the caller may submit."""
        if not has_path(self._replica.tree, self.get_path(team, queue)):
            if caller.team != team and not caller.operator:
                # The same answer as for a queue that exists but is not open.
                raise _make_team_refusal(caller, team)
            reason = f"team {team} has no queue {queue}"
            raise make_refusal(ErrorCode.NOT_FOUND, "find queue", reason)
        values = self.resolve(team, queue)
        if caller.team != team and not values.open_to_all:
            raise _make_team_refusal(caller, team)
        return values

    def check_team(self, caller, team):
        """Check that the caller may see and cancel work of a team."""
        if caller.team != team and not caller.operator:
            raise _make_team_refusal(caller, team)

    def resolve(self, team=None, queue=None):
        """Return the values in force for a team or queue of the cell."""
        return resolve(self._replica.tree, self._site, self._cell, team, queue)

    def get_path(self, team=None, queue=None):
        """Return the path of the cell, a team or a queue in the tree."""
        names = (self._site, self._cell, team, queue)
        return "/".join(name for name in names if name is not None)

    def _is_first_key(self, presented):
        if self._first_key_file is None:
            return False
        try:
            expected = Path(self._first_key_file).read_text(encoding="utf-8").strip()
        except OSError:
            return False
        if len(expected) < MIN_FIRST_KEY_CHARACTERS:
            return False
        return hmac.compare_digest(expected.encode(), presented.encode())


def _make_team_refusal(caller, team):
    holder = f"team {caller.team}" if caller.team else "an operator"
    reason = f"the key belongs to {holder}, not to team {team}"
    return make_refusal(ErrorCode.FORBIDDEN, "check rights", reason)
