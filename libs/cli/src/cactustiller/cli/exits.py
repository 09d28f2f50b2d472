"""Exit codes of the command line and the remedies that errors name."""

from enum import IntEnum

from cactustiller.model import ErrorCode, Outcome


class Exit(IntEnum):
    """Exit code of a command."""

    OK = 0
    OTHER = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    NOT_FOUND = 5
    DENIED = 6
    CONFLICT = 7
    UNAVAILABLE = 8


EXIT_MEANINGS = {
    Exit.OK: "done",
    Exit.OTHER: "failed otherwise, or the awaited job did not succeed",
    Exit.USAGE: "wrong usage, settings or values; nothing ran",
    Exit.NOT_RUN: "refused, did not run",
    Exit.UNKNOWN: "outcome unknown: it may have run",
    Exit.NOT_FOUND: "not found",
    Exit.DENIED: "key missing, unknown or without the right",
    Exit.CONFLICT: "someone else changed it first",
    Exit.UNAVAILABLE: "no gateway could answer; nothing changed",
}

EXITS_BY_CODE = {
    ErrorCode.INVALID: Exit.USAGE,
    ErrorCode.UNAUTHENTICATED: Exit.DENIED,
    ErrorCode.FORBIDDEN: Exit.DENIED,
    ErrorCode.NOT_FOUND: Exit.NOT_FOUND,
    ErrorCode.CONFLICT: Exit.CONFLICT,
    ErrorCode.UNAVAILABLE: Exit.UNAVAILABLE,
}

REMEDIES = {
    ErrorCode.INVALID: "correct the value that the reason names",
    ErrorCode.UNAUTHENTICATED: "set CACTUSTILLER_KEY or CACTUSTILLER_KEY_FILE",
    ErrorCode.FORBIDDEN: "use a key that has the right",
    ErrorCode.NOT_FOUND: "check the name",
    ErrorCode.CONFLICT: "read the present version, then change that",
    ErrorCode.NOT_OWNER: "try again shortly, the owner is changing",
    ErrorCode.OVERLOADED: "try again later, or pass --retry",
    ErrorCode.UNAVAILABLE: "check the gateways' addresses, or pass --retry",
    ErrorCode.TIMEOUT: "pass a longer --deadline",
    ErrorCode.FENCED: "try again shortly, the owner is changing",
    ErrorCode.PROTOCOL: "check that the address is a gateway of this version",
    ErrorCode.NEVER_RUNNABLE: "ask for less, or for attributes that workers have",
    ErrorCode.UPSTREAM: "check the backend server",
    ErrorCode.HISTORY_LOST: "read the rows anew and follow them from there",
    ErrorCode.REPLACED: "look the peer up again, its process has been replaced",
}
UNKNOWN_REMEDY = "find out whether it took effect before you repeat it"


def choose_exit(failure):
    """Return the exit code of a `Failure`."""
    if failure.outcome is Outcome.UNKNOWN:
        return Exit.UNKNOWN
    if failure.code in EXITS_BY_CODE:
        return EXITS_BY_CODE[failure.code]
    return Exit.NOT_RUN if failure.outcome is Outcome.NOT_RUN else Exit.OTHER


def describe_failure(failure):
    """Return the error lines of a `Failure`: step, peer, reason and remedy."""
    unknown = failure.outcome is Outcome.UNKNOWN
    remedy = UNKNOWN_REMEDY if unknown else REMEDIES[failure.code]
    lines = [
        f"error: {failure}",
        f"  step: {failure.step}",
        f"  peer: {failure.peer}",
        f"  outcome: {failure.outcome}",
        f"  remedy: {remedy}",
    ]
    if failure.retry_after_ms:
        lines.append(f"  retry after: {failure.retry_after_ms / 1000:g} s")
    return "\n".join(lines)
