import statistics

import pytest
from structlog.testing import capture_logs

from cactustiller.cell.decisions.ordering import IN_TIME, URGENT
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.decisions.placement_round import PlacementRound
from cactustiller.cell.decisions.speed_ranker import SpeedRanker
from cactustiller.cell.records.listings import ListedRun
from cactustiller.cell.reporting.gauges import read_cell_gauges
from cactustiller.cell.reporting.metrics import Gauge
from cactustiller.model import WorkerId
from standins.fleet import make_job, make_queue

from .builders import make_order_key, make_step
from .speed_replay import Replay, SlowPeriod, make_speeds
from .speed_reports import NOW, Reports

UNEVEN = {"w0": 0.55, "w1": 1.2, "w2": 1.2, "w3": 1.2, "w4": 1.2}
EVEN = dict.fromkeys(UNEVEN, 1.0)


def place(estimates, workers, key, step):
    current_round = PlacementRound(
        NOW,
        workers,
        lambda team, amounts, count: count,
        lambda team, amounts: None,
        rankers=[SpeedRanker(estimates, lambda job: job.spec.rules)],
    )
    place_steps(current_round, [(key, step, step.job.spec.rules)])
    return [placement.worker.info.worker for placement in current_round.placements]


def make_urgent_step(count=1, **changes):
    return make_step(500, queue=make_queue(priority=0), count=count, **changes)


def make_batch_step(count=1, **changes):
    return make_step(501, queue=make_queue(priority=1), count=count, **changes)


@pytest.mark.parametrize("is_gang", [False, True])
def test_slow_workers_are_found(is_gang):
    reports = Reports(UNEVEN, is_gang=is_gang)
    for _ in range(4):
        reports.play_step()
    speeds = reports.find_speeds()
    assert reports.find_slow() == {"w0"}
    assert speeds.pop("w0") == pytest.approx(0.55 / 1.2, abs=0.05)
    assert set(speeds.values()) == {1.0}


def test_the_estimated_duration_of_a_step_does_not_matter():
    # Estimates are off by up to 90%, so a comparison with them would find slow workers
    # wherever the steps with the lowest estimates run.
    reports = Reports(EVEN, estimate_ms=1000)
    for seconds in (10.0, 1.0, 10.0, 19.0):
        reports.play_step(seconds)
    assert set(reports.find_speeds().values()) == {1.0}


def test_tasks_with_long_tails_do_not_make_a_worker_slow():
    reports = Reports(EVEN)
    for number in range(10):
        tail = (f"w{number % 5}", number % 2)
        reports.play_step(
            factor=lambda worker, index, tail=tail: (
                7.0 if (worker, index) == tail else 1
            )
        )
        assert not reports.find_slow()
    reports.play_step(factor=lambda worker, index: 7.0 if worker == "w0" else 1)
    assert not reports.find_slow()


def test_the_wait_of_gang_members_for_a_straggler_is_not_slowness():
    reports = Reports(EVEN, is_gang=True)
    for _ in range(4):
        reports.play_step(
            factor=lambda worker, i: 3.0 if (worker, i) == ("w1", 0) else 1.0
        )
        assert not reports.find_slow()


def test_a_gang_whose_workers_are_all_slow_says_nothing():
    # Compared only with each other, slow workers would count as recovered.
    reports = Reports(dict(UNEVEN, w1=0.55, w2=0.55))
    for _ in range(4):
        reports.play_step()
    assert reports.find_slow() == {"w0", "w1", "w2"}
    others = [reports.workers.pop(name) for name in ("w3", "w4")]
    reports.play_step()
    assert reports.find_slow() == {"w0", "w1", "w2"}
    assert others


def test_progress_from_a_checkpoint_is_not_counted_as_speed():
    reports = Reports(EVEN)
    for _ in range(3):
        reports.play_step()
    step = make_step(900, count=10)
    for index, task in enumerate(step.tasks):
        worker = reports.workers[f"w{index % 5}"]
        # The runs on the first worker begin anew, the others have 60% restored.
        first = 0 if index % 5 == 0 else 60
        task.run, task.worker = 1, worker.info.worker
        task.checkpoint = "saved" if first else ""
        task.started_at = task.start_sent_at = reports.now
        for second in range(4):
            listed = ListedRun(task.name, 1, "", first + second * 10, 0.0)
            now = reports.now + second
            reports.estimates.record_progress(task, worker, listed, now)
    reports.now += 4
    reports.play_step()
    assert not reports.find_slow()


