"""Attribution of crashes to runs, and placement of suspects."""

from dataclasses import replace

import pytest

from cactustiller.cell.decisions.suspect_placement import (
    MAX_ISOLATED_FRACTION,
    QUIET_SECONDS,
    place_suspect,
)
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.crashes import (
    CHANCE_CRASH_SECONDS,
    CHARGES_TO_GIVE_UP,
    MAX_CRASH_SECONDS,
    PROBATION_SECONDS,
    Doubt,
    charge_crash,
    find_charges_to_give_up,
    is_crash,
    prove_run,
)
from cactustiller.cell.records.listings import ListedRun, Listing
from cactustiller.cell.records.progress import decode_progress, encode_progress
from cactustiller.cell.records.runs import JobRun, RunPhase
from cactustiller.cell.records.workers import WorkerLoss
from standins.fleet import make_job
from tests.cell.builders import make_round, make_step, make_worker

NOW = 100.0
RULES = make_job().rules


def make_run(number, started_at, **changes):
    """Return a running task of a new job, whose start was sent at `started_at`."""
    task = make_step(number, **changes).tasks[0]
    task.phase, task.run, task.is_start_sent = RunPhase.RUNNING, 1, True
    task.start_sent_at = task.started_at = started_at
    return task


def make_suspect(number, started_at, **changes):
    """Return a run of a task that is charged with one crash."""
    task = make_run(number, started_at, **changes)
    task.crashes = task.charges = 1
    task.step.suspects.add(task)
    return task


def make_pending_suspect(number=1, **changes):
    """Return a step whose first task is a pending suspect."""
    step = make_step(number, **changes)
    step.tasks[0].crashes = step.tasks[0].charges = 1
    step.suspects.add(step.tasks[0])
    step.eligible_at = NOW
    return step


def make_broken_worker(**changes):
    """Return a worker whose connections broke now, shortly after its last answer."""
    return make_worker(alive_at=NOW - 0.05, broke_at=NOW, **changes)


def test_runs_started_shortly_before_a_crash_become_suspects():
    old, fresh = make_run(1, NOW - 2.0), make_run(2, NOW - 0.02)
    other = make_run(3, NOW - 0.1)
    report = charge_crash(make_broken_worker(), [old, fresh, other])
    assert report.suspects == [fresh, other]
    assert report.culprit is None and report.failed_jobs == []
    assert report.doubts == {old: Doubt.STARTED_EARLIER}
    assert (old.crashes, old.charges) == (1, 0)
    assert (fresh.crashes, fresh.charges) == (1, 1)


def test_the_crash_under_an_isolated_suspect_is_its_own():
    old, suspect = make_run(1, NOW - 2.0), make_suspect(2, NOW - 0.02)
    suspect.charges = CHARGES_TO_GIVE_UP - 1
    report = charge_crash(make_broken_worker(), [old, suspect])
    assert report.culprit is suspect
    assert report.failed_jobs == [suspect.step.job]
    assert old.charges == 0


@pytest.mark.parametrize(
    ("chance_crash_at", "expected"),
    [(NOW - CHANCE_CRASH_SECONDS, 2), (NOW - CHANCE_CRASH_SECONDS + 0.1, 3)],
)
def test_one_more_crash_is_needed_while_workers_crash_by_chance(
    chance_crash_at, expected
):
    # Of the first crash the task beside it may have been the cause.
    task = make_run(1, NOW - 0.02)
    needed = find_charges_to_give_up(chance_crash_at, NOW)
    reports = [
        charge_crash(make_broken_worker(), tasks, needed)
        for tasks in ([task, make_run(2, NOW - 0.02)], [task], [task])
    ]
    given_up = [bool(report.failed_jobs) for report in reports]
    assert given_up == [crash >= expected for crash in (1, 2, 3)]


def test_a_task_beside_the_cause_of_crashes_is_not_given_up():
    task = make_run(1, NOW - 0.02)
    for number in range(2, 2 + 2 * CHARGES_TO_GIVE_UP):
        other = make_suspect(number, NOW - 0.02)
        report = charge_crash(make_broken_worker(), [task, other])
        assert report.failed_jobs == []
    assert task.charges == 1


@pytest.mark.parametrize(
    ("changes", "worker_changes", "doubt"),
    [
        ({}, {}, None),
        ({}, {"broke_at": 0.0}, Doubt.BREAK_UNSEEN),
        ({"is_start_sent": False}, {}, Doubt.NOT_SENT),
        ({"start_sent_at": NOW + 0.001}, {}, Doubt.NOT_SENT),
        ({"start_sent_at": 0.0}, {}, Doubt.PREVIOUS_OWNER),
        ({"start_sent_at": NOW - MAX_CRASH_SECONDS - 0.01}, {}, Doubt.STARTED_EARLIER),
        ({"started_at": 0.0}, {}, None),
        ({"started_at": 0.0}, {"alive_at": NOW - 0.5}, Doubt.START_UNANSWERED),
    ],
)
@pytest.mark.parametrize("is_service", [False, True])
def test_a_crash_without_evidence_never_fails_a_job(
    changes, worker_changes, doubt, is_service
):
    task = make_suspect(1, NOW - 0.02, is_service=is_service)
    task.charges = CHARGES_TO_GIVE_UP - 1
    for name, value in changes.items():
        setattr(task, name, value)
    worker = make_broken_worker()
    for name, value in worker_changes.items():
        setattr(worker, name, value)
    for _ in range(10 if doubt else 1):
        report = charge_crash(worker, [task])
        assert report.doubts.get(task) is doubt
        assert bool(report.failed_jobs) is (doubt is None)


