"""Permits: an executor's slot, two gateways and a change of the pool's owner.

The former owner grants the slot, the new one learns from the gateways what they hold.
One gateway may join late, so that a stale list lacks it; the other may restart once and
forget its permits, whose executors work on. A gateway may not answer. Replies are late.
Time passes in ticks, the same for all clocks.
"""

from typing import NamedTuple

from .kit import MENDED, Mutant, Spec

LIFE_TICKS = 2
LEASE_TICKS = 1
FORMER, OWNER = 1, 2
GATEWAYS = (0, 1)
MAX_GRANTS = 2


class Gateway(NamedTuple):
    """A gateway: highest epoch heard of, and its permit's owner, number, life.

    `forgotten` is the time for which an executor works on under a permit of its
    previous process, `previous_busy` the upper limit of it that the gateway reports.
    """

    epoch: int = FORMER
    owner: int = 0
    permit: int = 0
    life: int = 0
    has_answered: bool = False
    has_restarted: bool = False
    forgotten: int = 0
    previous_busy: int = 0


class State(NamedTuple):
    """All parts; grants and replies hold gateway, epoch, number, ticks left.

    `closed` is the time until the new owner opens, -1 before its takeover, and `busy`
    the time for which requests of restarted gateways may go on.
    """

    lease: int = LEASE_TICKS
    has_former: bool = True
    closed: int = -1
    busy: int = 0
    is_asking: bool = False
    has_joined: bool = False
    is_listed: bool = False
    gateways: tuple = (Gateway(), Gateway())
    grants: tuple = (frozenset(), frozenset())
    numbers: tuple = (0, 0)
    replies: frozenset = frozenset()
    returns: frozenset = frozenset()


def _set_gateway(state, number, **changes):
    gateways = list(state.gateways)
    gateways[number] = gateways[number]._replace(**changes)
    return state._replace(gateways=tuple(gateways))


def _set_grants(state, epoch, grants):
    both = list(state.grants)
    both[epoch - 1] = frozenset(grants)
    return state._replace(grants=tuple(both))


def list_steps(state, flags):
    """Return every step from a state."""
    steps = [*_list_claim_steps(state, flags)]
    for gateway in GATEWAYS:
        if gateway == 0 or state.has_joined:
            steps += _list_gateway_steps(state, flags, gateway)
    for reply in state.replies:
        steps.append(_take_reply(state, flags, reply))
    for returned in state.returns:
        steps.append(_give_back(state, returned))
    if not state.has_joined:
        steps.append(("Member.start of gateway 1", state._replace(has_joined=True)))
    steps.append(("tick", _tick(state)))
    return [(label, following) for label, following in steps if following != state]


def _list_claim_steps(state, flags):
    if state.closed < 0:
        yield "Member._renew_lease", state._replace(lease=LEASE_TICKS)
        if state.has_joined:
            yield "Member.refresh lists gateway 1", state._replace(is_listed=True)
        if not state.lease:
            yield "OwnershipReconciler._take_over, Pool.recover", _recover(state, flags)
        handed = state._replace(has_former=False)
        yield (
            "Partitions.release, OwnershipReconciler._hand_over, Pool.recover",
            _recover(handed, flags),
        )
        return
    if state.has_former:
        yield "Partitions._stop_lost", state._replace(has_former=False)
    if state.is_asking:
        asked = [number for number in GATEWAYS if number == 0 or state.is_listed]
        has_all = all(state.gateways[number].has_answered for number in asked)
        if has_all:
            opened = state._replace(is_asking=False, closed=0)
            yield "Pool.recover hears every gateway", opened
        else:
            wait = state._replace(is_asking=False)
            yield "Pool.recover misses a gateway", wait


def _recover(state, flags):
    is_early = "grant before gateways answered" in flags
    wait = LIFE_TICKS - 1 if "open before permits expire" in flags else LIFE_TICKS
    is_listed = state.is_listed
    if "gateways of an old list" not in flags:
        is_listed = state.has_joined
    return state._replace(
        closed=0 if is_early else wait, is_asking=not is_early, is_listed=is_listed
    )


def _list_gateway_steps(state, flags, number):
    gateway = state.gateways[number]
    is_asked = state.is_asking and (number == 0 or state.is_listed)
    if is_asked and not gateway.has_answered:
        yield f"PermitStore.report of gateway {number}", _report(state, flags, number)
    if number == 0 and not gateway.has_restarted:
        yield f"Member.start of gateway {number} again", _restart(state, number)
    if state.has_former and (state.lease or "grant without a lease" in flags):
        yield from _acquire(state, flags, number, FORMER)
    if state.closed == 0 and not state.is_asking and not state.busy:
        yield from _acquire(state, flags, number, OWNER)
    if gateway.life:
        freed = _set_gateway(state, number, owner=0, permit=0, life=0)
        returned = freed.returns | {(number, gateway.owner, gateway.permit)}
        yield (
            f"PermitStore._give_back of gateway {number}",
            freed._replace(returns=returned),
        )


def _restart(state, number):
    gateway = state.gateways[number]
    restarted = _set_gateway(
        state,
        number,
        epoch=FORMER if state.closed < 0 else OWNER,
        owner=0,
        permit=0,
        life=0,
        has_restarted=True,
        forgotten=gateway.life,
        previous_busy=LIFE_TICKS,
    )
    replies = frozenset(reply for reply in state.replies if reply[0] != number)
    return restarted._replace(replies=replies)


