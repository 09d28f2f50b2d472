"""Copies of late runs in a whole cell, with failures of owners, workers and calls."""

import asyncio
import random

import orjson
import pytest

from cactustiller.cell import Acceptance, ListedEnd, Listing, RunEnd
from cactustiller.cell.copies import make_copy
from cactustiller.cell.engine import Engine
from cactustiller.cell.progress import COPIES_KEY, decode_progress, encode_progress
from cactustiller.cell.runs import JobRun, RunPhase
from cactustiller.cell.workers import WorkerInfo
from cactustiller.model import Amounts, JobState, WorkerId
from standins.fleet import FleetCell, make_job, make_queue
from standins.fleet.store import Trouble
from standins.fleet.workers import WorkerTrouble

pytestmark = pytest.mark.looptime

COUNT = 20
SLOW = 7
WORKERS = 8


def make_cell(workers=WORKERS, **settings):
    """Return a cell in which two tasks of one core may have copies for each team."""
    return FleetCell(workers=workers, **settings)


async def submit_with_straggler(
    cell, seconds=2.0, slowdown=7.0, number=1, queue=None, **changes
):
    """Hand in a job of which the first run of one task is slow; return its spec."""
    changes = {"count": COUNT, "allows_copies": True, "estimate_ms": 2000} | changes
    spec = make_job(number, queue, **changes)
    cell.slow_runs[find_slow_task(spec), 1] = slowdown
    assert await cell.submit(spec, seconds) is Acceptance.ACCEPTED
    return spec


def find_slow_task(spec):
    return f"{spec.job}.0.0.{SLOW % spec.steps[0].count}"


def find_runs(cell, name):
    """Return the runs of a task on workers, as dict of run number to worker."""
    return {
        worker.runs[name].run: worker
        for worker in cell.workers.values()
        if name in worker.runs
    }


async def wait_for_copy(cell, spec):
    """Wait until both runs of the slow task are on workers; return the workers."""
    name = find_slow_task(spec)
    async with asyncio.timeout(20.0):
        while len(find_runs(cell, name)) < 2:
            await asyncio.sleep(0.01)
    runs = find_runs(cell, name)
    return runs[min(runs)], runs[max(runs)]


def list_started_runs(cell, spec):
    """Return the run numbers of the slow task in the order of their starts."""
    name = find_slow_task(spec)
    return [run for task, run, _ in cell.audit.starts if task == name]


async def wait_for_no_runs(cell):
    async with asyncio.timeout(20.0):
        while any(worker.runs for worker in cell.workers.values()):
            await asyncio.sleep(0.05)


def check_released(cell):
    """Check that neither capacity nor team usage nor a copy is left counted."""
    engine = cell.find_engine()
    for worker in engine.workers.values():
        assert not worker.runs
        assert not worker.orphaned_runs
        assert worker.free_cpu == worker.info.capacity[0]
        assert worker.free_memory == worker.info.capacity[1]
    assert all(not any(used) for used in engine._used.values())
    assert engine.speculation.count_copies() == 0


async def finish(cell, spec, state=JobState.SUCCEEDED):
    await cell.wait_for_state(spec, state)
    await wait_for_no_runs(cell)
    await asyncio.sleep(2.5)
    check_released(cell)


async def test_a_step_ends_without_waiting_for_its_straggler():
    loop = asyncio.get_running_loop()
    async with make_cell() as cell:
        started_at = loop.time()
        spec = await submit_with_straggler(cell)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert loop.time() - started_at < 6.0
        assert cell.audit.copied == {find_slow_task(spec)}
        assert len(cell.audit.starts) == COUNT + 1
        await finish(cell, spec)


async def test_nothing_is_copied_without_consent():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, allows_copies=False)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert len(cell.audit.starts) == COUNT
        assert cell.audit.copied == set()


async def test_the_first_run_may_end_before_its_copy():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        cell.slow_runs[find_slow_task(spec), 2] = 20.0
        await wait_for_copy(cell, spec)
        await finish(cell, spec)
        assert len(cell.audit.starts) == COUNT + 1


async def test_both_runs_done_at_once_complete_the_task_once():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        first, second = await wait_for_copy(cell, spec)
        name = find_slow_task(spec)
        first.runs[name].seconds = second.runs[name].seconds = 0.3
        await finish(cell, spec)
        assert len(cell.audit.starts) == COUNT + 1


