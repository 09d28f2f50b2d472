"""Workers that restart under their id while calls to them are under way."""

import asyncio
from dataclasses import replace

import pytest
from result import Err

from cactustiller.cell.owner.dispatch import Dispatcher
from cactustiller.cell.owner.run_control import StopOrder
from cactustiller.cell.records.runs import RunPhase
from cactustiller.model import ErrorCode, Failure, JobState, Outcome
from standins.fleet import FleetCell, make_job
from standins.fleet.workers import WorkerTrouble
from tests.cell.release_builders import (
    BORN_MS,
    FORMER_BORN_MS,
    NOW,
    list_end,
    list_runs,
    make_sent_run,
)

RESTART_SECONDS = 0.3
LEASE_SECONDS = 6.0
LONGEST_LEASE_SECONDS = 10.0


@pytest.mark.looptime
@pytest.mark.parametrize("late_seconds", [0.6, 2.0])
async def test_order_that_a_restarted_worker_carries_out_late_runs_once(late_seconds):
    # Guards against two runs: the start got no answer, its worker restarted, and the
    # new process carried it out.
    async with FleetCell(workers=2) as cell:
        await asyncio.sleep(1.0)
        for worker in cell.workers.values():
            worker.trouble = WorkerTrouble.ORDERS_LATE
            worker.late_seconds = late_seconds
        spec = make_job(estimate_ms=4000)
        await cell.submit(spec, seconds=4.0)
        await asyncio.sleep(RESTART_SECONDS)
        (name,) = {
            task.worker
            for step in cell.find_engine().jobs[spec.job].iterate_steps()
            for task in step.tasks
        }
        for worker in cell.workers.values():
            worker.trouble = WorkerTrouble.NONE
        cell.workers[name].be_reborn(2)
        cell.list_worker(cell.workers[name])
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


def test_run_that_the_new_process_lists_goes_on():
    # Guards against a second run of a task whose start was answered by the new process
    # before the owner knew of the restart.
    engine, worker, task = make_sent_run(is_confirmed=True)
    engine.apply_listing(worker, list_runs(task), NOW, NOW)
    assert task.phase is RunPhase.RUNNING
    assert worker.runs[task.name] == (task, 1)
    assert not worker.orphaned_runs


def test_end_that_the_new_process_lists_counts():
    # Guards against a task that is run again after it was done in the new process.
    engine, worker, task = make_sent_run(is_confirmed=True)
    engine.apply_listing(worker, list_end(task), NOW, NOW)
    assert task.phase is RunPhase.SUCCEEDED


def test_end_of_a_former_owners_run_in_the_new_process_counts():
    # Guards against the same after a takeover, when the order came from the owner
    # before and the stored row names the former process.
    engine, worker, task = make_sent_run()
    worker.born_ms, task.start_sent_at, worker.is_synchronized = 0, 0.0, False
    engine.apply_listing(worker, list_end(task), NOW, NOW)
    assert task.phase is RunPhase.SUCCEEDED


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_run_that_the_former_process_listed_ends_with_it(is_confirmed):
    # Guards against tasks that wait for orders that can't come any more.
    engine, worker, task = make_sent_run(is_reported=True, is_confirmed=is_confirmed)
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    assert task.phase is RunPhase.WAITING
    assert not worker.runs


def test_confirmed_run_that_the_new_process_has_not_ends_with_the_former():
    # Guards against a task that waits for ever: its start was answered by the former
    # process, which had not listed the run yet.
    engine, worker, task = make_sent_run(is_confirmed=True)
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    assert task.phase is RunPhase.WAITING


def test_unanswered_start_is_settled_by_a_stop_of_the_new_process():
    # Guards against a release by a stop that the former process acknowledged; the new
    # one has seen no stop and may still carry the start out.
    engine, worker, task = make_sent_run()
    task.is_start_unanswered = task.is_stopping = True
    sent = StopOrder(worker, task.name, 1, FORMER_BORN_MS)
    engine.confirm_stop(sent, NOW - 1)
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    engine.confirm_stop(sent, NOW + 0.1)
    engine.apply_listing(worker, list_runs(), NOW + 0.2, NOW + 0.2)
    assert task.phase is RunPhase.ASSIGNED
    (stop,) = engine.find_due_stops()
    assert stop.born_ms == BORN_MS
    engine.confirm_stop(stop, NOW + 0.3)
    engine.apply_listing(worker, list_runs(), NOW + 0.4, NOW + 0.4)
    assert task.phase is RunPhase.WAITING


@pytest.mark.looptime
async def test_end_in_the_new_process_is_not_acknowledged_unseen():
    # Guards against a task that is run again after it was done, since a call that was
    # meant for the former process acknowledged the end in the new one.
    async with FleetCell(workers=1) as cell:
        first, second = make_job(1), make_job(2)
        await cell.submit(first)
        await cell.wait_for_state(first, JobState.SUCCEEDED)
        await asyncio.sleep(1.0)
        worker = cell.workers["w0"]
        worker.trouble, worker.late_seconds = WorkerTrouble.ORDERS_LATE, 1.0
        await cell.submit(second, seconds=0.2)
        await asyncio.sleep(0.1)
        worker.trouble = WorkerTrouble.CUT_OFF_WITH_REFUSALS
        worker.be_reborn(2)
        await asyncio.sleep(1.5)
        assert [end.task for end in worker.ends] == [f"{second.job}.0.0.0"]
        worker.trouble = WorkerTrouble.NONE
        await asyncio.sleep(0.5)
        cell.list_worker(worker)
        await cell.wait_for_state(second, JobState.SUCCEEDED)
        assert cell.audit.count_starts(f"{second.job}.0.0.0") == 1


