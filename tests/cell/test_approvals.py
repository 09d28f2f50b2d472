"""Choice of the workers and members for approval calls, and use of tickets."""

import asyncio

import pytest
from result import Err, Ok

from cactustiller.cell import Approval
from cactustiller.cell.decisions.candidates import has_valid_ticket
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.owner.approvals import MAX_WORKERS_PER_CALL, ApprovalDispatcher
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.listings import Listing
from cactustiller.cell.records.runs import JobRun
from cactustiller.model import ErrorCode, Failure
from standins.fleet import FleetCell, make_job, make_queue
from tests.cell.builders import make_round, make_worker

QUEUE = make_queue(needs_approval=True, approval_ms=10, approval_worker_ms=1)


class Service:
    def __init__(self):
        self.asked = []

    async def ask(self, step, workers):
        self.asked.append((step, workers))
        await asyncio.Event().wait()


class UnreachablePeers:
    """Peers that are cut off from this member."""

    async def call(self, address, message, seconds):
        await asyncio.sleep(seconds)
        return Err(Failure(code=ErrorCode.TIMEOUT, step="call", reason="no reply"))


def make_dispatcher(workers, jobs, queue=QUEUE, peers=None, members=list):
    """Return a dispatcher, the service of its member and the eligible steps."""
    engine = Engine(lambda: 100.0, lambda: 100_000)
    engine.workers = {worker.info.worker: worker for worker in workers}
    for number in range(1, jobs + 1):
        engine.add_job(make_job(number, queue))
    service = Service()
    dispatcher = ApprovalDispatcher(engine, service, peers, members, lambda: None)
    return dispatcher, service, engine.find_eligible_steps()


async def test_workers_with_free_capacity_are_named_first():
    # One call cannot name all workers, and the first ones are full.
    workers = [make_worker(f"w{n:03d}") for n in range(180)]
    for worker in workers[:90]:
        worker.free_cpu = 0
    dispatcher, service, steps = make_dispatcher(workers, 1)
    dispatcher.start_calls(steps)
    await asyncio.sleep(0)
    ((_, named),) = service.asked
    assert len(named) == MAX_WORKERS_PER_CALL
    assert {worker.info.worker for worker in workers[90:]} <= set(named)
    await dispatcher.close()


async def test_concurrent_steps_name_different_workers():
    workers = [make_worker(f"w{n:03d}") for n in range(300)]
    dispatcher, _, steps = make_dispatcher(workers, 3)
    named = [set(dispatcher._choose_workers(step)) for step in steps]
    assert len(named[0] | named[1] | named[2]) > 1.5 * MAX_WORKERS_PER_CALL


async def test_no_workers_are_chosen_while_no_member_is_free(monkeypatch):
    # With 400 pending steps and 176 workers, the choice took 40 ms in each round and
    # for each submitted job.
    dispatcher, service, steps = make_dispatcher(
        [make_worker(f"w{n}") for n in range(20)], 400
    )
    chosen = []
    choose = dispatcher._choose_workers
    monkeypatch.setattr(
        dispatcher, "_choose_workers", lambda s: chosen.append(s) or choose(s)
    )
    dispatcher.start_calls(steps)
    dispatcher.start_calls(steps)
    await asyncio.sleep(0)
    assert len(chosen) == len(service.asked) == 1
    await dispatcher.close()


@pytest.mark.looptime
async def test_owner_that_reaches_no_other_member_makes_long_calls_itself():
    # Guards against jobs that never start since their long approval calls are left to
    # members that are cut off from the owner.
    queue = make_queue(needs_approval=True, approval_ms=480, approval_worker_ms=7)
    dispatcher, service, steps = make_dispatcher(
        [make_worker()], 3, queue, UnreachablePeers(), lambda: ["a", "b"]
    )
    for _ in range(20):
        dispatcher.start_calls(steps)
        await asyncio.sleep(0.1)
    assert len(service.asked) == 1
    await dispatcher.close()