@pytest.mark.parametrize("crashes", [0, 1])
async def test_both_runs_done_at_once_and_the_owner_and_a_worker_lost(crashes):
    # A success of which only one end is acknowledged must be stored before that.
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        workers = await wait_for_copy(cell, spec)
        name = find_slow_task(spec)
        workers[0].runs[name].seconds = workers[1].runs[name].seconds = 0.3
        cell.stores[cell.find_owner()].trouble = Trouble.SILENT
        await asyncio.sleep(0.4)
        await cell.kill(cell.find_owner())
        workers[crashes].crash()
        await cell.wait_for_owner()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


@pytest.mark.parametrize("seconds", [0.0, 0.02, 0.05, 0.5, 1.5])
async def test_the_owner_is_lost_after_a_copy_was_placed(seconds):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        async with asyncio.timeout(20.0):
            while not cell.find_engine().speculation.count_copies():
                await asyncio.sleep(0.001)
        await asyncio.sleep(seconds)
        owner = cell.find_owner()
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await finish(cell, spec)


async def test_a_stored_copy_that_never_started_does_not_hold_up_its_task():
    # The owner is lost between the transaction and the start.
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        owner = cell.find_owner()
        cell.worker_clients[owner].start = _never_answer
        async with asyncio.timeout(20.0):
            while not cell.find_engine().speculation.count_copies():
                await asyncio.sleep(0.001)
        engine = cell.find_engine()
        async with asyncio.timeout(5.0):
            while not _find_copy(engine, spec).is_start_sent:
                await asyncio.sleep(0.001)
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await finish(cell, spec)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert 2 not in runs


async def _never_answer(worker, order):
    await asyncio.sleep(3600.0)


def _find_copy(engine, spec):
    (step,) = engine.jobs[spec.job].iterate_steps()
    return step.tasks[SLOW].copy


async def test_a_new_owner_knows_both_runs():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        _, second = await wait_for_copy(cell, spec)
        await asyncio.sleep(0.5)
        owner = cell.find_owner()
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await asyncio.sleep(0.5)
        copy = _find_copy(cell.find_engine(), spec)
        assert (copy.run, copy.worker) == (2, second.info.worker)
        assert copy.phase is RunPhase.RUNNING
        assert len(find_runs(cell, copy.name)) == 2
        await finish(cell, spec)
        assert len(cell.audit.starts) == COUNT + 1


@pytest.mark.parametrize("late_seconds", [0.3, 3.0])
async def test_an_unanswered_start_of_a_copy_may_be_carried_out_late(late_seconds):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=5.0)
        async with asyncio.timeout(10.0):
            while not any(task.started_at for task in _list_tasks(cell, spec)):
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        slow = next(iter(find_runs(cell, find_slow_task(spec)).values()))
        for worker in cell.workers.values():
            if worker is not slow:
                worker.late_seconds = late_seconds
                worker.trouble = WorkerTrouble.ORDERS_LATE
        await asyncio.sleep(6.0)
        for worker in cell.workers.values():
            worker.trouble = WorkerTrouble.NONE
        await finish(cell, spec)


def _list_tasks(cell, spec):
    (step,) = cell.find_engine().jobs[spec.job].iterate_steps()
    return step.tasks


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_the_copy_continues_when_the_first_runs_worker_crashes(keeps_ids):
    async with make_cell() as cell:
        cell.keeps_ids = keeps_ids
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        first, _ = await wait_for_copy(cell, spec)
        await asyncio.sleep(1.0)
        first.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert runs == [1, 2]
        await finish(cell, spec)


@pytest.mark.parametrize("keeps_ids", [False, True])
async def test_the_first_run_continues_when_the_copys_worker_crashes(keeps_ids):
    async with make_cell() as cell:
        cell.keeps_ids = keeps_ids
        spec = await submit_with_straggler(cell)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        _, second = await wait_for_copy(cell, spec)
        await asyncio.sleep(1.0)
        second.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert runs == [1, 2]
        await finish(cell, spec)


async def test_both_runs_lost_are_followed_by_a_higher_run():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        for worker in await wait_for_copy(cell, spec):
            worker.crash()
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        runs = [
            run for task, run, _ in cell.audit.starts if task == find_slow_task(spec)
        ]
        assert runs == [1, 2, 3]
        await finish(cell, spec)


@pytest.mark.parametrize("index", [0, 1])
async def test_a_silent_workers_run_is_replaced_by_the_other(index):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        workers = await wait_for_copy(cell, spec)
        workers[index].trouble = WorkerTrouble.CUT_OFF
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        workers[index].trouble = WorkerTrouble.NONE
        await finish(cell, spec)


