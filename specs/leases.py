"""Leases: when an owner may conclude that an attempt does not run on a worker.

A former owner, which may start and renew the run as far as its authority reaches,
loses the shard to a new one, which finds the run in the table. Or the owner is the
first and has just been told to start the run. The worker honours epochs or does not.
Time passes in ticks, the same for all clocks; a pause or a partition is that a party
takes no step, or none with the table. Messages may be late or lost; a start without
an answer is sent again. Once the owner's conclusion is recorded (`over`), the task
may run elsewhere, so the attempt must not.
"""

from typing import NamedTuple

from .kit import MENDED, Mutant, Spec

LEASE_TICKS = 1
WINDOW_TICKS = 1
TASK_LEASE_TICKS = 2
GRANT_TICKS = 2
MAX_MESSAGES = 2
FORMER, OWNER = 1, 2


class State(NamedTuple):
    """All parts; times are ticks left.

    `phase` to `reply` are the owner's entry and session: `unanswered` counts the
    starts that the worker may yet act on, `boot` is the worker's known boot and
    `reply` an answer to a watch under way: whether it was the first of a boot, the
    boot, what it tells, the lease, and whether no start could take effect any more
    when the worker answered. `messages` holds sender, time to `start_before`, lease
    and number of each start under way.
    """

    honours: bool | None = None
    has_former: bool = True
    grant: int = GRANT_TICKS
    lease: int = LEASE_TICKS
    wait: int = 0
    phase: str = "none"
    start_before: int = 0
    held: int = 0
    unanswered: int = 0
    is_inherited: bool = False
    is_stopping: bool = False
    boot: int = -1
    reply: tuple = ()
    messages: frozenset = frozenset()
    running: int = 0
    known: bool = False
    worker_boot: int = 0
    seen: int = FORMER
    over: bool = False
    is_stale: bool = False


def list_steps(state, flags):
    """Return every step from a state."""
    if state.honours is None:
        return list(_list_settings(state))
    if state.over and state.running:
        return []
    steps = [*_list_worker_steps(state, flags)]
    if state.has_former:
        steps += _list_former_steps(state, flags)
    if state.phase in ("recovered", "starting", "running"):
        steps += _list_session_steps(state, flags)
    if state.phase == "ended":
        steps.append(("Home.record_reports", _forget(state._replace(over=True))))
    steps.append(("tick", _tick(state, flags)))
    return [(label, following) for label, following in steps if following != state]


def _list_settings(state):
    """Return the first steps, which choose the worker's and the owner's kind."""
    for honours in (True, False):
        of = "honours epochs" if honours else "does not honour epochs"
        chosen = state._replace(honours=honours)
        yield f"the worker {of}; there is a former owner", chosen
        first = chosen._replace(has_former=False, phase="starting", boot=0)
        yield f"the worker {of}; the owner is the first", first


def _forget(state):
    """Drop the owner's entry once its end is recorded."""
    return state._replace(
        phase="none",
        start_before=0,
        held=0,
        unanswered=0,
        is_stopping=False,
        boot=-1,
        reply=(),
        wait=0,
    )


def _list_former_steps(state, flags):
    """Return what a former owner does; its own conclusions count no more."""
    if state.phase == "none" and not state.over:
        renewed = state._replace(lease=LEASE_TICKS, grant=GRANT_TICKS)
        yield "Member._renew_lease of the former owner", renewed
        if state.lease == 0:
            yield "Claims._take_over, Shard.recover", _recover(state, flags)
        yield "Claims._hand_over, Shard.recover", _recover(state, flags)
    else:
        stopped = state._replace(has_former=False, lease=0, grant=0)
        yield "Partitions._stop_lost of the former owner", stopped
    limit = state.grant if state.honours else state.lease
    window = min(WINDOW_TICKS, limit)
    if "start_before beyond the lease" in flags:
        window = WINDOW_TICKS
    if window and len(state.messages) < MAX_MESSAGES:
        yield (
            "apply_items.make_start of the former owner",
            _send_start(state, FORMER, window),
        )
    if state.grant and state.running and not _refuses(state, flags, FORMER):
        renewed = state._replace(running=TASK_LEASE_TICKS)
        yield "apply_items.make_renewal of the former owner", renewed


def _recover(state, flags):
    wait = GRANT_TICKS + TASK_LEASE_TICKS
    if "grant beyond the new owner's wait" in flags:
        wait = 0
    # A worker that honours epochs is asked first, which fences the former owner.
    is_blind = state.honours or "forget former start messages" in flags
    return state._replace(
        phase="recovered",
        is_inherited=True,
        wait=wait,
        unanswered=0 if is_blind else 1,
        start_before=0 if is_blind else WINDOW_TICKS,
    )


