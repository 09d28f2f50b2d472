"""Run-once: one task, its home, and the owners of a shard.

Owner 0 holds epoch 1 and owner 1 takes over with epoch 2. Each attempt may be on
any worker. What an owner may conclude about a worker, and when, is the matter of
`specs.leases`: here a start takes effect at once, a former owner starts nothing
that its successor has asked the worker about, and a former owner may find a lease
lapsed that its successor has renewed. A pause or partition of an owner is that it
takes no step. The first attempt may be repeated once.
"""

from typing import NamedTuple

from .kit import MENDED, Mutant, Spec

ATTEMPTS = (1, 2)
ENDS = ("succeeded", "failed")
UNCOMMITTED = ("none", "reserved")


class Owner(NamedTuple):
    """One owner's shard with the phase of its entry of each attempt."""

    serving: bool = False
    releasing: bool = False
    phases: tuple = ("none", "none")


class State(NamedTuple):
    """All parts; `placing` is the epoch of a reservation whose commit is due.

    `starts` and `refusals` hold the attempt and epoch of `StartRuns` under way and
    of refused ones, `reports` attempt, end and epoch. `runs` holds what became of
    each attempt on its worker.
    """

    epoch: int = 1
    task: str = "waiting"
    attempt: int = 1
    placing: int = 0
    starts: frozenset = frozenset()
    refusals: frozenset = frozenset()
    reports: frozenset = frozenset()
    owners: tuple = (Owner(serving=True), Owner())
    runs: tuple = ("none", "none")
    restarts: int = 1
    is_double: bool = False
    ends: int = 0