@pytest.mark.looptime
async def test_owner_leaves_long_calls_to_members_that_are_only_busy():
    # Guards against short approval calls that wait behind a long one at the owner.
    queue = make_queue(needs_approval=True, approval_ms=480, approval_worker_ms=7)
    dispatcher, service, steps = make_dispatcher(
        [make_worker()], 3, queue, UnreachablePeers(), lambda: ["a", "b"]
    )
    for _ in range(10):
        dispatcher.start_calls(steps)
        await asyncio.sleep(0.1)
    assert service.asked == []
    await dispatcher.close()


@pytest.mark.parametrize("is_gang", [True, False])
def test_a_step_that_fits_on_no_approved_worker_requests_more(is_gang):
    full, free = make_worker("w0"), make_worker("w1")
    full.free_cpu = 0
    step = JobRun(make_job(1, QUEUE, is_gang=is_gang)).open_occurrence(0)[0]
    step.approved, step.asked_workers = {"w0": "ticket"}, {"w0"}
    step.approved_until = {"w0": 1000.0}
    current = make_round([full, free])
    place_steps(current, [(make_key(step), step, QUEUE.rules)])
    assert current.steps_needing_approval == [step]
    assert current.placements == []


@pytest.mark.parametrize("is_gang", [True, False])
def test_a_step_requests_approval_of_workers_that_replaced_others(is_gang):
    # As many workers were asked for as the cell has, and all of them are gone.
    step = JobRun(make_job(1, QUEUE, is_gang=is_gang)).open_occurrence(0)[0]
    step.approved, step.asked_workers = {"w0": "ticket"}, {"w0", "w1"}
    step.approved_until = {"w0": 1000.0}
    current = make_round([make_worker("w2"), make_worker("w3")])
    place_steps(current, [(make_key(step), step, QUEUE.rules)])
    assert current.steps_needing_approval == [step]


def test_a_restarted_worker_is_asked_for_again():
    # Its next incarnation may be of another kind, and its tickets are void.
    worker = make_worker("w0")
    worker.born_ms = 1
    dispatcher, _, (step,) = make_dispatcher([worker], 1)
    step.approved, step.asked_workers = {}, {"w0"}
    assert dispatcher._choose_workers(step) == []
    dispatcher._engine.apply_listing(worker, Listing(0, 2, (), ()), 100.0, 100.0)
    assert dispatcher._choose_workers(step) == ["w0"]


def test_expired_tickets_are_not_used():
    old, new = make_worker("w0"), make_worker("w1")
    step = JobRun(make_job(1, QUEUE, count=2)).open_occurrence(0)[0]
    step.approved = {"w0": "old", "w1": "new"}
    step.asked_workers = {"w0", "w1"}
    step.approved_until = {"w0": 90.0, "w1": 1000.0}
    current = make_round([old, new])
    place_steps(current, [(make_key(step), step, QUEUE.rules)])
    assert {p.ticket for p in current.placements} == {"new"}


def make_key(step):
    """Return the order key of a step that is in time."""
    engine = Engine(lambda: 100.0, lambda: 100_000)
    ((key, _, _),) = engine.compute_order_keys([step], 100_000)
    return key


@pytest.mark.looptime
async def test_a_large_cell_uses_all_its_workers():
    queue = make_queue(needs_approval=True, approval_ms=10, approval_worker_ms=0)
    async with FleetCell(workers=150, queues=[queue], members=4) as cell:
        for number in range(1, 61):
            await cell.submit(make_job(number, queue, count=5, cpu=16_000), 5.0)
        await asyncio.sleep(3)
        used = {worker for _, _, worker in cell.audit.starts}
        assert len(cell.audit.starts) == 300
        assert len(used) == 150


