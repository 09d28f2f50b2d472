"""Choice of the workers for copies, which must not delay work on time."""

import pytest

from cactustiller.cell.decisions.copy_placement import WaitingWork, place_copies
from cactustiller.cell.decisions.ordering import (
    IN_TIME,
    LATE,
    LATE_URGENT,
    URGENT,
    WORTHLESS,
)
from cactustiller.cell.decisions.placement_round import PlacementRound
from cactustiller.cell.decisions.stragglers import CopiesBudget, LateRun
from cactustiller.cell.records.copies import make_copy
from cactustiller.cell.records.runs import RunPhase
from cactustiller.cell.records.specs import QueueRules

from .builders import SERVICE, make_order_key, make_round, make_step, make_worker

RULES = QueueRules(SERVICE)
APPROVED = QueueRules(SERVICE, needs_approval=True)


def make_late_run(count=1, gain=5.0, number=1, **changes):
    """Return a late run on worker w0, whose step's other tasks run there too."""
    step = make_step(number, count=count, allows_copies=True, **changes)
    for task in step.tasks:
        task.phase, task.run, task.worker = RunPhase.RUNNING, 1, "w0"
    step.pending_count = 0
    return LateRun(step.tasks[0], gain + 1.0, 1.0)


def make_workers(count=3):
    return [make_worker(f"w{index}", cpu=200_000) for index in range(count)]


def choose(late, workers, ordered=(), rules=RULES, current_round=None):
    """Return the ids of the workers of the copies that are placed."""
    current_round = current_round or make_round(workers)
    waiting = WaitingWork(current_round, ordered)
    runs = late if isinstance(late, list) else [late]
    chosen = []
    entries = [(run, rules) for run in runs]
    budget = CopiesBudget(workers)
    for run, worker in place_copies(current_round, entries, waiting, budget):
        copy = make_copy(run.task)
        copy.phase, copy.worker = RunPhase.ASSIGNED, worker.info.worker
        current_round.assign(copy, worker)
        chosen.append(worker.info.worker)
    return chosen


def make_waiting(band, team="other", rules=RULES, **changes):
    step = make_step(9, **changes)
    object.__setattr__(step.job.spec, "team", team)
    return make_order_key(band), step, rules


def test_a_copy_goes_to_the_emptiest_other_worker():
    workers = make_workers()
    workers[1].free_cpu -= 1000
    assert choose(make_late_run(), workers) == ["w2"]
    assert choose(make_late_run(), workers[:1]) == []


@pytest.mark.parametrize(
    ("band", "expected"),
    [
        (URGENT, []),
        (LATE_URGENT, []),
        (IN_TIME, []),
        (IN_TIME + 5, []),
        (LATE, ["w1"]),
        (WORTHLESS, ["w1"]),
    ],
)
def test_a_copy_takes_no_capacity_for_which_work_on_time_waits(band, expected):
    assert choose(make_late_run(), make_workers(), [make_waiting(band)]) == expected


def test_work_without_pending_tasks_does_not_wait():
    entry = make_waiting(URGENT)
    entry[1].pending_count = 0
    assert choose(make_late_run(), make_workers(), [entry]) == ["w1"]


def test_work_for_other_workers_does_not_wait_for_the_same_capacity():
    label = make_waiting(URGENT, required_label="rare")
    service = make_waiting(URGENT, rules=QueueRules("other service"))
    unapproved = make_waiting(URGENT, rules=APPROVED)
    ordered = [label, service, unapproved]
    assert choose(make_late_run(), make_workers(), ordered) == ["w1"]


@pytest.mark.parametrize(("team", "expected"), [("team", []), ("other", ["w1"])])
def test_work_over_its_teams_limit_waits_for_runs_of_the_team_only(team, expected):
    workers = make_workers()
    late = make_late_run(cpu=500)
    current_round = PlacementRound(
        100.0,
        workers,
        lambda _, amounts, max_count: max_count if amounts[0] == 500 else 0,
        lambda _, amounts: None,
    )
    ordered = [make_waiting(URGENT, team, cpu=1000)]
    assert choose(late, workers, ordered, current_round=current_round) == expected


def test_a_copy_counts_against_its_teams_limit():
    workers = make_workers()
    full = make_round(workers, team_room=0)
    assert choose(make_late_run(), workers, current_round=full) == []


def test_a_copy_counts_against_the_limit_per_worker():
    late = make_late_run(count=3, max_per_worker=1)
    late.task.step.tasks[1].worker = "w1"
    late.task.step.tasks[2].worker = "w3"
    workers = make_workers()
    first, second = late, LateRun(late.task.step.tasks[1], 2.0, 1.0)
    assert choose([first, second], workers) == ["w2"]


def test_the_run_with_most_to_gain_is_copied_first():
    # 2 % of 200 cores is room for one copy of a team.
    late = [make_late_run(gain=gain, number=gain, cpu=3000) for gain in (1, 3, 2)]
    workers = make_workers(2)
    current_round = make_round(workers)
    waiting = WaitingWork(current_round, ())
    entries = [(run, RULES) for run in late]
    budget = CopiesBudget(workers[:1])
    placed = [
        run.gain
        for run, _ in place_copies(current_round, entries, waiting, budget)
        if make_copy(run.task)
    ]
    assert placed == [3]


def reserve(worker, task):
    worker.reserved_for = object()


def fail(worker, task):
    task.step.failed_on.add(worker.info.worker)


def orphan(worker, task):
    worker.orphaned_runs[task.name, 4] = None


def fill(worker, task):
    worker.free_memory = 0


@pytest.mark.parametrize("change", [reserve, fail, orphan, fill])
def test_a_copy_avoids_workers_with_something_against_them(change):
    late, workers = make_late_run(), make_workers(2)
    current_round = make_round(workers)
    change(workers[1], late.task)
    assert choose(late, workers, current_round=current_round) == []


class Ranker:
    def rank(self, step, worker):
        return int(worker.info.worker == "w1")


def test_a_copy_avoids_slow_workers():
    workers = make_workers()
    current_round = PlacementRound(
        100.0, workers, lambda *_: 1, lambda *_: None, rankers=[Ranker()]
    )
    assert choose(make_late_run(), workers, current_round=current_round) == ["w2"]


def test_approval_is_requested_for_a_copy_whose_tickets_have_expired():
    late, workers = make_late_run(), make_workers()
    step = late.task.step
    step.approved = {"w0": "t", "w1": "t"}
    step.approved_until = dict.fromkeys(step.approved, 99.0)
    current_round = make_round(workers)
    assert choose(late, workers, (), APPROVED, current_round) == []
    assert current_round.steps_needing_approval == [step]
    step.approved_until["w1"] = 105.0
    assert choose(late, workers, (), APPROVED) == ["w1"]
