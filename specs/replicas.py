"""Settings: two racing operators, a partitioned daemon, an outage, a starting daemon.

Operators work at daemons 0 and 1; daemon 2 starts without settings. A partition or an
outage is that a daemon does not reach the table. Answers are late or lost. Time passes
in ticks, the same for all clocks.
"""

from typing import NamedTuple

from .kit import MENDED, Mutant, Spec

FRESH_TICKS = 1
LAST_VERSION = 3
OPERATORS = (0, 1)
DAEMONS = (0, 1, 2)


class Daemon(NamedTuple):
    """Version in force, ticks for which it counts as fresh, a read under way."""

    version: int = 1
    fresh: int = FRESH_TICKS
    reply: tuple = ()


class Change(NamedTuple):
    """An operator's change: the version it is to become and what was told."""

    phase: str = "none"
    version: int = 0
    told: str = ""
    is_in_flight: bool = False


class State(NamedTuple):
    """All parts.

    `authors` are the operators of versions 2 and on, `age` the ticks since the newest
    version was committed.
    """

    authors: tuple = ()
    age: int = FRESH_TICKS
    daemons: tuple = (Daemon(), Daemon(), Daemon(version=0, fresh=0))
    changes: tuple = (Change(), Change())
    has_reverted: bool = False
    is_untrue: bool = False

    @property
    def version(self):
        """Newest version in the table."""
        return 1 + len(self.authors)


def _set_daemon(state, number, **changes):
    daemons = list(state.daemons)
    daemons[number] = daemons[number]._replace(**changes)
    return state._replace(daemons=tuple(daemons))


def _set_change(state, number, **changes):
    every = list(state.changes)
    every[number] = every[number]._replace(**changes)
    return state._replace(changes=tuple(every))


def list_steps(state, flags):
    """Return every step from a state."""
    steps = [("tick", _tick(state))]
    for number in DAEMONS:
        steps += _list_replica_steps(state, flags, number)
    for number in OPERATORS:
        steps += _list_change_steps(state, flags, number)
    return [(label, following) for label, following in steps if following != state]


def _list_replica_steps(state, flags, number):
    daemon = state.daemons[number]
    if not any(other.reply for other in state.daemons):
        asked = _set_daemon(state, number, reply=(state.version, FRESH_TICKS))
        yield f"SettingsReplica.poll of daemon {number} reads", asked
    elif daemon.reply:
        yield _take_head(state, flags, number)
    for other in DAEMONS:
        if state.daemons[other].version > daemon.version or (
            "adopt a lower version" in flags and state.daemons[other].version
        ):
            yield (
                f"SettingsReplica._poll_peers of daemon {number} hears {other}",
                _hear(state, flags, number, other),
            )


def _take_head(state, flags, number):
    daemon = state.daemons[number]
    version, left = daemon.reply
    if "freshness from the answer's arrival" in flags:
        left = FRESH_TICKS
    adopted = _adopt(_set_daemon(state, number, reply=()), flags, number, version)
    return (
        f"SettingsReplica._load of daemon {number}",
        _set_daemon(adopted, number, fresh=max(daemon.fresh, left)),
    )


def _hear(state, flags, number, other):
    adopted = _adopt(state, flags, number, state.daemons[other].version)
    if "freshness from peers" in flags:
        return _set_daemon(adopted, number, fresh=FRESH_TICKS)
    return adopted


def _adopt(state, flags, number, version):
    current = state.daemons[number].version
    if version >= current:
        return _set_daemon(state, number, version=version)
    if "adopt a lower version" not in flags:
        return state
    return _set_daemon(state, number, version=version)._replace(has_reverted=True)


def _list_change_steps(state, flags, number):
    change = state.changes[number]
    daemon = state.daemons[number]
    of = f"of operator {number}"
    if change.phase == "none" and daemon.fresh and daemon.version < LAST_VERSION:
        begun = _set_change(
            state,
            number,
            phase="sent",
            version=daemon.version + 1,
            is_in_flight=True,
        )
        yield f"SettingsReplica.change {of}", begun
    if change.is_in_flight:
        yield from _commit(state, flags, number)
    if change.phase == "landed":
        yield f"SettingsReplica._announce {of}", _accept(state, flags, number)
    if change.phase in ("sent", "landed"):
        is_refused = "a fenced commit is not run" in flags and not change.is_in_flight
        fenced = _set_change(state, number, phase="unknown")
        if is_refused:
            fenced = _tell(state, number, "not run")
        yield f"Committer.commit {of} has no answer", fenced
    if change.phase == "unknown":
        yield from _resolve(state, flags, number)


