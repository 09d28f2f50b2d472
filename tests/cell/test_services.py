"""Cells of several services: a load or a limit of one does not hold up another."""

import asyncio
from dataclasses import replace

import pytest
from result import Ok

from cactustiller.cell.decisions.blocking import Obstacle
from cactustiller.cell.decisions.copy_placement import WaitingWork
from cactustiller.cell.decisions.health import FAILED_JOBS_TO_AVOID, record_failure
from cactustiller.cell.decisions.ordering import IN_TIME, URGENT, OrderKey
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.decisions.preemption import MAX_VICTIMS
from cactustiller.cell.decisions.service_usage import measure_usage
from cactustiller.cell.decisions.stragglers import CopiesBudget
from cactustiller.cell.owner.approvals import ApprovalDispatcher
from cactustiller.cell.owner.block_reports import MAX_COMPARED_STEPS
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.ports import Approval
from cactustiller.cell.records.specs import QueueRules
from cactustiller.model import Amounts
from standins.fleet import make_job, make_queue

from .builders import SERVICE, fill, make_order_key, make_round, make_step, make_worker

IDLE = "audit"
# Work that was due at 0 has no value any more, and may still be deferred.
NOW = 30.0
RULES, IDLE_RULES = QueueRules(SERVICE), QueueRules(IDLE)


def make_idle_queue(**rules):
    queue = make_queue("idle", **rules)
    return replace(queue, rules=replace(queue.rules, service=IDLE))


def make_engine(workers):
    engine = Engine(lambda: NOW, lambda: NOW * 1000)
    engine.workers = {worker.info.worker: worker for worker in workers}
    return engine


def make_full_workers(count=6):
    workers = [make_worker(f"w{n}") for n in range(count)]
    for number, worker in enumerate(workers):
        fill(worker, number=500 + number, has_checkpoints=False)
    return workers


def make_idle_workers(count=2):
    return [make_worker(f"i{n}", service=IDLE) for n in range(count)]


@pytest.mark.parametrize("priority", [0, 2], ids=["urgent", "batch"])
@pytest.mark.parametrize("others", [6, 60])
@pytest.mark.parametrize("changes", [{}, {"count": 4, "is_gang": True}])
def test_late_work_runs_in_an_idle_service_beside_a_full_one(others, priority, changes):
    # Guards against jobs without value that wait for 60 s for a less busy cell while
    # all executors of their service are idle (review/9).
    engine = make_engine([*make_full_workers(others), *make_idle_workers()])
    idle, full = make_idle_queue(priority=priority), make_queue("full")
    engine.add_job(make_job(1, idle, **changes))
    engine.add_job(make_job(2, full))
    engine.plan()
    placed = {p.task.step.job.spec.job for p in engine._unstored_placements}
    assert placed == {f"{1:016x}"}


def test_late_work_of_a_full_service_waits_beside_idle_ones():
    workers = [make_worker("w0"), *make_idle_workers(20)]
    fill(workers[0], count=12)
    engine = make_engine(workers)
    engine.add_job(make_job(1, make_queue("full")))
    engine.plan()
    assert engine._unstored_placements == []


def test_each_service_has_its_usage():
    workers = [*make_full_workers(3), *make_idle_workers(1)]
    fill(workers[3], count=4, number=900)
    assert measure_usage(workers) == {SERVICE: 1.0, IDLE: 0.25}
    assert measure_usage([make_worker("gone", cpu=0)]) == {}


def test_a_report_does_not_say_deferred_of_an_idle_service():
    engine = make_engine([*make_full_workers(), *make_idle_workers()])
    job = make_job(1, make_idle_queue(), required_label="missing")
    engine.add_job(job)
    engine.add_job(make_job(2, make_queue("full")))
    for step in engine.find_eligible_steps():
        step.eligible_at = NOW - 5.0
    engine.block_reporter.report()
    assert engine.block_reporter.reasons == {
        Obstacle.LABEL.value: 1,
        Obstacle.DEFERRED.value: 1,
    }


def test_a_report_examines_steps_of_each_service():
    engine = make_engine([*make_full_workers(1), *make_idle_workers(1)])
    for number in range(1, 3 * MAX_COMPARED_STEPS):
        engine.add_job(make_job(number, make_queue("full"), cpu=20_000))
    engine.add_job(make_job(9999, make_idle_queue(), required_label="missing"))
    steps = engine.find_eligible_steps()
    for number, step in enumerate(steps):
        step.eligible_at = NOW - 50.0 + 0.001 * number
    steps[-1].eligible_at = NOW - 60.0
    engine.block_reporter.report()
    assert engine.block_reporter.reasons[Obstacle.LABEL.value] == 1