def _send_start(state, sender, window):
    number = max((message[3] for message in state.messages), default=-1) + 1
    message = (sender, window, TASK_LEASE_TICKS, number % MAX_MESSAGES)
    return state._replace(messages=state.messages | {message})


def _refuses(state, flags, epoch):
    is_older = state.seen > epoch
    return state.honours and is_older and "epochs not passed on" not in flags


def _list_session_steps(state, flags):
    is_reconciled = state.boot >= 0
    is_starting = state.phase == "starting" and not state.is_stopping
    if is_starting and is_reconciled and len(state.messages) < MAX_MESSAGES:
        yield "apply_items.make_start", _make_start(state)
    if state.phase == "running":
        granted = state._replace(held=TASK_LEASE_TICKS)
        yield "apply_items.make_renewal is lost", granted
        if state.running:
            renewed = granted._replace(running=TASK_LEASE_TICKS)
            yield "apply_items.make_renewal", renewed
    yield _take_watch(state, flags) if state.reply else _watch(state)
    yield from _check_lease(state, flags)
    if not state.is_stopping:
        yield "WorkerSession.request_stop", _request_stop(state)
    elif is_reconciled:
        yield "WorkerSession._handle_stop_reply", _take_stop(state, flags)


def _make_start(state):
    sent = _send_start(state, OWNER, WINDOW_TICKS)
    return sent._replace(
        start_before=WINDOW_TICKS,
        held=TASK_LEASE_TICKS,
        unanswered=min(2, state.unanswered + 1),
        reply=(*state.reply[:-1], False) if state.reply else (),
    )


def _watch(state):
    """Ask the worker, which also fences the former owner there."""
    found = "running" if state.running else "ended" if state.known else "absent"
    is_settled = not (state.unanswered and state.start_before)
    reply = (state.boot < 0, state.worker_boot, found, state.running, is_settled)
    return (
        "WorkerSession._run_watch_loop",
        state._replace(seen=OWNER, reply=reply),
    )


def _take_watch(state, flags):
    is_first, boot, found, lease, is_settled = state.reply
    if "judge starts when the answer comes" in flags:
        is_settled = not (state.unanswered and state.start_before)
    label = f"WorkerSession._handle_watch_reply: {found}"
    taken = state._replace(reply=(), boot=boot)
    if not is_first and boot != state.boot:
        return f"{label}, another boot", taken._replace(boot=-1)
    if found == "running":
        return label, taken._replace(phase="running", held=max(state.held, lease))
    if not is_settled and "end before start_before" not in flags:
        return f"{label}, looks again", taken
    if found == "ended":
        return label, taken._replace(phase="ended")
    if is_first and state.phase == "running":
        return f"{label}, has restarted", taken._replace(phase="ended")
    if is_first and state.phase == "recovered":
        return f"{label}, starts it", taken._replace(phase="starting", held=0)
    return label, taken


def _check_lease(state, flags):
    """Give up on a run of a worker that cannot be reached."""
    if state.held or state.start_before:
        return
    has_lapsed = state.phase == "running"
    if state.is_inherited:
        trusts = state.honours or "trust a lease read from the worker" in flags
        is_bound = state.phase == "recovered" or not trusts
        has_lapsed = not (is_bound and state.wait)
        has_lapsed = has_lapsed or "no lease known is no lease" in flags
    if has_lapsed:
        yield "WorkerSession._check_lease gives up", state._replace(phase="ended")


def _request_stop(state):
    is_unsent = state.phase == "starting" and not state.unanswered
    if is_unsent and not state.start_before and not state.held:
        return state._replace(phase="ended")
    return state._replace(is_stopping=True)


def _take_stop(state, flags):
    stopped = state._replace(
        running=0, known=state.known or bool(state.running), seen=OWNER
    )
    is_open = state.start_before and "end before start_before" not in flags
    if state.phase == "starting" and not is_open:
        return stopped._replace(phase="ended")
    return stopped


def _list_worker_steps(state, flags):
    for message in state.messages:
        yield from _apply(state, flags, message)
    if state.running:
        yield "worker ends the run", state._replace(running=0, known=True)
    if not state.worker_boot and (state.running or state.known):
        restarted = state._replace(running=0, known=False, worker_boot=1)
        if "worker forgets epochs" in flags:
            restarted = restarted._replace(seen=0)
        yield "worker restarts", restarted