@pytest.mark.parametrize(
    ("loss", "is_draining", "expected"),
    [
        (WorkerLoss.RESTARTED, False, True),
        (WorkerLoss.GONE, False, True),
        (WorkerLoss.SILENT, False, False),
        (WorkerLoss.LEFT, True, False),
        (WorkerLoss.RESTARTED, True, False),
        (WorkerLoss.GONE, True, False),
    ],
)
def test_which_losses_are_crashes(loss, is_draining, expected):
    worker = make_worker()
    worker.info = replace(worker.info, is_draining=is_draining)
    assert is_crash(worker, loss) is expected


@pytest.mark.parametrize(
    ("after_seconds", "is_proven"),
    [(PROBATION_SECONDS - 0.01, False), (PROBATION_SECONDS, True)],
)
def test_a_report_past_the_probation_proves_a_suspect(after_seconds, is_proven):
    suspect = make_suspect(1, NOW)
    prove_run(suspect, NOW + after_seconds)
    assert (suspect not in suspect.step.suspects) is is_proven
    assert (suspect.crashes, suspect.charges == 0) == (1, is_proven)


def test_a_suspect_takes_the_worker_with_the_fewest_runs_for_itself():
    busy, idle = make_worker("w0"), make_worker("w1")
    busy.runs["other"] = (None, 1)
    current = make_round([busy, idle], now=NOW)
    step = make_pending_suspect()
    assert place_suspect(current, step, RULES, True)
    assert [p.worker for p in current.placements] == [idle]
    assert list(current.free.iterate_fitting(1)) == [busy]


def test_the_other_tasks_of_a_step_wait_for_its_suspect():
    current = make_round([make_worker("w0"), make_worker("w1")], now=NOW)
    step = make_pending_suspect(count=3)
    step.tasks[0].phase, step.tasks[0].is_start_sent = RunPhase.RUNNING, True
    step.tasks[0].start_sent_at = NOW - 0.2
    assert place_suspect(current, step, RULES, True)
    assert current.placements == []


def test_a_suspect_waits_for_a_worker_without_fresh_runs():
    worker = make_worker("w0", last_placement_at=NOW - QUIET_SECONDS / 2)
    step = make_pending_suspect()
    assert place_suspect(make_round([worker], now=NOW), step, RULES, True)
    later = make_round([worker], now=NOW + QUIET_SECONDS)
    assert place_suspect(later, step, RULES, True)
    assert len(later.placements) == 1


def test_a_suspect_does_not_wait_for_a_quiet_worker_for_ever():
    step = make_pending_suspect()
    for tenth in range(30):
        now = NOW + tenth / 10
        current = make_round([make_worker("w0", last_placement_at=now)], now=now)
        place_suspect(current, step, RULES, True)
        if current.placements:
            return
    pytest.fail("never placed")


def test_suspects_leave_most_workers_to_others():
    workers = [make_worker(f"w{n:02d}") for n in range(20)]
    current = make_round(workers, now=NOW)
    for number in range(1, 21):
        place_suspect(current, make_pending_suspect(number), RULES, True)
    assert len(current.placements) <= MAX_ISOLATED_FRACTION * 20 + 1


def test_nothing_is_placed_beside_a_suspect_until_it_is_proven():
    now = [NOW]
    engine = Engine(lambda: now[0], lambda: 1000)
    worker = make_worker("w0", born_ms=1)
    engine.workers["w0"] = worker
    engine.add_job(make_job(1))
    (task,) = next(engine.jobs["0" * 15 + "1"].iterate_steps()).tasks
    task.crashes = task.charges = 1
    task.step.suspects.add(task)
    engine._suspects.add(task)
    engine.plan()
    engine.confirm_batch(engine.collect(10))
    engine.confirm_start(task, 1, NOW)
    engine.add_job(make_job(2))
    engine.plan()
    assert list(worker.runs) == [task.name]
    now[0] += PROBATION_SECONDS
    active = (ListedRun(task.name, 1, "", 10, 0.0),)
    engine.apply_listing(worker, Listing(0, 1, active, ()), now[0], now[0])
    engine.plan()
    assert len(worker.runs) == 2


def test_crashes_survive_in_the_progress_row():
    job = JobRun(make_job(count=3))
    step = job.open_occurrence(0)[0]
    lost, running, _ = step.tasks
    lost.run, lost.crashes, lost.charges = 2, 2, 1
    running.phase, running.run, running.worker = RunPhase.RUNNING, 1, "w1"
    running.incarnation = 7
    step.pending_count = 2
    (decoded,) = decode_progress(job.spec, encode_progress(job)).iterate_steps()
    assert (decoded.tasks[0].crashes, decoded.tasks[0].charges) == (2, 1)
    assert decoded.suspects == {decoded.tasks[0]}
    assert decoded.tasks[1].incarnation == 7


def test_progress_rows_of_earlier_releases_are_read():
    job = decode_progress(make_job(), b'[1,0,0,1,[[0,[[0,[[1,0,"w1",""]]]]]]]')
    (task,) = next(job.iterate_steps()).tasks
    assert (task.worker, task.crashes, task.incarnation) == ("w1", 0, 0)


def test_a_restart_during_a_takeover_counts_as_a_crash():
    engine = Engine(lambda: NOW, lambda: 1000)
    engine.workers["w0"] = worker = make_worker("w0")
    progress = b'[1,0,0,1,[[0,[[0,[[1,0,"w0",""]]]]]],[],{"w0":5}]'
    engine.add_job(make_job(1), progress)
    engine.apply_listing(worker, Listing(0, 9, (), ()), NOW, NOW)
    (task,) = next(engine.jobs["0" * 15 + "1"].iterate_steps()).tasks
    assert (task.phase, task.crashes) == (RunPhase.WAITING, 1)
