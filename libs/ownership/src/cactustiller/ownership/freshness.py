"""Confirmation that the settings version in force on a daemon is the newest.

A version is confirmed by the table service, by a peer whose version the table service
has confirmed, or by a majority of the known members that report the table service as
unavailable. A change is accepted only once a majority of the members has it in force,
so the last rule cannot miss an accepted change: any two majorities share a member, and
the highest version among the answers is adopted.
"""

from typing import NamedTuple


class PeerAnswer(NamedTuple):
    """Settings status that a peer reported.

    Parameters
    ----------
    age_seconds : float
        Time since the peer's version was last confirmed.
    table_down : bool
        Whether the peer's last read of the table service failed.
    member_count : int
        Size of the peer's member list, itself included.
    """

    age_seconds: float
    table_down: bool
    member_count: int


def is_majority(count, member_count):
    """Return whether `count` is a majority; False for fewer than two members."""
    return member_count > 1 and 2 * count > member_count


def find_confirmation_time(answers, asked_at, member_count):
    """Return the latest loop time at which the peers' answers confirm the version.

    Parameters
    ----------
    answers : list of PeerAnswer
        Answers of the peers whose version is not newer than the one now in force.
    asked_at : float
        Loop time in seconds just before the requests to the peers.
    member_count : int
        Size of this daemon's member list, itself included.

    Returns
    -------
    float
        Loop time in seconds; minus infinity if nothing confirms the version.
    """
    confirmed_at = max(
        (asked_at - answer.age_seconds for answer in answers), default=float("-inf")
    )
    votes = 1 + sum(answer.table_down for answer in answers)
    known = max([member_count, *(answer.member_count for answer in answers)])
    if is_majority(votes, known):
        return asked_at
    return confirmed_at
