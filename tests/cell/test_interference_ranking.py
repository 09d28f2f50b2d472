"""Tasks of images that interfere are placed apart where there is capacity."""

import pytest

from cactustiller.cell.decisions.interference_estimates import PairEstimates
from cactustiller.cell.decisions.interference_ranking import (
    MAX_RANK,
    MAX_RANKED_PER_ROUND,
    InterferenceRanker,
)
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.decisions.placement_round import Placement, PlacementRound
from cactustiller.cell.records.specs import QueueRules

from .builders import SERVICE, make_order_key, make_step, make_worker

PAIR = ("image-0", "image-1")
RULES = QueueRules(SERVICE, 0)


def know(*pairs):
    """Return estimates with known pairs that do not expire at time 0."""
    estimates = PairEstimates()
    estimates.known = dict.fromkeys(pairs)
    estimates.version = 1
    estimates.sweep = lambda now: None
    return estimates


@pytest.mark.parametrize("own, other", [PAIR, PAIR[::-1]])
def test_both_images_of_a_pair_avoid_each_other(own, other):
    first, second = make_worker("w0"), make_worker("w1")
    running = make_step(1, image=other).tasks[0]
    first.runs[running.name] = (running, 1)
    first.take_capacity((8000, 100, 0))
    ranker = InterferenceRanker(know(PAIR), lambda: 0.0)
    step = make_step(2, image=own)
    current_round = PlacementRound(
        100.0,
        [first, second],
        lambda *args: args[2],
        lambda *args: None,
        rankers=[ranker],
    )
    ranker.begin_round(current_round.placements)
    place_steps(current_round, [(make_order_key(), step, RULES)])
    # Without the ranker, the fuller worker comes first.
    assert current_round.placements[0].worker is second


def test_tasks_placed_in_the_same_round_are_kept_apart():
    workers = [make_worker("w0"), make_worker("w1")]
    ranker = InterferenceRanker(know(PAIR), lambda: 0.0)
    current_round = PlacementRound(
        100.0, workers, lambda *args: args[2], lambda *args: None, rankers=[ranker]
    )
    ranker.begin_round(current_round.placements)
    steps = [make_step(number, image=PAIR[number % 2]) for number in (1, 2, 3, 4)]
    place_steps(current_round, [(make_order_key(), step, RULES) for step in steps])
    images = {worker: set() for worker in workers}
    for task, worker, *_ in current_round.placements:
        images[worker].add(task.step.spec.image)
    assert sorted(map(len, images.values())) == [1, 1]


def test_a_worker_that_is_ranked_late_counts_the_placements_of_its_round():
    first, second = make_worker("w0"), make_worker("w1")
    ranker = InterferenceRanker(know(PAIR), lambda: 0.0)
    placements = []
    ranker.begin_round(placements)
    placements.append(Placement(make_step(1, image=PAIR[0]).tasks[0], first, "", 0.0))
    step = make_step(2, image=PAIR[1])
    assert [ranker.rank(step, worker) for worker in (first, second)] == [1, 0]


def test_no_work_waits_for_a_worker_without_the_other_image():
    (worker,) = workers = [make_worker("w0")]
    for number in range(10):
        task = make_step(number + 10, image=PAIR[0]).tasks[0]
        worker.runs[task.name] = (task, 1)
    ranker = InterferenceRanker(know(PAIR), lambda: 0.0)
    current_round = PlacementRound(
        100.0, workers, lambda *args: args[2], lambda *args: None, rankers=[ranker]
    )
    ranker.begin_round(current_round.placements)
    step = make_step(1, image=PAIR[1], count=3)
    assert ranker.rank(step, worker) == MAX_RANK
    assert ranker.rank(make_step(2, image="image-5"), worker) == 0
    place_steps(current_round, [(make_order_key(), step, RULES)])
    assert len(current_round.placements) == 3


def test_a_round_ranks_a_bounded_number_of_workers():
    # Each task would look at all workers if all have runs of the other image.
    workers = [make_worker(f"w{number}") for number in range(100)]
    for number, worker in enumerate(workers):
        task = make_step(number + 1000, image=PAIR[0]).tasks[0]
        worker.runs[task.name] = (task, 1)
    ranker = InterferenceRanker(know(PAIR), lambda: 0.0)
    step = make_step(1, image=PAIR[1])
    for _ in range(2):
        ranker.begin_round([])
        ranks = [ranker.rank(step, worker) for _ in range(50) for worker in workers]
        assert sum(ranks) == MAX_RANKED_PER_ROUND


def test_steps_without_an_image_are_not_ranked():
    ranker = InterferenceRanker(know(PAIR), lambda: 0.0)
    ranker.begin_round([])
    # The worker is not even looked at.
    assert ranker.rank(make_step(), None) == 0