class CallsToAnEarlierAddress:
    """Calls that another worker rejects at the address that a worker had before."""

    def __init__(self, worker):
        self._worker = worker

    async def hold(self, *arguments):
        """Reject the call after the entry with the new address has been read."""
        self._worker.info = replace(self._worker.info, address="w0:2")
        failure = Failure(
            code=ErrorCode.REPLACED,
            step="hold",
            reason="another process",
            outcome=Outcome.NOT_RUN,
        )
        return Err(failure)


async def test_answer_from_an_earlier_address_releases_no_run():
    # Guards against a second run of a task whose worker restarted at a new address,
    # where a call to the earlier one is answered by another worker.
    engine, worker, task = make_sent_run(is_reported=True)
    calls = CallsToAnEarlierAddress(worker)
    dispatcher = Dispatcher(engine, calls, 1, lambda: None, lambda: None, None)
    await dispatcher._fetch_listing(worker)
    assert not worker.is_reachable
    assert task.phase is RunPhase.RUNNING


def test_late_order_in_a_new_process_gets_the_longest_lease():
    # Guards against a second run beside one that the new process began on an order for
    # the former one: the deadline is far away on a clock that began anew, so that the
    # worker shortens it to its longest lease instead of the owner's.
    engine, worker, task = make_sent_run()
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    worker.is_reachable = False
    engine._clock = lambda: NOW + LONGEST_LEASE_SECONDS
    engine.expire_leases()
    assert task.phase is RunPhase.ASSIGNED
    engine._clock = lambda: NOW + 2 * LONGEST_LEASE_SECONDS
    engine.expire_leases()
    assert task.phase is RunPhase.WAITING


def test_other_runs_of_a_restarted_worker_wait_for_their_own_lease():
    # Guards against tasks that wait for a longer lease than their worker can have.
    engine, worker, task = make_sent_run()
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    task.incarnation = BORN_MS
    worker.is_reachable = False
    engine._clock = lambda: NOW + LEASE_SECONDS + 1.0
    engine.expire_leases()
    assert task.phase is RunPhase.WAITING


def make_kept_run():
    """Return an engine, a worker whose connections broke, and its kept run."""
    engine, worker, task = make_sent_run()
    task.start_sent_at, worker.alive_at, worker.broke_at = NOW - 0.05, NOW - 0.06, NOW
    engine._end_incarnation(worker, BORN_MS, "entry")
    assert worker.runs[task.name] == (task, 1)
    return engine, worker, task


@pytest.mark.parametrize("is_replaced", [True, False])
def test_one_crash_is_charged_once_to_a_kept_run(is_replaced):
    # Guards against a job that is failed by one break of its worker's connections, seen
    # again when the next process is replaced or restarts.
    engine, worker, task = make_kept_run()
    assert task.charges == 1
    if is_replaced:
        engine.end_replaced_worker(worker)
    else:
        engine._end_incarnation(worker, BORN_MS + 1, "entry")
    assert task.charges == 1
    assert not task.step.job.state.is_final


def test_incomplete_report_releases_no_run_of_an_earlier_process():
    # Guards against a second run of a task that is done in the new process, whose end
    # does not fit the first report.
    engine, worker, task = make_sent_run()
    worker.born_ms, task.start_sent_at, worker.is_synchronized = 0, 0.0, False
    engine.apply_listing(worker, list_runs()._replace(is_complete=False), NOW, NOW)
    assert worker.runs[task.name] == (task, 1)
    engine.apply_listing(worker, list_end(task), NOW, NOW)
    assert task.phase is RunPhase.SUCCEEDED


def test_stop_is_sent_again_to_a_process_that_does_not_know_it():
    # Guards against a second run: the former process acknowledged the stop of a start
    # without an answer, and the new one may still carry out that start.
    engine, worker, task = make_sent_run()
    task.is_start_unanswered = task.is_stopping = True
    engine.confirm_stop(StopOrder(worker, task.name, 1, FORMER_BORN_MS), NOW - 2)
    engine.apply_listing(worker, list_runs(born_ms=FORMER_BORN_MS), NOW - 1, NOW - 1)
    assert task.phase is RunPhase.WAITING
    assert engine.find_due_stops() == []
    engine.apply_listing(worker, list_runs(), NOW, NOW)
    stop = StopOrder(worker, task.name, 1, BORN_MS)
    assert engine.find_due_stops() == [stop]
    engine.confirm_stop(stop, NOW)
    engine._stop_sent_at.clear()
    assert engine.find_due_stops() == []
