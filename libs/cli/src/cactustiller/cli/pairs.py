"""Pairs of images that slow each other down, from the log lines of members."""

from enum import StrEnum
from typing import NamedTuple

LEARNED = "interference_learned"
DROPPED = "interference_dropped"
TAKEOVER = "takeover"


class PairState(StrEnum):
    """What the cell's owner makes of a pair; a new owner learns all pairs anew."""

    KNOWN = "known"
    DROPPED = "dropped"
    FORGOTTEN = "forgotten"


class Pair(NamedTuple):
    """Latest log line about a pair of images.

    Attributes
    ----------
    affected, interfering : str
        Image that is slowed down, and the one that slows it down.
    slowdown, confidence, samples
        Fields of the line; None if it lacks them.
    age_seconds : float
        Time from the line to the last one of the files.
    reason : str
        Why the pair was dropped, else empty.
    """

    affected: str
    interfering: str
    slowdown: float | None
    confidence: float | None
    samples: int | None
    age_seconds: float
    state: PairState
    reason: str = ""


def find_pairs(lines):
    """Return the `Pair` of each two images, by their names.

    Parameters
    ----------
    lines : list of StoryLine
    """
    ordered = sorted(lines, key=lambda line: line.at)
    latest = {}
    for line in ordered:
        if line.event == TAKEOVER:
            for key, (known, state) in latest.items():
                if state is PairState.KNOWN:
                    latest[key] = (known, PairState.FORGOTTEN)
        elif line.event in (LEARNED, DROPPED):
            fields = line.fields
            key = (str(fields.get("affected")), str(fields.get("interfering")))
            is_known = line.event == LEARNED
            state = PairState.KNOWN if is_known else PairState.DROPPED
            latest[key] = (line, state)
    if not latest:
        return []
    end = ordered[-1].at
    return [
        _make_pair(key, line, state, end)
        for key, (line, state) in sorted(latest.items(), key=lambda item: item[0])
    ]


def _make_pair(key, line, state, end):
    fields = line.fields
    return Pair(
        *key,
        fields.get("slowdown"),
        fields.get("confidence"),
        fields.get("samples"),
        round(end - line.at, 1),
        state,
        str(fields.get("reason", "")),
    )
