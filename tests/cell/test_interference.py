"""Images that interfere with each other are recognized and kept apart."""

import asyncio
import random
from statistics import mean

import pytest
from structlog.testing import capture_logs

from cactustiller.cell import RunEnd
from cactustiller.cell.decisions.interference import MAX_GROUPS, InterferenceObserver
from cactustiller.cell.decisions.interference_estimates import (
    HOLD_SECONDS,
    MAX_HOLDS,
    MAX_IMAGES,
    MAX_PAIRS,
    MAX_WORKERS,
    PairEstimates,
)
from cactustiller.cell.records.runs import RunPhase
from cactustiller.cell.reporting.gauges import read_cell_gauges
from cactustiller.cell.reporting.metrics import Gauge
from standins.fleet import FleetCell, make_job, make_queue

from .builders import make_step, make_worker
from .interference_model import (
    HARMFUL,
    IMAGES,
    HistoryShape,
    ModelCell,
    iterate_groups,
    play_history,
    play_mix,
)

PAIR = (IMAGES[0], IMAGES[1])
# Nine workers of full speed and three slow ones, with eight tasks each.
SPEEDS = (1.0,) * 9 + (0.6,) * 3
MIX = {"speeds": SPEEDS, "cpu": 8000}
SEEDS = (1, 2, 3)


def play(slowdowns, seed, is_ranking, seconds=90):
    cell = ModelCell(slowdowns, is_ranking=is_ranking, seed=seed, **MIX)
    return cell, play_mix(cell, seconds, jobs_per_second=9)


def average(results, images, since=0.0):
    return mean(
        seconds for image, at, seconds in results if image in images and at >= since
    )


def teach(estimates, pair=PAIR, begin=0.0, seconds=60, slowdown=2.0, seed=1):
    """Learn a history with one pair; return when it ended."""
    shape = HistoryShape({pair: slowdown})
    for image, samples, now in iterate_groups(shape, seed, seconds):
        estimates.add_group(image, samples, begin + now)
    return begin + seconds


@pytest.mark.parametrize("seed", SEEDS)
def test_images_that_harm_each_other_are_learned_and_kept_apart(seed):
    mixed, without = play(HARMFUL, seed, is_ranking=False)
    apart, with_ranker = play(HARMFUL, seed, is_ranking=True)
    assert set(mixed.learned) == set(HARMFUL)
    assert set(apart.learned) <= set(HARMFUL)
    assert min(apart.learned.values()) - 100 < 25
    assert apart.harmed_seconds < 0.4 * mixed.harmed_seconds
    harmed, others = set(PAIR), set(IMAGES) - set(PAIR)
    assert average(with_ranker, harmed, 30) < 0.7 * average(without, harmed, 30)
    assert average(with_ranker, others, 30) < 1.15 * average(without, others, 30)


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_changes_where_no_image_interferes(seed):
    mixed, without = play({}, seed, is_ranking=False)
    apart, with_ranker = play({}, seed, is_ranking=True)
    assert not mixed.learned and not apart.learned
    assert with_ranker == without


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_image_is_not_taken_for_a_pair(seed):
    cell = ModelCell(work_factors={IMAGES[2]: 3.0}, seed=seed, **MIX)
    play_mix(cell, 60, jobs_per_second=7)
    assert not cell.learned


