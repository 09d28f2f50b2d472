"""Whether a daemon may rely on the settings version that it has in force.

A version is confirmed by the table service, by a peer that the table service has
confirmed it to, or by more than half of the known members saying that the table
service is down for them too. A change counts as accepted only once more than half of
the members have it in force, so the last rule cannot miss an accepted change: the two
majorities share a member, and the highest version among the answers is taken.
"""

from typing import NamedTuple


class PeerAnswer(NamedTuple):
    """What one peer said of its settings.

    Parameters
    ----------
    age_seconds : float
        Time since the peer's version was last confirmed.
    table_down : bool
        Whether the peer's last read of the table service failed.
    member_count : int
        Members that the peer knows, itself included.
    """

    age_seconds: float
    table_down: bool
    member_count: int


def is_majority(count, member_count):
    """Return whether `count` members are more than half; never of an unknown number."""
    return member_count > 1 and 2 * count > member_count


def find_confirmation_time(answers, asked_at, member_count):
    """Return the loop time at which the peers' answers confirm the version.

    Parameters
    ----------
    answers : list of PeerAnswer
        Of the peers whose version is not higher than the one now in force.
    asked_at : float
        Loop time in seconds before the peers were asked.
    member_count : int
        Members that this daemon knows, itself included.

    Returns
    -------
    float
        Minus infinity where nothing is confirmed.
    """
    confirmed_at = max(
        (asked_at - answer.age_seconds for answer in answers), default=float("-inf")
    )
    votes = 1 + sum(answer.table_down for answer in answers)
    known = max([member_count, *(answer.member_count for answer in answers)])
    if is_majority(votes, known):
        return asked_at
    return confirmed_at
