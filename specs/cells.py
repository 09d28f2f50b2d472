"""Owned cell: one task, its stored progress, the owners of the cell and two workers.

Owner n holds epoch n; an owner that stops taking steps is frozen, cut off or dead, and
all owners are lost at once where each claim follows before the last one did anything.
Each run may go to either worker. A transaction carries the version of the owner's row
that its owner knew, so the store carries out at most one of those that follow a
version; it and an order to a worker may take effect at any later time, with or without
an answer. Leases are the matter of `specs.leases`.
"""

from typing import NamedTuple

from .kit import Mutant, Spec

EPOCHS = (1, 2, 3)
RUNS = (1, 2)
WORKERS = (0, 1)


class Progress(NamedTuple):
    """Progress of the task: its latest run, where, and its phase."""

    run: int = 0
    worker: int = 0
    phase: str = "waiting"


class Owner(NamedTuple):
    """What an owner knows, and the version of its row.

    `writing` is the progress of its transaction on the way, `synced` the workers that
    were asked under its fence.
    """

    known: Progress
    version: int = 0
    writing: Progress | None = None
    synced: frozenset = frozenset()


class Worker(NamedTuple):
    """A worker's fence, its latest run, and what became of that."""

    fence: int = 0
    run: int = 0
    what: str = "none"


class State(NamedTuple):
    """All parts; `row` is the epoch and version of the owner's row.

    `writes` and `starts` are on their way, with the epoch of their owner.
    """

    row: tuple = (1, 0)
    stored: Progress = Progress()
    owners: tuple = (Owner(Progress()), None, None)
    writes: frozenset = frozenset()
    starts: frozenset = frozenset()
    workers: tuple = (Worker(), Worker())
    is_double: bool = False
    is_late: bool = False