async def test_closed_dispatcher_starts_no_more_calls():
    # Guards against a former owner that goes on asking for approvals: each cancelled
    # call let the next one start.
    workers = [make_worker("w0")]
    dispatcher, service, steps = make_dispatcher(workers, 3)
    dispatcher._on_answer = lambda: dispatcher.start_calls(steps)
    dispatcher.start_calls(steps)
    await asyncio.sleep(0)
    await dispatcher.close()
    asked = len(service.asked)
    await asyncio.sleep(0)
    dispatcher.start_calls(steps)
    await asyncio.sleep(0)
    assert len(service.asked) == asked
    assert not dispatcher._tasks


@pytest.mark.looptime
async def test_member_that_stays_lost_holds_up_ever_fewer_steps():
    # Guards against jobs that wait for seconds, again and again, at a member that is
    # lost but still listed.
    queue = make_queue(needs_approval=True, approval_ms=480, approval_worker_ms=7)
    dispatcher, _, steps = make_dispatcher(
        [make_worker()], 60, queue, UnreachablePeers(), lambda: ["lost"]
    )
    dispatcher._service = HeldUpService(0.5)
    calls = []
    dispatcher._peers.call = lambda *call: _record_call(calls, *call)
    for _ in range(600):
        dispatcher.start_calls([step for step in steps if step.approved is None])
        await asyncio.sleep(0.1)
    assert 3 <= len(calls) <= 7
    await dispatcher.close()


async def _record_call(calls, address, message, seconds):
    calls.append(address)
    return await UnreachablePeers().call(address, message, seconds)


class HeldUpService:
    """Service whose answers take a while to be read, as by a busy process."""

    def __init__(self, seconds):
        self._seconds = seconds

    async def ask(self, step, workers):
        await asyncio.sleep(self._seconds)
        return Ok(Approval(dict.fromkeys(workers, "ticket"), 2.0))


@pytest.mark.looptime
async def test_tickets_expire_by_the_time_of_the_service():
    # Guards against starts with expired tickets: their validity was counted from the
    # time at which a busy owner read the answer.
    dispatcher, _, steps = make_dispatcher([make_worker("w0")], 1)
    dispatcher._service = HeldUpService(1.5)
    (step,) = steps
    started = asyncio.get_running_loop().time()
    dispatcher.start_calls(steps)
    await asyncio.sleep(1.6)
    valid_seconds = step.approved_until["w0"] - started
    # A call that names one worker takes 11 ms.
    assert 2.0 <= valid_seconds <= 2.1
    assert not has_valid_ticket(step, QUEUE.rules, make_worker("w0"), started + 2.2)
    await dispatcher.close()


@pytest.mark.looptime
@pytest.mark.parametrize("workers", [90, 190, 270])
@pytest.mark.parametrize("is_refused", [False, True])
async def test_gang_with_expired_tickets_starts_in_a_large_service(workers, is_refused):
    # Guards against a gang that waits forever beside idle workers: it needs tickets for
    # workers that a call for another hundred of them does not name.
    loop = asyncio.get_running_loop()
    engine = Engine(loop.time, lambda: int(loop.time() * 1000))
    names = [f"w{n:03d}" for n in range(workers)]
    engine.workers = {name: make_worker(name) for name in names}
    engine.add_job(make_job(1, QUEUE, count=12, cpu=20_000, is_gang=True))
    (step,) = engine.find_eligible_steps()
    approved = names[:: 2 if is_refused else 1]
    step.asked_workers = set(names)
    step.approved = dict.fromkeys(approved, "ticket")
    step.approved_until = dict.fromkeys(approved, loop.time() - 1.0)
    dispatcher = ApprovalDispatcher(
        engine, HeldUpService(0.05), None, list, lambda: None
    )
    until = loop.time() + 3.0
    while not engine._unstored_placements and loop.time() < until:
        dispatcher.start_calls(engine.plan())
        await asyncio.sleep(0.05)
    assert len(engine._unstored_placements) == 12
    await dispatcher.close()