def _report(state, flags, number):
    gateway = state.gateways[number]
    answered = _set_gateway(state, number, epoch=OWNER, has_answered=True)
    if "forgotten permits" not in flags:
        busy = max(answered.busy, gateway.previous_busy)
        answered = answered._replace(busy=busy)
    if not gateway.life:
        return answered
    held = {(number, gateway.owner, gateway.permit, gateway.life)}
    return _set_grants(answered, OWNER, state.grants[OWNER - 1] | held)


def _acquire(state, flags, number, epoch):
    count = state.numbers[epoch - 1]
    if state.grants[epoch - 1] or count == MAX_GRANTS:
        return
    is_repeated = "numbers used again" in flags
    grant = (number, epoch, 0 if is_repeated else count, LIFE_TICKS)
    numbers = list(state.numbers)
    numbers[epoch - 1] += 1
    granted = _set_grants(state._replace(numbers=tuple(numbers)), epoch, {grant})
    yield (
        f"Pool.acquire of owner {epoch} for gateway {number}",
        granted._replace(replies=state.replies | {grant}),
    )


def _take_reply(state, flags, reply):
    number, epoch, permit, life = reply
    taken = state._replace(replies=state.replies - {reply})
    is_former = epoch < state.gateways[number].epoch
    if is_former and "replies of a former owner" not in flags:
        return f"PermitStore._acquire of gateway {number} ignores a reply", taken
    return f"PermitStore._acquire of gateway {number}", _set_gateway(
        taken,
        number,
        epoch=max(epoch, state.gateways[number].epoch),
        owner=epoch,
        permit=permit,
        life=life,
    )


def _give_back(state, returned):
    number = returned[0]
    taken = state._replace(returns=state.returns - {returned})
    for owner in (FORMER, OWNER):
        kept = {grant for grant in state.grants[owner - 1] if grant[:3] != returned}
        taken = _set_grants(taken, owner, kept)
    return f"Pool.give_back of gateway {number}'s permit", taken


def _tick(state):
    """Let a tick pass: the lease and every permit run down."""
    ticked = state._replace(
        lease=max(0, state.lease - 1),
        closed=max(0, state.closed - 1) if state.closed > 0 else state.closed,
        busy=max(0, state.busy - 1),
        replies=_age(state.replies),
        grants=tuple(_age(grants) for grants in state.grants),
    )
    for number, gateway in enumerate(state.gateways):
        life = max(0, gateway.life - 1)
        owner = gateway.owner if life else 0
        permit = gateway.permit if life else 0
        ticked = _set_gateway(
            ticked,
            number,
            life=life,
            owner=owner,
            permit=permit,
            forgotten=max(0, gateway.forgotten - 1),
            previous_busy=max(0, gateway.previous_busy - 1),
        )
    return ticked


def _age(permits):
    return frozenset(
        (*permit[:-1], permit[-1] - 1) for permit in permits if permit[-1] > 1
    )


_SLOTS = "no more permits are in use than the executor has slots"

SPEC = Spec(
    name="permits",
    title="Slot permits over a change of the pool's owner",
    sizes="1 executor with 1 slot, 2 gateways (1 joins late, 1 may restart "
    "once), 2 owners; ticks: "
    f"permit life {LIFE_TICKS}, lease {LEASE_TICKS}",
    initial=State(),
    list_steps=list_steps,
    properties={
        _SLOTS: lambda state: (
            sum((g.life > 0) + (g.forgotten > 0) for g in state.gateways) <= 1
        ),
    },
    goal=lambda state: state.numbers[OWNER - 1] > 0,
    actions={
        "Member._renew_lease": "ownership/member.py",
        "Member.refresh": "ownership/member.py",
        "Member.start": "ownership/member.py",
        "OwnershipReconciler._take_over": "ownership/reconciler.py",
        "OwnershipReconciler._hand_over": "ownership/reconciler.py",
        "Partitions.release": "scheduler/partitions.py",
        "Partitions._stop_lost": "scheduler/partitions.py",
        "Pool.acquire": "scheduler/pools.py",
        "Pool.give_back": "scheduler/pools.py",
        "Pool.recover": "scheduler/pools.py",
        "PermitStore.report": "gateway/permits.py",
        "PermitStore._acquire": "gateway/permits.py",
        "PermitStore._give_back": "gateway/permits.py",
    },
    outside=("an executor that works on after a permit's end",),
    mutants=(
        Mutant("grant before gateways answered", _SLOTS, "a new owner grants at once"),
        Mutant(
            "grant without a lease",
            _SLOTS,
            "Pool.acquire grants although the owner's lease has ended",
            fault=MENDED,
        ),
        Mutant(
            "gateways of an old list",
            _SLOTS,
            "a new owner asks the gateways that it knew before the takeover",
            fault=MENDED,
        ),
        Mutant(
            "replies of a former owner",
            _SLOTS,
            "a gateway takes permits of an epoch older than it has heard of",
        ),
        Mutant(
            "numbers used again",
            _SLOTS,
            "a pool built again under its epoch numbers permits from 1 again",
            fault=MENDED,
        ),
        Mutant(
            "forgotten permits",
            _SLOTS,
            "a new owner takes the report of a restarted gateway for complete",
            fault=MENDED,
        ),
        Mutant(
            "open before permits expire",
            _SLOTS,
            "the time that a new owner stays closed is shorter than a permit's life",
        ),
    ),
)
