"""All-at-once jobs: two jobs that each need the one place on each of two shards.

Each job has its own home. A home reserves on both shards, commits all assignments in
one transaction and then starts. Shard 0 and the home of job 0 may be taken over once;
reservations run out at any time, also while the commit is in flight; answers of the
table may be lost. A job ends only when all of it runs.
"""

from typing import NamedTuple

from .kit import MENDED, OPEN, RECOVERABLE, Mutant, Spec

SHARDS = (0, 1)
JOBS = (0, 1)


class Job(NamedTuple):
    """A job at its home; `epochs` are those of its reservations, 0 for none.

    Phases: idle, reserving, sent (the transaction is in flight), landed (it took
    effect, its answer is not yet read), committed, done.
    """

    phase: str = "idle"
    epochs: tuple = (0, 0)
    told: str = ""
    is_first_home: bool = True


class Shard(NamedTuple):
    """A shard: its epoch, the table's rows, the owner's entries, and the runs."""

    epoch: int = 1
    rows: frozenset = frozenset()
    entries: frozenset = frozenset()
    holds: frozenset = frozenset()
    running: frozenset = frozenset()


class State(NamedTuple):
    """Both jobs and both shards."""

    jobs: tuple = (Job(), Job(is_first_home=False))
    shards: tuple = (Shard(), Shard())
    is_partial: bool = False


def _set_job(state, number, **changes):
    jobs = list(state.jobs)
    jobs[number] = jobs[number]._replace(**changes)
    return state._replace(jobs=tuple(jobs))


def _set_shard(state, number, **changes):
    shards = list(state.shards)
    shards[number] = shards[number]._replace(**changes)
    return state._replace(shards=tuple(shards))


def list_steps(state, flags):
    """Return every step from a state."""
    steps = []
    for job in JOBS:
        steps += _list_home_steps(state, flags, job)
        for shard in SHARDS:
            steps += _list_shard_steps(state, flags, job, shard)
    if state.shards[0].epoch == 1:
        steps.append(_take_over(state, 0))
    return [(label, following) for label, following in steps if following != state]


def _list_home_steps(state, flags, number):
    job = state.jobs[number]
    if job.phase in ("idle", "reserving"):
        for shard in SHARDS:
            if not job.epochs[shard]:
                yield _reserve(state, flags, number, shard)
        if all(job.epochs):
            sent = _set_job(state, number, phase="sent")
            yield f"Home.commit_runs of job {number} sends", sent
    if job.phase == "sent":
        yield from _commit(state, flags, number)
    if job.phase == "landed":
        read = _set_job(state, number, phase="committed", told="accepted")
        yield f"Committer._interpret of job {number}: committed", read
    if job.is_first_home and job.phase != "done":
        yield _take_over_home(state, flags, number)
    if job.phase == "committed" and _is_whole(state, number):
        yield f"Home.record_reports of job {number}: over", _drop(state, number, "done")


def _is_whole(state, number):
    return all(number in shard.running for shard in state.shards)


def _drop(state, number, phase, only=SHARDS):
    """Take a job's rows, entries and runs from shards."""
    for shard in only:
        kept = state.shards[shard]
        state = _set_shard(
            state,
            shard,
            rows=kept.rows - {number},
            entries=kept.entries - {number},
            holds=kept.holds - {number},
            running=kept.running - {number},
        )
    return _set_job(state, number, phase=phase, epochs=(0, 0))


def _reserve(state, flags, number, shard):
    label = f"Shard.reserve on shard {shard} for job {number}"
    kept = state.shards[shard]
    if kept.entries:
        released = state
        for other in SHARDS:
            if state.jobs[number].epochs[other]:
                released = _release(released, number, other)
        return f"{label}: refused", _set_job(
            released, number, phase="idle", epochs=(0, 0)
        )
    job = state.jobs[number]
    epochs = tuple(
        kept.epoch if other == shard else job.epochs[other] for other in SHARDS
    )
    held = _set_shard(
        state,
        shard,
        entries=kept.entries | {number},
        holds=kept.holds | {number},
    )
    return label, _set_job(held, number, phase="reserving", epochs=epochs)


def _release(state, number, shard):
    kept = state.shards[shard]
    if number not in kept.holds:
        return state
    return _set_shard(
        state, shard, entries=kept.entries - {number}, holds=kept.holds - {number}
    )


def _commit(state, flags, number):
    label = f"Committer._send_until_answered of job {number}"
    epochs = state.jobs[number].epochs
    current = [state.shards[shard].epoch == epochs[shard] for shard in SHARDS]
    if "a transaction for each shard" in flags and any(current):
        landed = state
        for shard in SHARDS:
            if current[shard]:
                landed = _add_row(landed, number, shard)
        partial = not all(current)
        landed = landed._replace(is_partial=landed.is_partial or partial)
        yield f"{label}: takes effect", _set_job(landed, number, phase="landed")
    elif all(current) or "no epoch condition" in flags:
        landed = _add_row(_add_row(state, number, 0), number, 1)
        is_partial = state.is_partial or not all(current)
        landed = landed._replace(is_partial=is_partial)
        yield f"{label}: takes effect", _set_job(landed, number, phase="landed")
    else:
        released = _release(_release(state, number, 0), number, 1)
        yield (
            f"Dispatcher._commit of job {number} finds another epoch",
            _set_job(released, number, phase="idle", epochs=(0, 0)),
        )


