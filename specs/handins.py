"""Hand-in: what a caller may be told of a job, whatever becomes of the writes.

A member asks the owner, who stores the job's row with its next transaction; where that
fails, the member stores the row by itself. A write may be refused by the store, carried
out with or without an answer, or stay on its way for any time; that of an owner is
refused once another member owns the cell. Each side tries at most twice.
"""

from typing import NamedTuple

from .kit import Mutant, Spec

TRIES = 2
FINAL = ("accepted", "refused", "unknown")


class Writer(NamedTuple):
    """One side's tries: the current one, how many, and whether one may have run.

    `phase` is "idle", "queued", "writing" or, in the end, an answer.
    """

    phase: str = "idle"
    tries: int = 0
    may_have_run: bool = False


class State(NamedTuple):
    """All parts; `writes` are on their way: the side and the number of the try."""

    is_stored: bool = False
    is_owned: bool = True
    owner: Writer = Writer()
    member: Writer = Writer()
    writes: frozenset = frozenset()
    answer: str = ""


def list_steps(state, flags):
    """Return every step from a state."""
    steps = [
        *_list_calls(state, flags),
        *_list_writes(state, flags),
        *_list_terms(state, flags),
    ]
    return [(label, following) for label, following in steps if following != state]


def _list_calls(state, flags):
    """Yield the steps of the member that the caller reached."""
    owner, member = state.owner, state.member
    if owner.phase == "idle":
        queued = state._replace(owner=owner._replace(phase="queued"))
        yield "Owner.submit", queued
    if owner.phase == "queued" and state.is_owned:
        yield "PendingSubmissions.start_commit", _begin(state, "owner")
    if state.answer or member.phase == "writing" or owner.phase == "idle":
        return
    if member.phase in FINAL:
        yield f"Intake.accept answers {member.phase}", _answer(state, member.phase)
    elif owner.phase == "accepted":
        yield "Intake.accept answers accepted", _answer(state, "accepted")
    elif member.phase == "idle":
        # A call without an answer in time leaves open what became of the job.
        is_sure = owner.phase == "refused" or "a timeout is a refusal" in flags
        asked = member._replace(may_have_run=not is_sure)
        yield "Inserter.insert", _begin(state._replace(member=asked), "member")
        phase = "refused" if is_sure else "unknown"
        yield f"Intake._insert, slow store: {phase}", _answer(state, phase)


def _answer(state, phase):
    return state._replace(answer=phase)


def _begin(state, side):
    writer = getattr(state, side)
    writer = writer._replace(phase="writing", tries=writer.tries + 1)
    write = (side, writer.tries)
    return state._replace(**{side: writer}, writes=state.writes | {write})


def _list_writes(state, flags):
    for write in state.writes:
        side, number = write
        gone = state._replace(writes=state.writes - {write})
        writer = getattr(state, side)
        is_waiting = writer.phase == "writing" and writer.tries == number
        is_valid = side == "member" or state.is_owned
        carried = gone._replace(is_stored=True) if is_valid else gone
        if is_valid:
            yield f"the store carries out a write of the {side}", carried
            if is_waiting:
                yield (
                    f"the store answers the {side}",
                    _settle(carried, side, "accepted"),
                )
        elif not is_waiting:
            yield f"the store refuses a late write of the {side}", gone
        if is_waiting and is_valid:
            yield f"the store turns the {side} away", _fail(gone, side, flags, True)
    for side, name in _NAMES.items():
        if getattr(state, side).phase == "writing":
            yield f"{name} hears nothing", _fail(state, side, flags, False)
            if "accept before the row is stored" in flags:
                yield f"the {side} accepts early", _settle(state, side, "accepted")


_NAMES = {"owner": "BatchWriter._transact", "member": "Inserter._apply_failure"}


def _settle(state, side, phase):
    return state._replace(**{side: getattr(state, side)._replace(phase=phase)})


def _fail(state, side, flags, is_sure):
    """Note a failure; the last decides what the side answers."""
    writer = getattr(state, side)
    forgets = "forget a try without an answer" in flags
    may_have_run = (writer.may_have_run and not forgets) or not is_sure
    writer = writer._replace(may_have_run=may_have_run)
    state = state._replace(**{side: writer})
    if writer.tries < TRIES:
        return _begin(state, side)
    return _settle(state, side, "unknown" if may_have_run else "refused")


def _list_terms(state, flags):
    if not state.is_owned:
        return
    phase = state.owner.phase
    if phase == "queued":
        phase = "refused"
    elif phase == "writing":
        refuses = "refuse what is on its way" in flags
        phase = "refused" if refuses else "unknown"
    ended = state._replace(owner=state.owner._replace(phase=phase))
    # Whether the successor's claim comes before a write on its way is open.
    yield "PendingSubmissions.end_term", ended
    yield "Election._claim", ended._replace(is_owned=False)


_KEPT = "a job that was accepted is stored"
_TRUE = "a job that was refused never is"


def _is_true(state):
    may_be_stored = state.is_stored or any(
        side == "member" or state.is_owned for side, _ in state.writes
    )
    return state.answer != "refused" or not may_be_stored


SPEC = Spec(
    name="handins",
    title="Hand-in: accepted, refused or unknown",
    sizes="1 job, 1 owner and its loss, 1 member, 2 tries each",
    initial=State(),
    list_steps=list_steps,
    properties={
        _KEPT: lambda state: state.answer != "accepted" or state.is_stored,
        _TRUE: _is_true,
    },
    goal=lambda state: state.answer != "",
    actions={
        "Owner.submit": "cell/owner/owner.py",
        "PendingSubmissions.start_commit": "cell/owner/submissions.py",
        "PendingSubmissions.end_term": "cell/owner/submissions.py",
        "BatchWriter._transact": "cell/owner/commits.py",
        "Inserter.insert": "cell/members/insertion.py",
        "Inserter._apply_failure": "cell/members/insertion.py",
        "Intake.accept": "cell/members/intake.py",
        "Intake._insert": "cell/members/intake.py",
        "Election._claim": "cell/owner/election.py",
        "the store": "the platform's store",
        "the owner": "cell/owner/owner.py",
        "the member": "cell/members/intake.py",
    },
    outside=("the same job handed in at two members", "cancelling"),
    mutants=(
        Mutant(
            "a timeout is a refusal",
            _TRUE,
            "a call to the owner without an answer counts as refused",
        ),
        Mutant(
            "forget a try without an answer",
            _TRUE,
            "only the last try decides, though an earlier one may still take effect",
        ),
        Mutant(
            "refuse what is on its way",
            _TRUE,
            "an owner whose term ends refuses jobs whose transaction is on its way",
        ),
        Mutant(
            "accept before the row is stored",
            _KEPT,
            "a caller is answered while the write is on its way",
        ),
    ),
)