def test_tasks_away_from_their_data_are_not_compared():
    reports = Reports(EVEN, data_rack="r0")
    for worker in list(reports.workers.values())[:2]:
        info = worker.info
        worker.info = type(info)(
            info.worker, "", info.service, "z", info.capacity, ("a", "r1")
        )
    for _ in range(4):
        reports.play_step(factor=lambda worker, i: 2.5 if worker in ("w0", "w1") else 1)
    assert not reports.find_slow()


def test_a_restart_makes_a_slow_worker_unknown():
    reports = Reports(UNEVEN)
    for _ in range(4):
        reports.play_step()
    reports.workers["w0"].born_ms = 2
    assert not reports.find_slow()
    assert reports.estimates.find_speed("w0") == 1.0
    with capture_logs() as lines:
        reports.play_step(seconds=2.0)
    recovered = [line for line in lines if line["event"] == "worker_speed_back"]
    assert [(line["worker"], line["restarted"]) for line in recovered] == [("w0", True)]


def test_a_slow_worker_without_new_runs_becomes_unknown():
    reports = Reports(UNEVEN)
    for _ in range(4):
        reports.play_step()
    del reports.workers["w0"]
    for _ in range(30):
        reports.play_step()
    assert reports.estimates.slow_count == 0
    assert "w0" not in reports.estimates._workers


def test_state_of_lost_runs_and_old_steps_is_dropped():
    # The end of a lost run is not reported, so its state would be kept for ever.
    reports = Reports(EVEN)
    lost = make_step(900, count=2).tasks[0]
    lost.run = 1
    listed = ListedRun(lost.name, 1, "", 10, 0.0)
    reports.estimates.record_progress(lost, reports.workers["w0"], listed, NOW)
    for _ in range(10):
        reports.play_step()
    assert lost not in reports.estimates._meter._windows
    assert len(reports.estimates._steps) < 6


@pytest.fixture
def uneven():
    reports = Reports(UNEVEN)
    for _ in range(4):
        reports.play_step()
    return reports


def test_urgent_tasks_and_gangs_prefer_faster_workers(uneven):
    slow, fast = uneven.workers["w0"], uneven.workers["w1"]
    # The fullest worker comes first among equals.
    slow.take_capacity((20_000, 0, 0))
    urgent_key, batch_key = make_order_key(URGENT), make_order_key(IN_TIME)
    workers, estimates = [slow, fast], uneven.estimates
    assert place(estimates, workers, urgent_key, make_urgent_step()) == ["w1"]
    gang = make_batch_step(2, is_gang=True)
    assert place(estimates, workers, batch_key, gang) == ["w1", "w1"]
    assert place(estimates, workers, batch_key, make_batch_step()) == ["w0"]


def test_urgent_tasks_and_gangs_use_slow_workers_if_they_fit_nowhere_else(uneven):
    slow, fast = uneven.workers["w0"], uneven.workers["w1"]
    key, estimates = make_order_key(URGENT), uneven.estimates
    step = make_urgent_step(6, cpu=9000)
    assert place(estimates, [slow, fast], key, step) == ["w1"] * 3 + ["w0"] * 3
    slow.release_capacity((27_000, 300, 0))
    fast.release_capacity((27_000, 300, 0))
    gang = make_batch_step(6, cpu=9000, is_gang=True)
    placed = place(estimates, [slow, fast], make_order_key(), gang)
    assert sorted(placed) == ["w0"] * 3 + ["w1"] * 3


def test_a_gang_that_needs_a_slow_worker_prefers_others_of_its_speed():
    # Its members on faster workers would only wait for the slow one.
    reports = Reports(dict(UNEVEN, w1=0.55, w5=1.2, w6=1.2))
    for _ in range(4):
        reports.play_step()
    workers = list(reports.workers.values())
    for worker in workers[2:]:
        worker.take_capacity((15_000, 0, 0))
    gang = make_batch_step(6, cpu=9000, is_gang=True)
    placed = place(reports.estimates, workers, make_order_key(), gang)
    assert sorted(placed) == ["w0"] * 3 + ["w1"] * 3
    # Five fit on the fast workers, so no slow one is needed.
    for worker in workers[:2]:
        worker.release_capacity((27_000, 300, 0))
    gang = make_batch_step(5, cpu=9000, is_gang=True)
    placed = place(reports.estimates, workers, make_order_key(), gang)
    assert not {"w0", "w1"} & set(placed)