def _replace_at(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _change(state, epoch, **changes):
    owner = state.owners[epoch - 1]._replace(**changes)
    return state._replace(owners=_replace_at(state.owners, epoch - 1, owner))


def _set_phase(state, epoch, phase):
    known = state.owners[epoch - 1].known._replace(phase=phase)
    return _change(state, epoch, known=known)


def _set_worker(state, number, **changes):
    worker = state.workers[number]._replace(**changes)
    return state._replace(workers=_replace_at(state.workers, number, worker))


def _depose(state, epoch):
    return state._replace(owners=_replace_at(state.owners, epoch - 1, None))


def list_steps(state, flags):
    """Return every step from a state."""
    steps = [*_list_store_steps(state, flags), *_list_worker_steps(state, flags)]
    for epoch in EPOCHS:
        if state.owners[epoch - 1] is not None:
            steps += _list_owner_steps(state, flags, epoch)
    steps += _list_claims(state)
    return [(label, following) for label, following in steps if following != state]


def _list_store_steps(state, flags):
    for write in state.writes:
        epoch, version, progress = write
        carried = state._replace(writes=state.writes - {write})
        is_current = state.row == (epoch, version)
        if not is_current and "no condition on the owner's row" not in flags:
            yield f"the store refuses a write of owner {epoch}", carried
            continue
        row = (state.row[0], version + 1) if is_current else state.row
        carried = carried._replace(row=row, stored=progress)
        yield f"the store carries out a write of owner {epoch}", carried
        owner = state.owners[epoch - 1]
        if owner is not None and owner.writing == progress:
            yield (
                f"BatchWriter._accept, owner {epoch}: {progress.phase}",
                _settle(carried, epoch, version + 1),
            )


def _settle(state, epoch, version):
    """Note at an owner that its write took effect."""
    written = state.owners[epoch - 1].writing
    phase = {"placed": "may start", "done": "done"}[written.phase]
    known = written._replace(phase=phase)
    return _change(state, epoch, known=known, writing=None, version=version)


def _list_owner_steps(state, flags, epoch):
    owner = state.owners[epoch - 1]
    run, worker, phase = owner.known
    forgets_early = "acknowledge before the row is stored" in flags
    if phase == "done" or (phase == "ended" and forgets_early):
        yield from _list_acknowledgements(state, epoch, owner)
    if owner.writing:
        yield from _list_probes(state, epoch, owner)
    elif run and worker not in owner.synced:
        yield from _synchronize(state, flags, epoch, owner)
    elif phase == "waiting" and run < len(RUNS):
        for number in WORKERS:
            yield _plan(state, flags, epoch, Progress(run + 1, number, "placed"))
    elif phase == "may start":
        started = state._replace(starts=state.starts | {(epoch, run, worker)})
        yield (
            f"Dispatcher._send_start, owner {epoch}: run {run}",
            _set_phase(started, epoch, "sent"),
        )
    elif phase in ("sent", "running"):
        yield from _list_looks(state, flags, epoch, owner)
    elif phase == "ended":
        done = owner.known._replace(phase="done")
        yield f"Engine.collect, owner {epoch}: done", _write(state, epoch, done)


def _list_acknowledgements(state, epoch, owner):
    worker = state.workers[owner.known.worker]
    if (worker.run, worker.what) == (owner.known.run, "done"):
        forgotten = _set_worker(state, owner.known.worker, what="forgotten")
        yield f"Engine.acknowledge_ends, owner {epoch}", forgotten


def _plan(state, flags, epoch, placed):
    label = f"Engine.plan, owner {epoch}: run {placed.run} on worker {placed.worker}"
    if "start before the placement is stored" not in flags:
        return label, _write(state, epoch, placed)
    return label, _change(state, epoch, known=placed._replace(phase="may start"))


def _write(state, epoch, progress):
    write = (epoch, state.owners[epoch - 1].version, progress)
    state = state._replace(writes=state.writes | {write})
    return _change(state, epoch, writing=progress)


def _list_probes(state, epoch, owner):
    """Yield what a read of the owner's row tells of a write without an answer."""
    if state.row[0] != epoch:
        yield f"BatchWriter._probe, owner {epoch}: deposed", _depose(state, epoch)
    elif state.row[1] > owner.version:
        settled = _settle(state, epoch, state.row[1])
        yield f"BatchWriter._probe, owner {epoch}: stored", settled
    else:
        write = (epoch, owner.version, owner.writing)
        again = state._replace(writes=state.writes | {write})
        yield f"BatchWriter._write_chunk, owner {epoch}: again", again


def _synchronize(state, flags, epoch, owner):
    """Yield the first list that a worker gives to an owner."""
    run, number, phase = owner.known
    worker = state.workers[number]
    if worker.fence > epoch:
        yield f"Owner.depose, owner {epoch}: fenced", _depose(state, epoch)
        return
    seen = _change(state, epoch, synced=owner.synced | {number})
    if "conclude without a fence" not in flags:
        seen = _set_worker(seen, number, fence=epoch)
    if phase == "sent":
        listed = worker.what if worker.run == run else "none"
        phase = {"running": "running", "done": "ended"}.get(listed, "waiting")
        seen = _set_phase(seen, epoch, phase)
    yield f"RunTracker.apply_listing, owner {epoch}: first, {phase}", seen


def _list_looks(state, flags, epoch, owner):
    run, number, phase = owner.known
    worker = state.workers[number]
    if worker.fence > epoch:
        yield f"Owner.depose, owner {epoch}: fenced", _depose(state, epoch)
    elif (worker.run, worker.what) == (run, "done"):
        ended = _set_phase(state, epoch, "ended")
        yield f"RunTracker.apply_listing, owner {epoch}: run {run} done", ended
    elif phase == "sent" and run < len(RUNS):
        # The answer to the start was lost: the run may be there, or come later.
        stopped = _set_phase(state, epoch, "waiting")
        if "second run without a stop" not in flags:
            stopped = _set_worker(stopped, number, fence=epoch, run=run, what="stopped")
        yield f"RunControl.confirm_stop, owner {epoch}: run {run}", stopped


def _list_worker_steps(state, flags):
    for start in state.starts:
        epoch, run, number = start
        worker = state.workers[number]
        taken = state._replace(starts=state.starts - {start})
        is_fenced = epoch < worker.fence and "workers without fences" not in flags
        if is_fenced or run <= worker.run:
            yield f"the worker refuses run {run} of owner {epoch}", taken
            continue
        fence = max(epoch, worker.fence)
        is_running = any(other.what == "running" for other in state.workers)
        taken = taken._replace(
            is_double=state.is_double or is_running,
            is_late=state.is_late or state.stored.phase == "done",
        )
        yield (
            f"the worker starts run {run} of owner {epoch}",
            _set_worker(taken, number, fence=fence, run=run, what="running"),
        )
    for number in WORKERS:
        if state.workers[number].what == "running":
            ended = _set_worker(state, number, what="done")
            yield f"the worker ends run {state.workers[number].run}", ended


def _list_claims(state):
    epoch = state.row[0] + 1
    if epoch not in EPOCHS:
        return
    known = state.stored
    if known.phase == "placed":
        # What was placed may be there: only the worker can tell.
        known = known._replace(phase="sent")
    row = (epoch, state.row[1] + 1)
    owners = _replace_at(state.owners, epoch - 1, Owner(known, row[1]))
    yield (
        f"Election._claim and JobLoader.load, owner {epoch}: run {known.run}",
        state._replace(row=row, owners=owners),
    )


_ONE_RUN = "a task runs once at a time"
_NO_LATE_RUN = "nothing starts once the end is stored"
_KEPT_END = "an end that a worker forgot is stored"


def _keeps_ends(state):
    is_forgotten = any(worker.what == "forgotten" for worker in state.workers)
    return state.stored.phase == "done" or not is_forgotten


SPEC = Spec(
    name="cells",
    title="Owned cell: stored progress, fences and late orders",
    sizes="1 task, 2 runs on any of 2 workers, 3 owners, late writes and starts",
    initial=State(),
    list_steps=list_steps,
    properties={
        _ONE_RUN: lambda state: not state.is_double,
        _NO_LATE_RUN: lambda state: not state.is_late,
        _KEPT_END: _keeps_ends,
    },
    goal=lambda state: state.stored.phase == "done" or state.row[0] == EPOCHS[-1],
    actions={
        "Engine.plan": "cell/owner/engine.py",
        "Engine.collect": "cell/owner/batches.py",
        "Engine.acknowledge_ends": "cell/owner/batches.py",
        "BatchWriter._accept": "cell/owner/commits.py",
        "BatchWriter._probe": "cell/owner/commits.py",
        "BatchWriter._write_chunk": "cell/owner/commits.py",
        "Dispatcher._send_start": "cell/owner/dispatch.py",
        "RunTracker.apply_listing": "cell/owner/run_tracking.py",
        "RunControl.confirm_stop": "cell/owner/run_control.py",
        "Owner.depose": "cell/owner/owner.py",
        "Election._claim": "cell/owner/election.py",
        "the store": "the platform's store",
    },
    outside=(
        "leases and lives of workers",
        "gangs",
        "room and limits",
        "more than two runs of a task",
    ),
    mutants=(
        Mutant(
            "workers without fences",
            _ONE_RUN,
            "a worker carries out a start of a former owner that comes late",
        ),
        Mutant(
            "conclude without a fence",
            _ONE_RUN,
            "a new owner goes by a list that was asked for without its fence",
        ),
        Mutant(
            "second run without a stop",
            _ONE_RUN,
            "a start without an answer is followed by the next run at once",
        ),
        Mutant(
            "start before the placement is stored",
            _ONE_RUN,
            "a start is sent before its row is stored, so a new owner knows nothing",
        ),
        Mutant(
            "no condition on the owner's row",
            _ONE_RUN,
            "a late write of a former owner overwrites the progress",
        ),
        Mutant(
            "acknowledge before the row is stored",
            _KEPT_END,
            "a worker forgets an end that only the owner's memory holds",
        ),
    ),
)