async def fail_run(worker, name):
    """Let one run of a worker fail."""
    worker.trouble = WorkerTrouble.FAILING
    async with asyncio.timeout(5.0):
        while name in worker.runs:
            await asyncio.sleep(0.005)
    worker.trouble = WorkerTrouble.NONE


@pytest.mark.parametrize("index", [0, 1])
async def test_the_failure_of_either_run_counts_and_the_other_continues(index):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 2.0
        workers = await wait_for_copy(cell, spec)
        await asyncio.sleep(0.3)
        await fail_run(workers[index], find_slow_task(spec))
        await asyncio.sleep(0.3)
        task = _list_tasks(cell, spec)[SLOW]
        assert task.failures == 1
        assert task.run == 2 - index
        assert task.copy is None
        await finish(cell, spec)
        assert cell.audit.count_starts(find_slow_task(spec)) == 2


async def test_a_task_with_one_attempt_left_is_not_copied():
    queue = make_queue(max_attempts=1)
    async with make_cell(queues=[queue]) as cell:
        spec = await submit_with_straggler(cell, queue=queue)
        await finish(cell, spec)
        assert cell.audit.copied == set()


async def test_the_number_of_an_ended_copy_is_not_used_again_after_a_takeover():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        first, second = await wait_for_copy(cell, spec)
        await asyncio.sleep(0.3)
        await fail_run(second, find_slow_task(spec))
        await asyncio.sleep(0.3)
        owner = cell.find_owner()
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        task = _list_tasks(cell, spec)[SLOW]
        assert (task.run, task.copy_run, task.failures) == (1, 2, 1)
        await fail_run(first, find_slow_task(spec))
        await finish(cell, spec)
        runs = list_started_runs(cell, spec)
        assert runs == sorted(set(runs))
        assert runs[:2] == [1, 2]


async def test_cancellation_stops_both_runs():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell)
        cell.slow_runs[find_slow_task(spec), 2] = 6.0
        await wait_for_copy(cell, spec)
        outcome = await cell.members["m1"].intake.cancel(spec.job)
        assert outcome is Acceptance.ACCEPTED
        # Both at once, not the copy only after the first run.
        await asyncio.sleep(0.5)
        assert not find_runs(cell, find_slow_task(spec))
        await finish(cell, spec, JobState.CANCELLED)
        assert len(cell.audit.starts) == COUNT + 1


async def test_cancellation_and_takeover_stop_both_runs():
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        await wait_for_copy(cell, spec)
        owner = cell.find_owner()
        member = next(name for name in cell.members if name != owner)
        assert await cell.members[member].intake.cancel(spec.job) is Acceptance.ACCEPTED
        await cell.kill(owner)
        await cell.wait_for_owner(besides=owner)
        await finish(cell, spec, JobState.CANCELLED)


@pytest.mark.parametrize("index", [0, 1])
async def test_a_run_on_a_draining_worker_is_replaced_by_the_other(index):
    async with make_cell() as cell:
        spec = await submit_with_straggler(cell, slowdown=12.0)
        cell.slow_runs[find_slow_task(spec), 2] = 2.0
        workers = await wait_for_copy(cell, spec)
        cell.drain_worker(workers[index].info.worker, 1000)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        await wait_for_no_runs(cell)
        assert cell.audit.count_starts(find_slow_task(spec)) == 2


async def test_no_copy_starts_in_an_evacuated_zone():
    async with make_cell(zones=("east", "west")) as cell:
        spec = await submit_with_straggler(cell)
        await cell.wait_for_state(spec, JobState.RUNNING)
        (first,) = find_runs(cell, find_slow_task(spec)).values()
        other = "west" if first.info.zone == "east" else "east"
        cell.evacuate_zone(other)
        _, second = await wait_for_copy(cell, spec)
        assert second.info.zone == first.info.zone
        await finish(cell, spec)


async def test_a_copy_runs_on_an_approved_worker():
    queue = make_queue("approved", needs_approval=True)
    cell = make_cell(queues=[queue], approves=lambda _, worker: worker in ("w1", "w4"))
    async with cell:
        spec = await submit_with_straggler(cell, queue=queue)
        await finish(cell, spec)
        assert cell.audit.copied
        assert {start[2] for start in cell.audit.starts} <= {"w1", "w4"}