def _apply(state, flags, message):
    sender, _, lease, _ = message
    whose = "the owner" if sender == OWNER else "the former owner"
    taken = state._replace(messages=state.messages - {message})
    if _refuses(state, flags, sender):
        yield f"worker refuses a start of {whose}", taken
        return
    started = taken._replace(seen=max(state.seen, sender))
    if not state.running and not state.known:
        is_stale = state.honours and state.seen > sender
        started = started._replace(running=lease, is_stale=is_stale)
    yield f"worker takes a start of {whose}; answer lost", started
    if sender == OWNER and state.phase == "starting":
        answered = started._replace(
            phase="running", unanswered=max(0, state.unanswered - 1)
        )
        yield f"worker takes a start of {whose}", answered


def _tick(state, flags):
    """Let a tick pass: leases and windows run down, late starts are refused."""
    passed = 0 if "worker ignores start_before" in flags else 1
    return state._replace(
        lease=max(0, state.lease - 1),
        grant=max(0, state.grant - 1),
        wait=max(0, state.wait - 1),
        start_before=max(0, state.start_before - 1),
        held=max(0, state.held - 1),
        messages=frozenset(
            (sender, window - passed, max(1, lease - 1), number)
            for sender, window, lease, number in state.messages
            if window > passed
        ),
        running=max(0, state.running - 1),
        known=state.known or state.running == 1,
    )


_GONE = "an attempt that is over does not run"
_STALE = "a worker that honours epochs starts nothing of a fenced owner"

SPEC = Spec(
    name="leases",
    title="Leases, late starts and fenced owners",
    sizes=(
        "1 run on 1 worker (honouring epochs or not), a former owner or none, 1 owner, "
        "1 restart, 2 starts and 1 answer to a watch under way; ticks: lease "
        f"{LEASE_TICKS}, start window {WINDOW_TICKS}, task lease {TASK_LEASE_TICKS}, "
        f"outage grant {GRANT_TICKS}"
    ),
    initial=State(),
    list_steps=list_steps,
    properties={
        _GONE: lambda state: not (state.over and state.running),
        _STALE: lambda state: not state.is_stale,
    },
    goal=lambda state: state.over,
    actions={
        "Member._renew_lease": "ownership/member.py",
        "Claims._take_over": "ownership/claims.py",
        "Claims._hand_over": "ownership/claims.py",
        "Shard.recover": "scheduler/shard.py",
        "Partitions._stop_lost": "scheduler/partitions.py",
        "apply_items.make_start": "scheduler/apply_items.py",
        "apply_items.make_renewal": "scheduler/apply_items.py",
        "WorkerSession._run_watch_loop": "scheduler/sessions.py",
        "WorkerSession._handle_watch_reply": "scheduler/sessions.py",
        "WorkerSession._check_lease": "scheduler/sessions.py",
        "WorkerSession.request_stop": "scheduler/sessions.py",
        "WorkerSession._handle_stop_reply": "scheduler/sessions.py",
        "Home.record_reports": "scheduler/home.py",
    },
    outside=(
        "differences between clock rates",
        "workers that the platform removed",
        "a second takeover",
    ),
    mutants=(
        Mutant(
            "grant beyond the new owner's wait",
            _GONE,
            "the former owner may renew for longer than the new one waits",
        ),
        Mutant(
            "forget former start messages",
            _GONE,
            "a new owner takes it that no start of the former one is under way",
            fault=MENDED,
        ),
        Mutant(
            "start_before beyond the lease",
            _GONE,
            "starts may be acted on after the former owner's authority has ended",
        ),
        Mutant(
            "epochs not passed on",
            _STALE,
            "calls to a worker that honours epochs carry none",
        ),
        Mutant(
            "judge starts when the answer comes",
            _GONE,
            "an answer to a watch ends a run that was started meanwhile",
            fault=MENDED,
        ),
        Mutant(
            "end before start_before",
            _GONE,
            "a run ends although a start sent earlier may still take effect",
            fault=MENDED,
        ),
        Mutant(
            "trust a lease read from the worker",
            _GONE,
            "a new owner forgets that the former one may renew without epochs",
            fault=MENDED,
        ),
        Mutant(
            "no lease known is no lease",
            _GONE,
            "a run whose lease the new owner does not know counts as lapsed",
        ),
        Mutant(
            "worker forgets epochs",
            _GONE,
            "a worker forgets epochs when it restarts, as the stand-in does",
        ),
        Mutant("worker ignores start_before", _GONE, "a worker acts on late starts"),
    ),
)