def _add_row(state, number, shard):
    return _set_shard(state, shard, rows=state.shards[shard].rows | {number})


def _take_over_home(state, flags, number):
    """Fence the home's writer; its successor reads the rows."""
    job = state.jobs[number]
    told = job.told
    if job.phase == "landed":
        told = "not run" if "a fenced commit is not run" in flags else "unknown"
    phase = "committed" if job.phase in ("landed", "committed") else "idle"
    return (
        f"Committer._fence, Home.recover of job {number}",
        _set_job(
            state, number, phase=phase, epochs=(0, 0), told=told, is_first_home=False
        ),
    )


def _take_over(state, number):
    """Give a shard to a new owner, which reads the committed rows."""
    kept = state.shards[number]
    return (
        f"Claims._take_over, Shard.recover of shard {number}",
        _set_shard(state, number, epoch=2, entries=kept.rows, holds=frozenset()),
    )


def _list_shard_steps(state, flags, number, shard):
    kept = state.shards[shard]
    job = state.jobs[number]
    if number in kept.holds and "holds without a deadline" not in flags:
        yield (
            f"WorkerSession.check_deadlines on shard {shard} ends job {number}'s hold",
            _release(state, number, shard),
        )
    is_broken = job.phase == "committed" and number not in kept.rows
    if is_broken and not kept.entries:
        label = f"Dispatcher._place_job places the rest of job {number}"
        yield label, _start(_add_row(state, number, shard), number, shard)
    if number in kept.rows and number not in kept.running:
        if number in kept.entries - kept.holds:
            yield from _reconcile(state, flags, number, shard)
        elif job.phase == "committed":
            yield _start_run(state, flags, number, shard)


def _start(state, number, shard):
    kept = state.shards[shard]
    return _set_shard(
        state,
        shard,
        entries=kept.entries | {number},
        holds=kept.holds - {number},
        running=kept.running | {number},
    )


def _start_run(state, flags, number, shard):
    kept = state.shards[shard]
    if number in kept.holds:
        started = _start(state, number, shard)
        return f"Shard._start_run on shard {shard} for job {number}", started
    label = f"Shard._start_unreserved on shard {shard} for job {number}"
    if not kept.entries or "start without room" in flags:
        return label, _start(state, number, shard)
    return f"{label}: no room", _break(state, flags, number, shard)


def _reconcile(state, flags, number, shard):
    """Start a recovered run that the worker does not know, if there is room."""
    label = f"WorkerSession._reconcile on shard {shard} for job {number}"
    others = state.shards[shard].entries - {number}
    if not others or "start recovered runs without room" in flags:
        yield label, _start(state, number, shard)
    else:
        yield f"{label}: no room", _break(state, flags, number, shard)


def _break(state, flags, number, shard):
    """Unassign what does not fit, and the rest of its job with it."""
    if "keep the rest of a broken job" not in flags:
        return _drop(state, number, "idle")
    job = state.jobs[number]
    return _drop(state, number, job.phase, only=(shard,))


_CAPACITY = "no place is used twice"
_WHOLE = "a commit takes effect on all shards or none"
_TRUE = "what was said not to have run did not"


def _speaks_the_truth(state):
    return not any(
        job.told == "not run" and job.phase in ("committed", "done")
        for job in state.jobs
    )


SPEC = Spec(
    name="gangs",
    title="All-at-once jobs over two shards",
    sizes="2 jobs, 2 shards with 1 place each, 1 takeover of one shard and of one home",
    initial=State(),
    list_steps=list_steps,
    properties={
        _CAPACITY: lambda state: all(len(s.running) <= 1 for s in state.shards),
        _WHOLE: lambda state: not state.is_partial,
        _TRUE: _speaks_the_truth,
    },
    goal=lambda state: all(job.phase == "done" for job in state.jobs),
    actions={
        "Shard.reserve": "scheduler/shard.py",
        "Home.commit_runs": "scheduler/home.py",
        "Committer._send_until_answered": "platform/commits.py",
        "Committer._interpret": "platform/commits.py",
        "Committer._fence": "platform/commits.py",
        "Dispatcher._commit": "scheduler/dispatch.py",
        "Claims._take_over": "ownership/claims.py",
        "Shard._start_run": "scheduler/shard.py",
        "Shard._start_unreserved": "scheduler/shard.py",
        "WorkerSession._reconcile": "scheduler/sessions.py",
        "WorkerSession.check_deadlines": "scheduler/sessions.py",
    },
    outside=("placement", "the times of holds", "cancellation", "failed runs"),
    mutants=(
        Mutant("no epoch condition", _WHOLE, "the commit is not conditional on epochs"),
        Mutant("a transaction for each shard", _WHOLE, "each shard has its own commit"),
        Mutant(
            "a fenced commit is not run",
            _TRUE,
            "Committer._fence says `not run` of a transaction whose answer was lost",
            fault=MENDED,
        ),
        Mutant(
            "start without room",
            _CAPACITY,
            "Shard._start_unreserved does not look at the capacity left",
        ),
        Mutant(
            "start recovered runs without room",
            _CAPACITY,
            "a new owner starts every committed run that its worker does not know",
            fault=MENDED,
        ),
        Mutant(
            "keep the rest of a broken job",
            RECOVERABLE,
            "what does not fit waits while the rest of the job runs",
            fault=OPEN,
        ),
        Mutant(
            "holds without a deadline",
            RECOVERABLE,
            "reservations of a lost home never end",
        ),
    ),
)