async def test_a_teams_limit_includes_its_copies():
    limit = (COUNT * 1000, 0, 0)
    async with make_cell(limit=limit) as cell:
        spec = await submit_with_straggler(cell)
        most = 0
        while cell.find_engine().jobs[spec.job].state is not JobState.SUCCEEDED:
            running = sum(len(worker.runs) for worker in cell.workers.values())
            most = max(most, running)
            await asyncio.sleep(0.01)
        assert most == COUNT
        # As soon as other tasks have ended there is room for the copy.
        assert cell.audit.copied


async def test_no_copy_starts_while_work_on_time_waits():
    capacity = Amounts(5_000, 65_536, 0)
    async with make_cell(workers=5, capacity=capacity) as cell:
        spec = await submit_with_straggler(cell, cpu=250, slowdown=4.0)
        await cell.wait_for_state(spec, JobState.RUNNING)
        # The gang fits on no worker until the job has ended, and copies would fit.
        waiting = make_job(2, count=5, cpu=5_000, is_gang=True, estimate_ms=30_000)
        await cell.submit(waiting)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)
        assert cell.audit.copied == set()
        await cell.wait_for_state(waiting, JobState.SUCCEEDED)


async def test_a_limit_per_worker_includes_copies():
    async with make_cell(workers=4) as cell:
        spec = await submit_with_straggler(cell, count=4, max_per_worker=1)
        name = find_slow_task(spec)
        async with asyncio.timeout(30.0):
            while cell.find_engine().jobs[spec.job].state is not JobState.SUCCEEDED:
                for worker in cell.workers.values():
                    assert len(worker.runs) <= 1
                await asyncio.sleep(0.01)
        assert cell.audit.copied == {name}


async def test_copies_keep_within_their_budget():
    # 4 % of 256 cores is room for ten copies, and 2 % for five of a team.
    async with make_cell() as cell:
        specs = []
        for number in range(1, 9):
            specs.append(await submit_with_straggler(cell, number=number, seconds=3.0))
        most = 0
        async with asyncio.timeout(60.0):
            while any(
                cell.find_engine().jobs[spec.job].state is not JobState.SUCCEEDED
                for spec in specs
            ):
                most = max(most, cell.find_engine().speculation.count_copies())
                await asyncio.sleep(0.01)
        assert most == 5