def _replace_at(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _change(state, number, **changes):
    owner = state.owners[number]._replace(**changes)
    return state._replace(owners=_replace_at(state.owners, number, owner))


def _enter(state, number, attempt, phase):
    phases = _replace_at(state.owners[number].phases, attempt - 1, phase)
    return _change(state, number, phases=phases)


def _is_assigned(state, attempt):
    return state.task == "assigned" and state.attempt == attempt


def list_steps(state, flags):
    """Return every step from a state."""
    steps = [*_list_home_steps(state, flags), *_list_claim_steps(state, flags)]
    for number, owner in enumerate(state.owners):
        if owner.serving:
            steps += _list_shard_steps(state, flags, number, owner)
    steps += _list_worker_steps(state)
    return [(label, following) for label, following in steps if following != state]


def _list_home_steps(state, flags):
    if state.task == "waiting" and not state.placing:
        for number, owner in enumerate(state.owners):
            is_open = owner.serving and not owner.releasing
            if is_open and owner.phases[state.attempt - 1] == "none":
                placed = state._replace(placing=number + 1)
                yield (
                    f"Shard.reserve of owner {number}, attempt {state.attempt}",
                    _enter(placed, number, state.attempt, "reserved"),
                )
    if state.placing:
        yield _commit_runs(state, flags)
    for refusal in state.refusals:
        yield _unassign(state, flags, refusal)
    for report in state.reports:
        yield _record_reports(state, flags, report)


def _commit_runs(state, flags):
    epoch = state.placing
    if epoch != state.epoch and "no epoch condition" not in flags:
        return "Dispatcher._commit finds another epoch", state._replace(placing=0)
    return f"Home.commit_runs, attempt {state.attempt}", state._replace(
        placing=0, task="assigned", starts=state.starts | {(state.attempt, epoch)}
    )


def _unassign(state, flags, refusal):
    attempt, epoch = refusal
    done = state._replace(refusals=state.refusals - {refusal})
    is_current = epoch == state.epoch or "refusals of former owners" in flags
    if not _is_assigned(state, attempt) and "end whatever is assigned" not in flags:
        return "Home.unassign finds it settled", done
    if not is_current:
        return "Home.unassign ignores a former owner", done
    return f"Home.unassign, attempt {attempt}", _end(done, "lapsed")


def _record_reports(state, flags, report):
    attempt, kind, epoch = report
    done = state._replace(reports=state.reports - {report})
    if epoch != state.epoch and "reports of former owners" not in flags:
        return "Home.record_reports refuses a former owner", done
    if done.owners[epoch - 1].serving:
        done = _enter(done, epoch - 1, attempt, "settled")
    if not _is_assigned(state, attempt):
        return f"Home.record_reports finds attempt {attempt} settled", done
    return f"Home.record_reports, attempt {attempt}: {kind}", _end(done, kind)


def _end(state, kind):
    """Record the end of the task's attempt."""
    if kind != "succeeded" and state.attempt < len(ATTEMPTS):
        is_over = state.task == "ended"
        return state._replace(
            task="waiting", attempt=state.attempt + 1, ends=state.ends + is_over
        )
    return state._replace(task="ended", ends=min(2, state.ends + 1))


def _list_claim_steps(state, flags):
    if state.epoch == 2:
        if not state.owners[1].serving:
            yield "Shard.recover of owner 1", _recover(state, flags)
        if state.owners[0].serving:
            stopped = _change(state, 0, serving=False, phases=("none", "none"))
            yield "Partitions._stop_lost of owner 0", stopped
        return
    yield "Claims._take_over by owner 1", state._replace(epoch=2)
    if state.owners[0].releasing:
        yield "Claims._hand_over by owner 0", state._replace(epoch=2)
    else:
        yield "Shard.release of owner 0", _change(state, 0, releasing=True)


def _recover(state, flags):
    recovered = _change(state, 1, serving=True)
    if state.task != "assigned" or "recover without rows" in flags:
        return recovered
    return _enter(recovered, 1, state.attempt, "recovered")


def _list_shard_steps(state, flags, number, owner):
    for message in state.starts:
        attempt, epoch = message
        if number + 1 >= epoch or "start at a former owner" in flags:
            yield from _start_run(state, flags, number, attempt, epoch)
    for attempt in ATTEMPTS:
        phase = owner.phases[attempt - 1]
        of = f"of owner {number}, attempt {attempt}"
        if phase == "reserved":
            ended = _enter(state, number, attempt, "none")
            yield f"WorkerSession.check_deadlines {of}: reservation over", ended
        if phase in ("starting", "recovered") and not _is_refused(
            state, number, attempt
        ):
            started = _enter(state, number, attempt, "running")
            yield f"apply_items.make_start {of}", _apply(started, attempt)
        end = state.runs[attempt - 1]
        if phase == "running" and end in ENDS:
            seen = _enter(state, number, attempt, end)
            yield f"WorkerSession._handle_watch_reply {of}: {end}", seen
        if phase == "running" and end == "none":
            ended = _enter(state, number, attempt, "failed")
            yield f"WorkerSession._reconcile {of}: the worker has restarted", ended
        if phase in ("starting", "running") and number + 1 < state.epoch:
            ended = _enter(state, number, attempt, "failed")
            yield f"WorkerSession._check_lease {of}: gives up", ended
        if phase in ENDS:
            report = (attempt, phase, number + 1)
            sent = state._replace(reports=state.reports | {report})
            yield f"Exchange._report {of}: {phase}", sent


def _start_run(state, flags, number, attempt, epoch):
    """Answer a `StartRuns`; its answer may be lost, so that it comes again."""
    owner = state.owners[number]
    phase = owner.phases[attempt - 1]
    of = f"of owner {number}, attempt {attempt}"
    answered = state._replace(starts=state.starts - {(attempt, epoch)})
    refused = answered._replace(refusals=state.refusals | {(attempt, number + 1)})
    if phase == "settled":
        yield f"Shard._start_run {of}: over", refused
    elif phase not in UNCOMMITTED:
        yield f"Shard._start_run {of}: known", answered
    elif phase == "reserved" and epoch == number + 1 and not owner.releasing:
        started = _enter(state, number, attempt, "starting")
        yield f"Shard._start_run {of}; answer lost", started
        yield f"Shard._start_run {of}", started._replace(starts=answered.starts)
    elif "start without table check" in flags:
        yield f"Shard._start_run {of}", _enter(answered, number, attempt, "starting")
    elif not _is_assigned(state, attempt):
        settled = _enter(refused, number, attempt, "settled")
        yield f"Shard._start_unreserved {of}: not in the table", settled
    else:
        settled = _enter(refused, number, attempt, "settled")
        yield f"Shard._start_unreserved {of}: no room", settled
        if not owner.releasing:
            started = _enter(answered, number, attempt, "starting")
            yield f"Shard._start_unreserved {of}", started


def _apply(state, attempt):
    """Start an attempt where its worker does not know it yet."""
    if state.runs[attempt - 1] != "none":
        return state
    is_double = state.is_double or "running" in state.runs
    runs = _replace_at(state.runs, attempt - 1, "running")
    return state._replace(runs=runs, is_double=is_double)


def _is_refused(state, number, attempt):
    """Return whether a later owner has called the worker of an attempt."""
    later = [owner.phases[attempt - 1] for owner in state.owners[number + 1 :]]
    return any(phase in ("running", "settled", *ENDS) for phase in later)


def _list_worker_steps(state):
    if state.restarts and state.runs != ("none", "none"):
        for attempt in ATTEMPTS:
            runs = _replace_at(state.runs, attempt - 1, "none")
            restarted = state._replace(runs=runs, restarts=0)
            yield f"worker of attempt {attempt} restarts", restarted
    for attempt in ATTEMPTS:
        if state.runs[attempt - 1] == "running":
            for end in ENDS:
                runs = _replace_at(state.runs, attempt - 1, end)
                yield f"worker ends attempt {attempt}: {end}", state._replace(runs=runs)


_ONE_PLACE = "a task runs in one place"
_ONE_END = "a task's end is recorded once"

SPEC = Spec(
    name="runs",
    title="Run-once: home, owners and workers",
    sizes="1 task, 2 attempts on any workers, 1 shard, 2 owners",
    initial=State(),
    list_steps=list_steps,
    properties={
        _ONE_PLACE: lambda state: not state.is_double,
        _ONE_END: lambda state: state.ends <= (state.task == "ended"),
    },
    goal=lambda state: state.task == "ended",
    actions={
        "Shard.reserve": "scheduler/shard.py",
        "Dispatcher._commit": "scheduler/dispatch.py",
        "Home.commit_runs": "scheduler/home.py",
        "Home.unassign": "scheduler/home.py",
        "Home.record_reports": "scheduler/home.py",
        "Shard.recover": "scheduler/shard.py",
        "Shard.release": "scheduler/shard.py",
        "Partitions._stop_lost": "scheduler/partitions.py",
        "Claims._take_over": "ownership/claims.py",
        "Claims._hand_over": "ownership/claims.py",
        "Shard._start_run": "scheduler/shard.py",
        "Shard._start_unreserved": "scheduler/shard.py",
        "WorkerSession.check_deadlines": "scheduler/sessions.py",
        "apply_items.make_start": "scheduler/apply_items.py",
        "WorkerSession._handle_watch_reply": "scheduler/sessions.py",
        "WorkerSession._reconcile": "scheduler/sessions.py",
        "WorkerSession._check_lease": "scheduler/sessions.py",
        "Exchange._report": "scheduler/exchange.py",
    },
    outside=("capacity", "cancellation", "a change of the home's owner", "leases"),
    mutants=(
        Mutant(
            "no epoch condition",
            _ONE_PLACE,
            "Home.commit_runs does not check the ownership row",
        ),
        Mutant(
            "end whatever is assigned",
            _ONE_END,
            "Home.unassign ends the task's attempt, whichever was refused",
            fault=MENDED,
        ),
        Mutant(
            "refusals of former owners",
            _ONE_PLACE,
            "Home.unassign believes an owner whose shard was taken over",
            fault=MENDED,
        ),
        Mutant(
            "reports of former owners",
            _ONE_PLACE,
            "Home.record_reports believes an owner whose shard was taken over",
            fault=MENDED,
        ),
        Mutant(
            "recover without rows",
            _ONE_PLACE,
            "a new owner does not read the committed assignments",
        ),
        Mutant(
            "start without table check",
            _ONE_PLACE,
            "a start without a reservation is not checked against the table",
        ),
        Mutant(
            "start at a former owner",
            "every state can reach the goal",
            "a start is sent to an owner older than its commit",
        ),
    ),
)