@pytest.mark.parametrize("others", [3, 30])
def test_suspects_of_one_service_do_not_use_up_the_probations_of_another(others):
    busy = [make_worker(f"w{n}") for n in range(others)]
    step = make_step(1, count=1)
    step.suspects = set(step.tasks)
    current = make_round(make_idle_workers(), isolated=busy)
    place_steps(current, [(make_order_key(), step, IDLE_RULES)])
    assert len(current.placements) == 1


def test_many_workers_do_not_allow_all_of_a_small_service_to_be_isolated():
    steps = [make_step(n, count=1) for n in (1, 2)]
    for step in steps:
        step.suspects = set(step.tasks)
    workers = [*make_idle_workers(), *(make_worker(f"w{n}") for n in range(50))]
    current = make_round(workers)
    place_steps(current, [(make_order_key(), step, IDLE_RULES) for step in steps])
    assert len(current.placements) == 1


def avoid(worker, workers):
    """Fail runs of distinct jobs on a worker; return whether it is avoided."""
    for number in range(FAILED_JOBS_TO_AVOID):
        task = make_step(number + 1).tasks[0]
        is_avoided = record_failure(worker, task, workers, NOW)
    return is_avoided


def test_avoided_workers_of_one_service_do_not_count_for_another():
    busy, idle = [make_worker(f"w{n}") for n in range(3)], make_idle_workers(3)
    assert avoid(busy[0], [*busy, *idle])
    assert avoid(idle[0], [*busy, *idle])


def test_many_workers_do_not_allow_all_of_a_small_service_to_be_avoided():
    busy, idle = [make_worker(f"w{n}") for n in range(50)], make_idle_workers(2)
    assert [avoid(worker, [*busy, *idle]) for worker in idle] == [True, False]


def test_preemptions_in_one_service_do_not_use_up_those_of_another():
    busy, idle = make_worker("w0"), make_worker("i0", service=IDLE)
    fill(busy, number=8)
    fill(idle, number=9)
    first, second = make_step(1, count=20, cpu=12_000), make_step(2, cpu=3000)
    current = make_round([busy, idle])
    key = OrderKey(URGENT, 0, 0.0, 0.0)
    place_steps(current, [(key, first, RULES), (key, second, IDLE_RULES)])
    stopped = [worker for _, worker in current.preempted]
    assert stopped.count(busy) == MAX_VICTIMS
    assert stopped.count(idle) == 2


class CountingService:
    """Approval service that approves every worker and counts the calls."""

    def __init__(self):
        self.asked = []

    async def ask(self, step, workers):
        self.asked.append(step)
        return Ok(Approval(dict.fromkeys(workers, "ticket"), 10.0))


async def test_services_take_turns_at_approval_calls():
    # Guards against a job that waits for the approvals of all steps of another service.
    queue = make_queue("full", needs_approval=True, priority=0)
    idle_queue = make_idle_queue(needs_approval=True, priority=2)
    engine = make_engine([*make_full_workers(1), *make_idle_workers(1)])
    for number in range(1, 50):
        engine.add_job(make_job(number, queue))
    job = make_job(999, idle_queue)
    engine.add_job(job)
    service = CountingService()

    def start():
        dispatcher.start_calls(engine.find_steps_without_approval(1))

    dispatcher = ApprovalDispatcher(engine, service, None, list, start)
    start()
    for _ in range(40):
        await asyncio.sleep(0)
    assert f"{job.job}.0.0" in service.asked[:2]
    assert len(service.asked) > 10
    await dispatcher.close()


def test_the_budget_of_copies_is_that_of_a_service():
    # 4 % of 100 cores, half of it for one team.
    budget = CopiesBudget([make_worker("w0", cpu=100_000), *make_idle_workers(40)])
    amounts = Amounts(2000, 0, 0)
    budget.take("a", IDLE, Amounts(20_000, 0, 0))
    assert budget.allows("a", SERVICE, amounts)
    budget.take("a", SERVICE, amounts)
    assert not budget.allows("a", SERVICE, amounts)
    assert budget.allows("b", SERVICE, amounts)


def test_a_team_that_waits_in_one_service_gets_copies_in_another():
    step = make_step(1)
    entry = (make_order_key(IN_TIME), step, RULES)
    waiting = WaitingWork(make_round([]), [entry])
    team = step.job.spec.team
    assert waiting.needs_team(team, SERVICE)
    assert not waiting.needs_team(team, IDLE)
    # A team's limit holds for all services.
    waiting = WaitingWork(make_round([], team_room=0), [entry])
    assert waiting.needs_team(team, IDLE)
