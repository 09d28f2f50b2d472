"""Operators are told why a job waits."""

import asyncio
import itertools

import pytest
import structlog

from cactustiller.cell.decisions.blocking import (
    Obstacle,
    find_block,
    find_step_obstacle,
)
from cactustiller.cell.decisions.ordering import URGENT
from cactustiller.cell.owner.block_reports import MAX_STEPS, BlockReporter
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.specs import QueueRules
from cactustiller.cell.records.workers import Exclusion
from cactustiller.model import Amounts
from standins.fleet import FleetCell, make_job

from .builders import SERVICE, make_order_key, make_step, make_worker

RULES = QueueRules(SERVICE)
APPROVED = QueueRules(SERVICE, needs_approval=True)
NOW = 100.0


def make_full_worker(name="w0", **changes):
    worker = make_worker(name, **changes)
    worker.take_capacity(Amounts(worker.free_cpu - 500, 0, 0))
    return worker


def find(step, *workers, rules=RULES, key=None):
    return find_block(step, rules, key or make_order_key(), workers, NOW)


@pytest.mark.parametrize(
    ("worker", "reason"),
    [
        (make_worker(), Obstacle.NONE),
        (make_full_worker(), Obstacle.CPU),
        (make_worker(memory=50), Obstacle.MEMORY),
        (make_worker(is_evacuated=True), Exclusion.EVACUATED),
        (make_worker(avoided_until=NOW + 1), Exclusion.AVOIDED),
        (make_worker(reserved_for=object()), Obstacle.RESERVED),
    ],
)
def test_the_reason_is_what_holds_the_only_worker_back(worker, reason):
    block = find(make_step(), worker)
    assert block.reason is reason
    assert block.counts == {reason: 1}


def test_an_evacuation_is_named_only_if_its_workers_have_free_capacity():
    # A cell without free capacity is not helped by the end of an evacuation.
    full = [make_full_worker(f"w{number}") for number in range(3)]
    evacuated = make_worker("w3", is_evacuated=True)
    assert find(make_step(), *full, evacuated).reason is Exclusion.EVACUATED
    evacuated.take_capacity(Amounts(evacuated.free_cpu, 0, 0))
    assert find(make_step(), *full, evacuated).reason is Obstacle.CPU


def test_all_zones_evacuated_are_named_although_their_workers_are_full():
    workers = [make_full_worker(f"w{n}", is_evacuated=True) for n in range(3)]
    assert find(make_step(), *workers).reason is Exclusion.EVACUATED


def test_a_gang_that_fits_only_together_with_withheld_workers():
    step = make_step(count=2, cpu=20_000, is_gang=True)
    free, evacuated = make_worker("w0"), make_worker("w1", is_evacuated=True)
    assert find(step, free, evacuated).reason is Exclusion.EVACUATED
    assert find(step, free, make_full_worker("w1")).reason is Obstacle.CPU


def test_a_gang_is_not_held_back_by_its_own_reservation():
    step = make_step(count=1, is_gang=True)
    assert find(step, make_worker(reserved_for=step)).reason is Obstacle.NONE


def test_urgent_work_is_not_held_back_by_reservations():
    worker = make_worker(reserved_for=object())
    key = make_order_key(URGENT)
    assert find(make_step(), worker, key=key).reason is Obstacle.NONE


def test_workers_that_do_not_approve_the_step_are_named():
    step = make_step()
    step.approved = {}
    block = find(step, make_worker(), rules=APPROVED)
    assert block.reason is Obstacle.NOT_APPROVED


def test_a_label_that_no_worker_has_is_named():
    step = make_step(required_label="gpu")
    assert find(step, make_worker()).reason is Obstacle.LABEL


def test_workers_of_other_services_do_not_count():
    block = find(make_step(), make_worker(), rules=QueueRules("other"))
    assert block == (Obstacle.NO_WORKER, {})


def test_the_limit_per_worker_is_named():
    step = make_step(count=2, max_per_worker=1)
    worker = make_worker()
    step.tasks[0].worker = worker.info.worker
    step.tasks[0].phase = type(step.tasks[0].phase).RUNNING
    assert find(step, worker).reason is Obstacle.PER_WORKER_LIMIT


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"has_team_room": False}, Obstacle.TEAM_LIMIT),
        ({"rules": APPROVED}, Obstacle.APPROVAL),
        ({"is_deferred": True}, Obstacle.DEFERRED),
        ({"now": -1.0}, Obstacle.RETRY_DELAY),
    ],
)
def test_what_holds_a_step_back_whatever_the_workers(changes, expected):
    options = {
        "rules": RULES,
        "has_team_room": True,
        "is_deferred": False,
        "now": NOW,
    }
    assert find_step_obstacle(make_step(), **(options | changes)) is expected