@pytest.mark.parametrize("group_size, spread", [(8, 0.6), (1, 0.1)])
@pytest.mark.parametrize("seed", SEEDS)
def test_an_image_bound_to_slow_workers_is_not_taken_for_a_cause(
    seed, group_size, spread
):
    # All tasks beside the bound image are slow, since its workers are.
    shape = HistoryShape(
        bound_image=IMAGES[7], group_size=group_size, estimate_spread=spread
    )
    assert not play_history(PairEstimates(), shape, seed, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_workers_that_are_slow_for_seconds_are_not_taken_for_pairs(seed):
    cell = ModelCell(seed=seed, **MIX)
    source = random.Random(seed)
    advance = cell.advance
    slow = {}

    def slow_down_and_advance():
        for worker, until in list(slow.items()):
            if cell.now > until:
                cell.speeds[worker] = 1.0
                del slow[worker]
        if source.random() < 0.01:
            worker = source.choice(list(cell.speeds)[:9])
            slow[worker] = cell.now + source.uniform(2, 6)
            cell.speeds[worker] = 0.2
        advance()

    cell.advance = slow_down_and_advance
    play_mix(cell, 60, jobs_per_second=7)
    assert not cell.learned


@pytest.mark.parametrize("seed", range(10))
def test_true_pairs_are_found_soon_and_no_false_ones(seed):
    shape = HistoryShape({PAIR: 1.8})
    learned = play_history(PairEstimates(), shape, seed, 60)
    assert set(learned) == {PAIR}
    assert learned[PAIR] < 30


@pytest.mark.parametrize("seed", range(5))
def test_pairs_are_found_in_single_tasks_if_estimates_are_good(seed):
    # Steps of one task have nothing to be compared with but other steps.
    shape = HistoryShape({PAIR: 1.8}, group_size=1, estimate_spread=0.1)
    assert set(play_history(PairEstimates(), shape, seed, 90)) == {PAIR}


@pytest.mark.parametrize("seed", SEEDS)
def test_an_image_that_raises_tail_latencies_is_learned(seed):
    slowdowns = {("serving", IMAGES[1]): 2.0}
    cell = ModelCell(slowdowns, speeds=(1.0,) * 4, is_ranking=False, seed=seed)
    serving = {"is_service": True, "latency_target_ms": 100, "max_per_worker": 1}
    cell.submit("serving", count=4, seconds=1e6, **serving)
    cell.advance()
    play_mix(cell, 90, jobs_per_second=1, images=IMAGES[:4])
    assert set(cell.learned) == set(slowdowns)


@pytest.mark.looptime
async def test_a_filling_image_is_learned_although_it_is_paced():
    # The pace of filling tasks follows the tail latency, so that the latency rises less
    # the more they harm it.
    source = random.Random(1)
    queues = [make_queue("serving"), make_queue("batch", priority=2)]
    async with FleetCell(queues=queues) as cell:
        images = {}

        def measure_load(runs):
            paces = [run.pace for run in runs if images.get(run.task) == "noisy"]
            tail_ms = 40 + 60 * max(paces, default=0) / 100
            return tail_ms * source.uniform(0.95, 1.05)

        for worker in cell.workers.values():
            worker.measure_load = measure_load
        service = {"is_service": True, "latency_target_ms": 100, "max_per_worker": 1}
        await cell.submit(make_job(1, queues[0], 4, image="web", **service), 1e9)
        for number in range(2, 150):
            image = source.choice(["noisy", "calm", "quiet"])
            job = make_job(number, queues[1], fills=True, image=image)
            images[f"{job.job}.0.0.0"] = image
            await cell.submit(job, source.uniform(3, 6))
            await asyncio.sleep(0.7)
        owner = cell.members[cell.find_owner()]
        page = owner.metrics.render().decode()
        known = owner._owner.engine.interference.estimates.known
        assert set(known) == {("web", "noisy")}
        assert "cactustiller_interfering_pairs 1.0" in page


def test_many_images_take_bounded_memory():
    cell = ModelCell(seed=1, **MIX)
    play_mix(cell, 40, jobs_per_second=9, images=[f"i{n}" for n in range(2000)])
    observer = cell.engine.interference
    assert observer.size <= MAX_GROUPS + len(SPEEDS)
    limit = MAX_IMAGES + MAX_WORKERS + MAX_PAIRS + MAX_HOLDS
    estimates = PairEstimates()
    images = [f"i{n}" for n in range(1000)]
    for image, samples, now in iterate_groups(HistoryShape(), 1, 600, images=images):
        estimates.add_group(image, samples, now)
        assert estimates.size <= limit
    # The limits of images and pairs have been reached.
    assert estimates.size >= MAX_IMAGES + MAX_PAIRS


def test_a_known_pair_outlasts_many_others():
    # Placement keeps the pair apart, so that it is the least recently used one.
    estimates = PairEstimates()
    end = teach(estimates)
    images = [f"i{n}" for n in range(1000)]
    for image, samples, _ in iterate_groups(HistoryShape(), 1, 600, images=images):
        estimates.add_group(image, samples, end)
    assert PAIR in estimates.known


def test_a_pair_is_forgotten_without_evidence_and_then_held_longer():
    estimates = PairEstimates()
    with capture_logs() as lines:
        end = teach(estimates)
        estimates.sweep(end + HOLD_SECONDS - 5)
        assert set(estimates.known) == {PAIR}
        estimates.sweep(end + HOLD_SECONDS + 1)
        assert not estimates.known
        end = teach(estimates, begin=end + HOLD_SECONDS + 1)
        estimates.sweep(end + HOLD_SECONDS + 1)
        assert set(estimates.known) == {PAIR}
        estimates.sweep(end + 2 * HOLD_SECONDS + 1)
        assert not estimates.known
    events = [line for line in lines if line["event"].startswith("interference")]
    assert [line["event"] for line in events] == [
        "interference_learned",
        "interference_dropped",
    ] * 2
    assert [line["hold_seconds"] for line in events[1::2]] == [60.0, 120.0]
    assert {(line["affected"], line["interfering"]) for line in events} == {PAIR}
    assert events[1]["reason"] == "no evidence"


def test_a_pair_is_dropped_when_it_no_longer_interferes():
    estimates = PairEstimates()
    end = teach(estimates)
    assert PAIR in estimates.known
    with capture_logs() as lines:
        teach(estimates, begin=end, slowdown=1.0, seconds=120, seed=2)
    assert not estimates.known
    assert [line["reason"] for line in lines] == ["no effect"]


def test_a_lasting_pair_is_not_learned_and_dropped_in_turn():
    with capture_logs() as lines:
        cell, _ = play(HARMFUL, 1, is_ranking=True, seconds=300)
    learned = [line for line in lines if line["event"] == "interference_learned"]
    # Two directions, each of which may be dropped once for want of evidence.
    assert 1 <= len(learned) <= 4
    assert cell.harmed_seconds < 1000


def test_steps_without_an_image_are_not_observed():
    # Reports of such steps come hundreds of times a second. Neither the worker nor the
    # listing may be looked at, and nothing may be kept.
    observer = InterferenceObserver()
    task = make_step(is_service=True, latency_target_ms=100).tasks[0]
    task.started_at = 1.0
    observer.record_progress(task, None, None, 10.0)
    observer.record_run_end(task, None, RunEnd.DONE, 10.0)
    assert observer.size == observer.estimates.size == 0


@pytest.mark.parametrize(
    "step, changes, end",
    [
        ({"is_gang": True}, {}, RunEnd.DONE),
        ({"fills": True}, {}, RunEnd.DONE),
        ({"is_service": True}, {}, RunEnd.DONE),
        ({}, {"run": 2, "checkpoint": "c"}, RunEnd.DONE),
        ({}, {"start_sent_at": 0.0}, RunEnd.DONE),
        ({}, {}, RunEnd.FAILED),
        ({}, {}, RunEnd.STOPPED),
    ],
)
def test_runs_whose_time_says_nothing_are_not_compared(step, changes, end):
    # Gang members wait for each other, filling tasks are paced, resumed runs are short.
    observer = InterferenceObserver()
    groups = []
    observer.estimates.add_group = lambda *group: groups.append(group)
    worker = make_worker()

    def run(changes, end, **step):
        task = make_step(1, image=PAIR[0], **step).tasks[0]
        task.phase, task.run = RunPhase.RUNNING, 1
        task.start_sent_at, task.started_at = 1.0, 1.0
        for name, value in changes.items():
            setattr(task, name, value)
        observer.record_run_end(task, worker, end, 2.0)

    run(changes, end, **step)
    assert not groups
    run({}, RunEnd.DONE)
    assert len(groups) == 1


def test_runs_on_cold_workers_are_not_compared():
    # All images on a cold worker are slow, beside whichever images run there.
    observer = InterferenceObserver()
    groups = []
    observer.estimates.add_group = lambda *group: groups.append(group)
    worker = make_worker(cold_until=3.0)
    for number, started_at in enumerate((1.0, 3.5)):
        task = make_step(number + 1, image=PAIR[0]).tasks[0]
        task.run, task.start_sent_at, task.started_at = 1, started_at, started_at
        observer.record_run_end(task, worker, RunEnd.DONE, 4.0 + number)
        assert len(groups) == number


def test_long_and_short_runs_beside_the_same_images_count_alike():
    # Summed up, runs that overlap count several times, in long runs more often than in
    # short ones, and tasks that take long would seem to be slowed down.
    observer = InterferenceObserver()
    groups = []
    observer.estimates.add_group = lambda image, samples, now: groups.extend(samples)
    worker = make_worker()

    def end_run(number, image, since, now):
        task = make_step(number, image=image).tasks[0]
        task.run, task.start_sent_at, task.started_at = 1, since, since
        observer.record_run_end(task, worker, RunEnd.DONE, now)

    for number in range(4):
        end_run(number + 10, PAIR[1], 1.0, 3.0)
    end_run(1, PAIR[0], 1.0, 5.0)
    assert groups[-1].exposures[PAIR[1]] == pytest.approx(0.5)


def test_known_pairs_are_exposed_as_gauges():
    cell = ModelCell()
    gauges = {gauge: value for gauge, _, value in read_cell_gauges(cell.engine, 0.0)}
    assert gauges[Gauge.INTERFERING_PAIRS] == 0
    assert gauges[Gauge.INTERFERENCE_SLOWDOWN] == 1.0
    teach(cell.estimates)
    gauges = {gauge: value for gauge, _, value in read_cell_gauges(cell.engine, 0.0)}
    assert gauges[Gauge.INTERFERING_PAIRS] == 1
    assert gauges[Gauge.INTERFERENCE_SLOWDOWN] == pytest.approx(2.0, rel=0.3)
