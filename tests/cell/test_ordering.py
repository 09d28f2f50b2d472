from dataclasses import replace

from cactustiller.cell.decisions.ordering import (
    IN_TIME,
    LATE,
    LATE_URGENT,
    URGENT,
    WORTHLESS,
    find_start_limits,
    make_order_key,
)
from cactustiller.cell.records.runs import JobRun
from cactustiller.cell.records.specs import QueueRules, StepSpec
from cactustiller.cell.records.step_graph import build_step_graph
from standins.fleet import make_job

from .builders import make_step

RULES = QueueRules("recon", priority=1, slack_factor=2.0, objective_ms=1000.0)


def make_key(step, rules, now_ms):
    return make_order_key(step, rules, find_start_limits(step, rules), now_ms)


def test_the_band_drops_from_in_time_to_late_to_worthless():
    step = make_step(estimate_ms=1000)
    # The objective is 3 s, so the latest start on time is 2 s after acceptance. A start
    # takes 0.1 s, and a tenth of the run time is kept as a margin.
    assert make_key(step, RULES, 1790).band == IN_TIME
    assert make_key(step, RULES, 1810).band == LATE
    assert make_key(step, RULES, 2100).band == LATE
    assert make_key(step, RULES, 8100).band == WORTHLESS


def test_the_highest_priority_is_urgent_only_while_it_is_in_time():
    rules = replace(RULES, priority=0)
    assert make_key(make_step(estimate_ms=1000), rules, 0).band == URGENT
    assert make_key(make_step(estimate_ms=1000), rules, 2100).band == LATE_URGENT


def test_the_least_slack_goes_first_among_work_in_time():
    long, short = make_step(1, estimate_ms=1000), make_step(2, estimate_ms=5000)
    keys = [make_key(step, RULES, 0) for step in (long, short)]
    assert keys[0] < keys[1]


def test_jobs_over_their_teams_share_sort_after_all_others():
    step = make_step()
    step.job.is_over_share = True
    worthless = make_step(2, estimate_ms=1000)
    assert make_key(worthless, RULES, 90_000) < make_key(step, RULES, 0)


def test_the_critical_path_is_the_longest_chain_of_steps():
    steps = (
        StepSpec(count=1, estimate_ms=100),
        StepSpec(count=1, estimate_ms=300, after=(0,)),
        StepSpec(count=1, estimate_ms=50, after=(0,)),
        StepSpec(count=1, estimate_ms=200, after=(1, 2)),
    )
    spec = replace(make_job(), steps=steps)
    graph = build_step_graph(spec.steps)
    assert graph.longest_ms == 600
    assert graph.path_ms[2] == 250


def test_a_recurring_job_is_due_at_the_time_of_its_occurrence():
    spec = replace(make_job(), first_run_ms=10_000, interval_ms=5000, repeat_count=3)
    step = JobRun(spec).open_occurrence(2)[0]
    key = make_key(step, RULES, 0)
    assert key.latest_start == 20.0 + 3.0 - 1.0


def test_late_urgent_work_precedes_batch_work_that_is_in_time():
    urgent = make_key(make_step(estimate_ms=1000), replace(RULES, priority=0), 2100)
    assert urgent < make_key(make_step(2), RULES, 0)