def make_engine(worker_count, job_count, clock):
    """Return an engine with full workers and jobs that have waited for 2 s."""
    engine = Engine(clock, lambda: 0.0)
    for number in range(worker_count):
        worker = make_full_worker(f"w{number}")
        engine.workers[worker.info.worker] = worker
    for number in range(1, job_count + 1):
        engine.add_job(make_job(number))
    clock.now += 2.0
    return engine


class Clock:
    now = 10.0

    def __call__(self):
        return self.now


def report(reporter):
    """Return the lines of one report."""
    with structlog.testing.capture_logs() as lines:
        reporter.report()
    return [line for line in lines if line["event"] == "job_blocked"]


def test_a_reason_is_logged_once_in_ten_seconds():
    clock = Clock()
    engine = make_engine(2, 1, clock)
    lines = []
    for _ in range(12):
        lines += report(engine.block_reporter)
        clock.now += 1.0
    assert [line["waited_seconds"] for line in lines] == [2.0, 12.0]
    assert lines[0]["reason"] == "cpu"
    assert lines[0]["workers"] == {"cpu": 2}
    assert engine.block_reporter.reasons == {"cpu": 1}


def test_a_changed_reason_is_logged_at_once():
    clock = Clock()
    engine = make_engine(2, 1, clock)
    report(engine.block_reporter)
    for worker in engine.workers.values():
        worker.is_evacuated = True
    (line,) = report(engine.block_reporter)
    assert line["reason"] == "evacuated"


def test_all_of_many_waiting_jobs_are_reported_in_turn():
    clock = Clock()
    engine = make_engine(2, 3 * MAX_STEPS, clock)
    seen = []
    for _ in range(3):
        seen.append([line["job"] for line in report(engine.block_reporter)])
        clock.now += 1.0
    assert [len(jobs) for jobs in seen] == [MAX_STEPS] * 3
    assert len(set(itertools.chain(*seen))) == 3 * MAX_STEPS
    assert seen[0] == [f"{number:016x}" for number in range(1, MAX_STEPS + 1)]


def test_jobs_that_start_or_end_are_forgotten():
    # Else an owner that lives for months keeps an entry of each job that waited.
    clock = Clock()
    engine = make_engine(2, 5, clock)
    reporter = engine.block_reporter
    report(reporter)
    for job in list(engine.jobs):
        engine.cancel_job(job)
    assert report(reporter) == []
    assert not reporter._examined
    assert not reporter._reported


def test_a_report_looks_at_a_bounded_number_of_workers(monkeypatch):
    # A report that examined each step at each worker would hold up the cell. Steps of
    # different sizes share no result.
    clock = Clock()
    engine = make_engine(1000, 0, clock)
    for number in range(1, 1001):
        engine.add_job(make_job(number, cpu=1000 + number))
    clock.now += 2.0
    looks = itertools.count()
    find_exclusion = type(engine.workers["w0"]).find_exclusion

    def count_look(worker, now):
        next(looks)
        return find_exclusion(worker, now)

    monkeypatch.setattr(type(engine.workers["w0"]), "find_exclusion", count_look)
    report(engine.block_reporter)
    assert next(looks) <= 1000


def test_a_report_changes_no_decision():
    clock = Clock()
    plain, reported = (make_engine(3, 30, clock) for _ in range(2))
    BlockReporter(reported, clock, lambda: 0.0).report()
    for engine in (plain, reported):
        for worker in engine.workers.values():
            worker.release_capacity(Amounts(8_000, 0, 0))
        engine.plan()
    placed = [
        {name: sorted(worker.runs) for name, worker in engine.workers.items()}
        for engine in (plain, reported)
    ]
    assert placed[0] == placed[1]


def test_work_without_value_that_waits_for_a_less_busy_cell_is_reported():
    clock = Clock()
    engine = make_engine(2, 1, clock)
    reporter = BlockReporter(engine, clock, lambda: 20_000.0)
    (line,) = report(reporter)
    assert line["reason"] == "deferred"


@pytest.mark.looptime
async def test_waiting_jobs_name_the_evacuation_of_all_zones():
    async with FleetCell(zones=("east", "west")) as cell:
        cell.evacuate_zone("east")
        cell.evacuate_zone("west")
        await asyncio.sleep(0.5)
        spec = make_job(1)
        with structlog.testing.capture_logs() as lines:
            await cell.submit(spec, seconds=0.2)
            await asyncio.sleep(3.0)
        (line,) = [line for line in lines if line["event"] == "job_blocked"]
    assert (line["job"], line["reason"]) == (spec.job, "evacuated")
