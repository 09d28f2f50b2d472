"""Work for one job in one piece grows in proportion to the job.

A legal job has up to 2,000 tasks or steps. Work that grows faster than that keeps the
owner's loop from its lease, its peers and its callers (review/14).
"""

import asyncio
from dataclasses import replace
from itertools import pairwise

import pytest
import structlog

from cactustiller.cell import RunEnd
from cactustiller.cell.decisions import placement
from cactustiller.cell.decisions.admission_control import AdmissionControl
from cactustiller.cell.owner.call_tasks import CHUNK_CALLS, CallTasks
from cactustiller.cell.owner.loading import CHUNK_WORK, JobLoader
from cactustiller.cell.ports import make_job_key
from cactustiller.cell.records import runs
from cactustiller.cell.records.specs import encode_job
from cactustiller.cell.records.workers import WorkerLoss
from cactustiller.cell.reporting.loop_work import LoopWork, track_loop_work
from cactustiller.cell.reporting.metrics import Metrics
from cactustiller.model import JobId, JobState
from standins.fleet import FleetCell, make_job, make_queue

from .large_jobs import SHAPES, CountedEngine

SIZES = (60, 120, 240)
# Twice the size may take twice the operations, and some more for the depth of sorts.
MAX_GROWTH = 2.5


def measure(shape, play):
    """Return the operations by kind of call for each of the sizes."""
    found = []
    for size in SIZES:
        counted = CountedEngine(SHAPES[shape](size))
        play(counted)
        found.append(counted.most)
    return found


def assert_in_proportion(found):
    for smaller, larger in pairwise(found):
        for kind, operations in larger.items():
            assert operations <= MAX_GROWTH * smaller[kind], kind


@pytest.mark.parametrize("shape", SHAPES)
def test_work_for_a_job_is_in_proportion_to_it(shape):
    assert_in_proportion(measure(shape, CountedEngine.play))


@pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.STOPPED, RunEnd.GANG_BROKEN])
@pytest.mark.parametrize("shape", SHAPES)
def test_work_for_ended_runs_is_in_proportion_to_the_job(shape, end):
    # Each end looked at all steps of the job, or at all members of the gang.
    def play(counted):
        counted.play_round()
        counted.end_runs(end)
        counted.play_round()

    assert_in_proportion(measure(shape, play))


@pytest.mark.parametrize("shape", SHAPES)
def test_work_for_lost_workers_is_in_proportion_to_the_job(shape):
    def play(counted):
        counted.play_round()
        for worker in counted.engine.workers.values():
            counted.count(
                "loss", counted.engine._drop_all_runs, worker, WorkerLoss.SILENT
            )
        counted.play_round()

    assert_in_proportion(measure(shape, play))


@pytest.mark.parametrize("shape", SHAPES)
def test_work_for_a_cancelled_job_is_in_proportion_to_it(shape):
    def play(counted):
        counted.play_round()
        counted.count("cancel", counted.engine.cancel_job, counted.job.spec.job)
        counted.count("stops", counted.engine.find_due_stops)
        counted.end_runs(RunEnd.STOPPED)

    assert_in_proportion(measure(shape, play))


@pytest.mark.parametrize("shape", ["steps", "dense", "chain"])
def test_dependencies_are_computed_once_for_a_job(shape, monkeypatch):
    built = []
    build = runs.build_step_graph
    monkeypatch.setattr(
        runs, "build_step_graph", lambda steps: built.append(steps) or build(steps)
    )
    counted = CountedEngine(SHAPES[shape](30))
    counted.play()
    assert len(built) == 1


def test_a_round_places_a_bounded_number_of_steps(monkeypatch):
    monkeypatch.setattr(placement, "MAX_PLACED_STEPS", 50)
    counted = CountedEngine(SHAPES["steps"](120))
    rounds = []
    while not rounds or counted.engine.is_plan_partial:
        before = sum(len(w.runs) for w in counted.engine.workers.values())
        counted.play_round()
        after = sum(len(w.runs) for w in counted.engine.workers.values())
        rounds.append(after - before)
    assert rounds == [50, 50, 20]


def count_admission(size, waiting):
    """Return the operations to examine a job of many steps while others wait."""
    counted = CountedEngine(SHAPES["steps"](1))
    for worker in counted.engine.workers.values():
        worker.free_cpu = 0
    for number in range(10, 10 + waiting):
        counted.engine.add_job(make_job(number, estimate_ms=60_000))
    clocks = (lambda: counted.now, lambda: counted.now * 1000)
    admission = AdmissionControl(counted.engine, *clocks)
    assert admission.is_needed()
    spec = replace(SHAPES["steps"](size), job=JobId("f" * 16))
    counted.count("admit", admission.find_rejection, spec)
    return counted.most["admit"]


def test_admission_of_a_job_of_many_steps_does_not_grow_with_the_waiting_ones():
    # Each of a job's first steps was compared with all waiting steps.
    assert count_admission(240, 100) <= MAX_GROWTH * count_admission(120, 100)
    assert count_admission(240, 400) <= 1.5 * count_admission(240, 100)