def test_a_tightly_coupled_gang_prefers_a_rack_of_fast_workers():
    reports = Reports(dict(UNEVEN, w1=0.55))
    for _ in range(4):
        reports.play_step()
    workers = list(reports.workers.values())
    for worker, rack in zip(workers, ("r0", "r0", "r1", "r1", "r2"), strict=True):
        info = worker.info
        worker.info = type(info)(
            info.worker, "", info.service, "z", info.capacity, ("a", rack)
        )
    workers[2].take_capacity((1000, 0, 0))
    gang = make_batch_step(6, cpu=9000, is_gang=True, is_tightly_coupled=True)
    placed = place(reports.estimates, workers, make_order_key(), gang)
    assert set(placed) == {"w2", "w3"}


def test_placements_are_unchanged_if_all_workers_have_the_same_speed():
    placed = []
    for ranks in (True, False):
        replay = Replay(make_speeds(0, 40), jobs_per_second=9.0, ranks=ranks)
        for _ in replay.run(40):
            assert replay.engine.speeds.slow_count == 0
        placed.append(replay.placed)
    assert len(placed[0]) > 1000
    assert placed[0] == placed[1]


def test_workers_that_were_slow_for_seconds_recover():
    replay = Replay(make_speeds(0, 40), jobs_per_second=9.0)
    for number in range(5):
        replay.slow_periods[WorkerId(f"w{number}")] = SlowPeriod(120.0, 126.0, 0.2)
    slow_after = []
    for second, _ in enumerate(replay.run(50), 1):
        slow = {w for w in replay.speeds if replay.engine.speeds.find_speed(w) < 1}
        assert slow <= set(replay.slow_periods)
        if second >= 36:
            slow_after.append(slow)
    assert not any(slow_after)


def test_a_restarted_worker_is_learned_again():
    replay = Replay(make_speeds(5, 15), jobs_per_second=5.0)
    slow = next(worker for worker, speed in replay.speeds.items() if speed < 1)
    for _ in replay.run(40):
        pass
    speeds = replay.engine.speeds
    assert speeds.find_speed(slow) < 0.75
    replay.restart(slow)
    assert speeds.find_speed(slow) == 1.0
    for _ in replay.run(40):
        pass
    assert speeds.find_speed(slow) < 0.75


# Tasks with long tails, wrong estimates, tasks away from their data and preempted tasks
# that restore a checkpoint are part of the replay.
@pytest.mark.parametrize("seed", [1, 2])
def test_slow_workers_of_a_large_cell_are_learned_without_a_false_one(seed):
    replay = Replay(make_speeds(44, 132), jobs_per_second=35.0, seed=seed)
    slow = {worker for worker, speed in replay.speeds.items() if speed < 1}
    known_at = None
    with capture_logs() as lines:
        for second, _ in enumerate(replay.run(60), 1):
            found = {w for w in replay.speeds if replay.engine.speeds.find_speed(w) < 1}
            assert found <= slow
            if len(found) >= 0.9 * len(slow):
                known_at = known_at or second
            else:
                assert known_at is None, "slow workers were forgotten"
    print(f"seed {seed}: 90% of the slow workers known after {known_at} s")
    assert known_at <= 40
    found = {line["worker"] for line in lines if line["event"] == "worker_slow"}
    assert len(found) >= 0.9 * len(slow)
    assert all(line["speed"] < 0.75 for line in lines if line["event"] == "worker_slow")
    gauges = {gauge: value for gauge, _, value in read_cell_gauges(replay.engine, 160)}
    assert gauges[Gauge.SLOW_WORKERS] == replay.engine.speeds.slow_count


def test_gangs_and_urgent_tasks_end_sooner_in_an_uneven_cell():
    means = {}
    for ranks in (False, True):
        replay = Replay(
            make_speeds(44, 132), jobs_per_second=25.0, has_tails=False, ranks=ranks
        )
        for second, _ in enumerate(replay.run(80)):
            if second == 40:
                for completions in replay.completions.values():
                    completions.clear()
        means[ranks] = {
            kind: statistics.mean(completions)
            for kind, completions in replay.completions.items()
        }
    print(means)
    assert means[True]["gang"] < 0.8 * means[False]["gang"]
    assert means[True]["urgent"] < 0.8 * means[False]["urgent"]
    assert means[True]["batch"] < 1.25 * means[False]["batch"]


def test_the_current_priority_of_a_queue_counts():
    # Rules at acceptance are used only for queues that no longer exist.
    reports = Reports(UNEVEN)
    for _ in range(4):
        reports.play_step()
    current = make_queue(priority=0).rules
    ranker = SpeedRanker(reports.estimates, lambda job: current)
    assert make_job(queue=make_queue(priority=1)).rules.priority == 1
    assert ranker.rank(make_batch_step(), reports.workers["w0"]) == 2
