"""Order of waiting work in a burst that the cell has no capacity for."""

import pytest

from cactustiller.cell.decisions.ordering import (
    LATE_URGENT,
    URGENT,
    WORTHLESS,
    make_order_key,
)
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.decisions.service_usage import measure_usage
from cactustiller.cell.records.specs import QueueRules

from .builders import SERVICE, make_round, make_step, make_worker
from .builders import make_order_key as make_plain_key
from .queueing import count_in_time, make_arrivals

SLOTS = 20
# Tasks of 0.8 s on 20 slots: the cell runs 22 a second with the time of their starts.
CELL_RATE = SLOTS / 0.88


def make_key_without_margin(step, rules, limits, now_ms):
    """Return the key of a step that counts as on time up to the last moment."""
    key = make_order_key(step, rules, limits, now_ms)
    if key.band == LATE_URGENT and now_ms <= limits.latest_on_time:
        return key._replace(band=URGENT)
    return key


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_lasting_backlog_does_not_make_every_job_just_miss_its_objective(seed):
    # Twice the load that the cell can run, for 10 s. With least slack first and no
    # margin, each job starts when it can only just, or just not, end in time.
    arrivals = make_arrivals(2 * CELL_RATE, 10.0, seed)
    in_time = count_in_time(arrivals, SLOTS)
    without = count_in_time(arrivals, SLOTS, make_key_without_margin)
    assert in_time > 0.85 * CELL_RATE * 10
    assert in_time > 1.5 * without


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_margin_costs_nothing_while_the_cell_has_capacity(seed):
    arrivals = make_arrivals(0.7 * CELL_RATE, 10.0, seed)
    assert count_in_time(arrivals, SLOTS) == count_in_time(
        arrivals, SLOTS, make_key_without_margin
    )


def place(key, used, wall_now=0.0):
    """Return the number of tasks placed on a worker of which `used` cores are used."""
    worker = make_worker()
    worker.take_capacity((used * 1000, 0, 0))
    current_round = make_round([worker], usage=measure_usage([worker]))
    current_round.wall_now = wall_now
    step = make_step(count=1)
    place_steps(current_round, [(key, step, QueueRules(SERVICE))])
    return len(current_round.placements)


def test_work_without_value_waits_while_the_cell_is_busy():
    # After a burst its runs would take the capacity of jobs that still have value.
    assert place(make_plain_key(WORTHLESS), used=24) == 0
    assert place(make_plain_key(URGENT), used=24) == 1


def test_work_without_value_is_placed_once_less_than_half_of_the_cell_is_used():
    assert place(make_plain_key(WORTHLESS), used=15) == 1


def test_work_without_value_does_not_wait_for_ever():
    assert place(make_plain_key(WORTHLESS), used=24, wall_now=61.0) == 1