def count_approval_requests(waiting):
    """Return the operations to find the next steps to be approved, and their number."""
    queue = make_queue(needs_approval=True)
    counted = CountedEngine(replace(SHAPES["steps"](1), queue=queue.name))
    rules = replace(queue.rules, needs_approval=True)
    for number in range(10, 10 + waiting):
        counted.engine.add_job(make_job(number, replace(queue, rules=rules)))
    counted.engine.find_steps_without_approval(3)
    asked = []
    for _ in range(20):
        counted.now += 0.001
        steps = counted.count("find", counted.engine.find_steps_without_approval, 3)
        steps[0].has_approval_call = True
        asked.append(steps[0].job.spec.job)
    assert len(set(asked)) == 20
    return counted.most["find"]


def test_the_next_approval_is_found_without_a_look_at_all_waiting_steps():
    # Each answer of the approval service looked at all steps that wait for one.
    assert count_approval_requests(800) <= 1.2 * count_approval_requests(100)


def test_a_new_urgent_step_requests_approval_before_those_that_wait():
    queue = make_queue(needs_approval=True)
    counted = CountedEngine(SHAPES["steps"](1))

    def add_job(number, **changes):
        spec = make_job(number, queue, **changes)
        counted.engine.add_job(replace(spec, accepted_ms=100_000))

    for number in range(10, 40):
        add_job(number, estimate_ms=60_000)
    counted.engine.find_steps_without_approval(1)
    add_job(99, estimate_ms=100)
    (step,) = counted.engine.find_steps_without_approval(1)
    assert step.job.spec.job == f"{99:016x}"
    step.has_approval_call = True
    (step,) = counted.engine.find_steps_without_approval(1)
    assert step.job.spec.job != f"{99:016x}"


@pytest.mark.parametrize("count", [1, CHUNK_CALLS, 40 * CHUNK_CALLS])
async def test_other_tasks_have_their_turn_between_many_calls(count):
    # All starts of a job of 2,000 tasks were prepared in one piece.
    started, most = [], 0
    calls = CallTasks()

    async def call():
        started.append(1)

    calls.start_all([call] * count)
    while len(started) < count:
        before = len(started)
        await asyncio.sleep(0)
        most = max(most, len(started) - before)
    assert most <= CHUNK_CALLS
    await calls.close()


async def test_calls_that_are_not_started_yet_are_cancelled():
    started = []
    calls = CallTasks()

    async def call():
        started.append(1)
        await asyncio.Event().wait()

    calls.start_all([call] * (10 * CHUNK_CALLS))
    for _ in range(3):
        await asyncio.sleep(0)
    await calls.close()
    assert 0 < len(started) < 10 * CHUNK_CALLS
    count = len(started)
    await asyncio.sleep(0.01)
    assert len(started) == count


@pytest.mark.looptime
@pytest.mark.parametrize("count, tasks", [(10, 2000), (200, 100), (1000, 2)])
async def test_other_tasks_have_their_turn_while_jobs_are_loaded(
    count, tasks, monkeypatch
):
    # 200 rows were loaded in one piece, whatever the size of their jobs.
    pieces = []
    add_some = JobLoader._add_some

    def add_and_record(loader, rows, progress):
        before = len(loader._engine.jobs)
        is_done = add_some(loader, rows, progress)
        pieces.append(len(loader._engine.jobs) - before)
        return is_done

    monkeypatch.setattr(JobLoader, "_add_some", add_and_record)
    async with FleetCell(members=1, workers=1) as cell:
        specs = [make_job(n, count=tasks, cpu=64_000) for n in range(1, count + 1)]
        for spec in specs:
            cell.store.put(make_job_key(spec.job), encode_job(spec))
        await cell.kill("m0")
        await cell.add_member()
        await cell.wait_for_owner()
        assert sum(pieces) >= count
        assert (max(pieces) - 1) * tasks < CHUNK_WORK


@pytest.mark.looptime
async def test_a_job_of_many_steps_runs_beside_others():
    async with FleetCell(members=3) as cell:
        before = cell.find_owner()
        large = SHAPES["steps"](1000)
        await cell.submit(large, seconds=0.5)
        small = make_job(2)
        await cell.submit(small, seconds=0.5)
        await cell.wait_for_state(small, JobState.SUCCEEDED)
        await cell.wait_for_state(large, JobState.SUCCEEDED, seconds=60.0)
        assert len(cell.audit.starts) == 1001
        assert cell.find_owner() == before


@pytest.mark.looptime
async def test_work_that_holds_the_loop_is_recorded_and_logged(monkeypatch):
    loop, metrics = asyncio.get_running_loop(), Metrics(list)
    times = iter([1.0, 1.005, 2.0, 2.05, 3.0, 3.4])
    monkeypatch.setattr(loop, "time", lambda: next(times))
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            with track_loop_work(metrics, LoopWork.PLAN, steps=7):
                pass
    monkeypatch.undo()
    (line,) = lines
    assert line["event"] == "loop_held"
    assert (line["work"], line["seconds"], line["steps"]) == ("plan", 0.4, 7)
    assert b'loop_held_seconds_count{work="plan"} 2.0' in metrics.render()