def _commit(state, flags, number):
    change = state.changes[number]
    of = f"of operator {number}"
    is_next = change.version == state.version + 1
    phase = "landed" if change.phase == "sent" else change.phase
    if is_next or "no condition on the head" in flags:
        authors = (*state.authors[: change.version - 2], number)
        landed = state._replace(authors=authors, age=0)
        landed = _set_change(landed, number, phase=phase, is_in_flight=False)
        if change.phase == "told":
            landed = _tell(landed, number, change.told)
        yield f"SettingsReplica._commit {of} takes effect", landed
        return
    refused = _set_change(state, number, is_in_flight=False)
    if change.phase == "sent":
        refused = _tell(refused, number, "conflict")
    elif change.phase == "told":
        refused = _set_change(refused, number, version=0, told="")
    yield f"SettingsReplica._describe_conflict {of}", refused


def _accept(state, flags, number):
    version = state.changes[number].version
    adopted = _adopt(state, flags, number, version)
    return _tell(adopted, number, "accepted")


def _tell(state, number, told):
    """Tell an operator the outcome; keep what can still make it untrue."""
    change = state.changes[number]
    written = state.authors[change.version - 2 : change.version - 1]
    if told == "accepted" and written != (number,):
        return state._replace(is_untrue=True)
    if told in ("conflict", "not run") and written == (number,):
        return state._replace(is_untrue=True)
    if not change.is_in_flight:
        return _set_change(state, number, phase="told", version=0, told="")
    told = told if told in ("conflict", "not run") else ""
    return _set_change(state, number, phase="told", told=told)


def _resolve(state, flags, number):
    """Read back the body that the change would have written."""
    change = state.changes[number]
    label = f"SettingsReplica._resolve_commit_failure of operator {number}"
    if "send again under a new token" in flags:
        again = _set_change(state, number, phase="sent", is_in_flight=True)
        yield f"{label} sends again", again
        return
    written = state.authors[change.version - 2 : change.version - 1]
    if written == (number,):
        yield f"{label}: its own", _accept(state, flags, number)
    elif written:
        yield f"{label}: another's", _tell(state, number, "conflict")
    else:
        told = "not run" if "nothing there is not run" in flags else "unknown"
        yield f"{label}: nothing there", _tell(state, number, told)


def _tick(state):
    ticked = state._replace(age=min(FRESH_TICKS, state.age + 1))
    for number, daemon in enumerate(state.daemons):
        reply = daemon.reply
        if reply:
            reply = (reply[0], max(0, reply[1] - 1))
        ticked = _set_daemon(
            ticked, number, fresh=max(0, daemon.fresh - 1), reply=reply
        )
    return ticked


def _is_in_force(state):
    is_old = state.age >= FRESH_TICKS
    return not is_old or all(
        daemon.version >= state.version for daemon in state.daemons if daemon.fresh
    )


_FORWARD = "no daemon goes back to a lower version"
_FORCE = "a change is in force or its holders have stopped"
_TRUE = "what an operator is told is true"

SPEC = Spec(
    name="replicas",
    title="Settings",
    sizes=f"2 operators, 3 daemons, versions up to {LAST_VERSION}; ticks: freshness "
    f"{FRESH_TICKS}",
    initial=State(),
    list_steps=list_steps,
    properties={
        _FORWARD: lambda state: not state.has_reverted,
        _FORCE: _is_in_force,
        _TRUE: lambda state: not state.is_untrue,
    },
    goal=lambda state: all(
        daemon.version == state.version and daemon.fresh for daemon in state.daemons
    ),
    actions={
        "SettingsReplica.poll": "ownership/replica.py",
        "SettingsReplica._load": "ownership/replica.py",
        "SettingsReplica._poll_peers": "ownership/replica.py",
        "SettingsReplica.change": "ownership/replica.py",
        "SettingsReplica._commit": "ownership/replica.py",
        "SettingsReplica._announce": "ownership/replica.py",
        "SettingsReplica._describe_conflict": "ownership/replica.py",
        "SettingsReplica._resolve_commit_failure": "ownership/replica.py",
        "Committer.commit": "platform/commits.py",
    },
    outside=(
        "contents and validation of the tree",
        "daemons that learn from their peers that the table is down",
    ),
    mutants=(
        Mutant(
            "adopt a lower version",
            _FORWARD,
            "a daemon takes any version that it hears of",
        ),
        Mutant(
            "no condition on the head",
            _TRUE,
            "a change is not conditional on the version that the operator read",
        ),
        Mutant(
            "freshness from the answer's arrival",
            _FORCE,
            "a version counts as fresh from the answer on instead of from the question",
        ),
        Mutant("freshness from peers", _FORCE, "what peers tell counts as fresh"),
        Mutant(
            "send again under a new token",
            _TRUE,
            "a change without an answer is sent again as another one",
        ),
        Mutant(
            "a fenced commit is not run",
            _TRUE,
            "Committer._fence says `not run` of a transaction whose answer was lost",
            fault=MENDED,
        ),
        Mutant(
            "nothing there is not run",
            _TRUE,
            "a change that is not in the table yet is said not to have run",
        ),
    ),
)