async def disturb(cell, chance, seconds):
    """Disturb owners, workers, calls and the store at random for some time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        await asyncio.sleep(chance.uniform(0.2, 1.5))
        workers = [
            worker
            for worker in cell.workers.values()
            if worker.trouble is WorkerTrouble.NONE
        ]
        worker = chance.choice(workers)
        kind = chance.randrange(6)
        if kind == 0:
            await cell.kill(await cell.wait_for_owner())
            await cell.add_member()
        elif kind == 1 and len(workers) > WORKERS // 2:
            worker.crash()
        elif kind == 2:
            worker.trouble = WorkerTrouble.CUT_OFF
            loop.call_later(chance.uniform(0.5, 9.0), restore_worker, worker)
        elif kind == 3:
            worker.trouble = WorkerTrouble.ORDERS_LATE
            worker.late_seconds = chance.uniform(0.1, 3.0)
            loop.call_later(chance.uniform(0.5, 3.0), restore_worker, worker)
        elif kind == 4:
            worker.trouble = WorkerTrouble.STANDING_STILL
            loop.call_later(chance.uniform(0.5, 3.0), restore_worker, worker)
        else:
            store = cell.stores[await cell.wait_for_owner()]
            store.trouble = chance.choice(
                [Trouble.REFUSING, Trouble.SILENT, Trouble.CARRYING_OUT_LATE]
            )
            await asyncio.sleep(chance.uniform(0.1, 2.0))
            store.trouble = Trouble.NONE


def restore_worker(worker):
    if worker.trouble is not WorkerTrouble.CRASHED:
        worker.trouble = WorkerTrouble.NONE


@pytest.mark.parametrize("seed", range(2))
async def test_disturbances_at_random(seed):
    # The audit finds a third run, a run after success, and an old number.
    chance = random.Random(seed)
    async with make_cell(members=4) as cell:
        cell.keeps_ids = bool(seed % 2)
        specs = []
        disturbance = asyncio.create_task(disturb(cell, chance, 25.0))
        for number in range(1, 17):
            spec = make_job(
                number, count=10, allows_copies=bool(number % 4), estimate_ms=2000
            )
            for index in range(10):
                for run in range(1, 4):
                    if chance.random() < 0.1:
                        name = f"{spec.job}.0.0.{index}"
                        cell.slow_runs[name, run] = chance.uniform(3.0, 9.0)
            member = chance.choice(list(cell.members))
            await cell.submit(spec, chance.uniform(0.5, 3.0), member=member)
            specs.append(spec)
            await asyncio.sleep(chance.uniform(0.0, 2.0))
        await disturbance
        await asyncio.sleep(30.0)
        await wait_for_no_runs(cell)
        await asyncio.sleep(8.0)
        check_released(cell)
        states = cell.find_engine().published_states
        assert all(states[job].is_final for job in states)
        assert cell.audit.copied


# Engine


def end_run(engine, worker, task, run, end=RunEnd.DONE):
    ended = (ListedEnd(worker.processed_through + 1, task, run, end, ""),)
    engine.apply_listing(worker, Listing(50_000, 1, (), ended), 50.0, 50.0)


@pytest.mark.parametrize("first", ["w1", "w2"])
def test_no_end_is_acknowledged_before_the_success_is_stored(first):
    # The owner may be lost before it is stored, together with the other worker.
    engine = Engine(lambda: 50.0, lambda: 50_000)
    job, step = make_job_run()
    add_copy(step.tasks[0])
    engine.add_job(job.spec, encode_progress(job))
    engine.update_workers(
        {
            WorkerId(name): WorkerInfo(
                WorkerId(name), f"{name}:1", "recon", "z", Amounts(32_000, 65_536, 0)
            )
            for name in ("w1", "w2")
        }
    )
    for worker in engine.workers.values():
        worker.is_reachable = worker.is_synchronized = True
    engine.collect(96)
    name = step.tasks[0].name
    workers = [engine.workers["w1"], engine.workers["w2"]]
    order = workers if first == "w1" else workers[::-1]
    for worker in order:
        end_run(engine, worker, name, 1 + workers.index(worker))
    engine.acknowledge_ends()
    assert [worker.acked_through for worker in workers] == [0, 0]
    engine.confirm_batch(engine.collect(96))
    engine.acknowledge_ends()
    assert [worker.acked_through for worker in workers] == [1, 1]


# Rows


def make_job_run():
    job = JobRun(make_job(count=3, allows_copies=True))
    step = job.open_occurrence(0)[0]
    for task in step.tasks:
        task.phase, task.run, task.worker = RunPhase.RUNNING, 1, WorkerId("w1")
    step.pending_count = 0
    return job, step


def add_copy(task, worker="w2"):
    copy = make_copy(task)
    copy.phase, copy.run, copy.worker = RunPhase.RUNNING, 2, WorkerId(worker)
    task.copy_run = 2
    return copy


def test_a_copy_is_restored_from_its_row():
    job, step = make_job_run()
    copy = add_copy(step.tasks[1])
    copy.incarnation, step.tasks[1].incarnation = 7, 5
    (restored,) = decode_progress(job.spec, encode_progress(job)).iterate_steps()
    assert [run.run for run in restored.iterate_runs()] == [1, 1, 2, 1]
    copy = restored.tasks[1].copy
    assert (copy.worker, copy.phase, copy.incarnation) == ("w2", RunPhase.ASSIGNED, 7)
    assert restored.tasks[1].copy_run == 2
    assert copy.original is restored.tasks[1]


def test_a_row_without_copies_is_as_before():
    job, _ = make_job_run()
    assert orjson.loads(encode_progress(job)) == [
        0,
        0,
        0,
        0,
        [[0, [[0, [[1, 0, "w1", ""]] * 3]]]],
    ]


def test_the_previous_release_can_read_a_row_with_a_copy():
    # It takes exactly two fields after the occurrences: crashes and the start of each
    # worker process by its id, and looks up ids only.
    job, step = make_job_run()
    add_copy(step.tasks[1])
    fields = orjson.loads(encode_progress(job))
    assert len(fields) == 7
    assert fields[5] == []
    assert set(fields[6]) == {COPIES_KEY}
    tasks = fields[4][0][1][0][1]
    assert tasks == [[1, 0, "w1", ""]] * 3


def test_a_row_of_an_earlier_release_has_no_copies():
    job, _ = make_job_run()
    row = orjson.dumps([1, 0, 0, 1, [[0, [[0, [[1, 0, "w1", ""], 0, 1]]]]]])
    (step,) = decode_progress(job.spec, row).iterate_steps()
    assert [task.copy for task in step.tasks] == [None] * 3
