from cactustiller.cell.decisions.ordering import IN_TIME, URGENT, OrderKey
from cactustiller.cell.decisions.placement import place_steps

from .builders import fill, make_round, make_step, make_worker

URGENT_KEY = OrderKey(URGENT, 0, 0.0, 0.0)
IN_TIME_KEY = OrderKey(IN_TIME, 0, 0.0, 0.0)
# Estimate of runs that started 10 s ago and end in 0.5 s.
ENDING_SOON_MS = 10_500


def place(current, *entries):
    place_steps(current, [(key, step, step.job.spec.rules) for key, step in entries])
    return [(p.task.name, p.worker.info.worker) for p in current.placements]


def test_no_worker_exceeds_its_capacity():
    workers = [make_worker("w0"), make_worker("w1")]
    placed = place(make_round(workers), (IN_TIME_KEY, make_step(count=9, cpu=9000)))
    assert len(placed) == 6
    assert all(worker.free_cpu >= 0 for worker in workers)


def test_single_tasks_use_the_fullest_worker():
    full, empty = make_worker("w0"), make_worker("w1")
    full.take_capacity((20_000, 0, 0))
    placed = place(make_round([empty, full]), (IN_TIME_KEY, make_step(count=2)))
    assert {worker for _, worker in placed} == {"w0"}


def test_a_gang_is_placed_as_a_whole_or_not_at_all():
    workers = [make_worker("w0"), make_worker("w1")]
    gang = make_step(count=7, cpu=9000, is_gang=True)
    assert place(make_round(workers), (IN_TIME_KEY, gang)) == []
    gang = make_step(count=6, cpu=9000, is_gang=True)
    assert len(place(make_round(workers), (IN_TIME_KEY, gang))) == 6


def test_only_urgent_work_may_use_capacity_reserved_for_a_gang():
    busy = make_worker("w0")
    fill(busy, count=10, estimate_ms=ENDING_SOON_MS)
    gang = make_step(1, count=3, cpu=9000, is_gang=True)
    batch = make_step(2, count=2)
    urgent = make_step(3, count=2)
    placed = place(
        make_round([busy]),
        (IN_TIME_KEY, gang),
        (IN_TIME_KEY, batch),
        (URGENT_KEY, urgent),
    )
    assert {name.split(".")[0] for name, _ in placed} == {urgent.job.spec.job}


def test_an_urgent_gang_may_use_capacity_reserved_for_another_gang():
    busy = make_worker("w0")
    fill(busy, count=10, estimate_ms=ENDING_SOON_MS)
    gang = make_step(1, count=3, cpu=9000, is_gang=True)
    urgent = make_step(2, count=2, is_gang=True)
    placed = place(make_round([busy]), (IN_TIME_KEY, gang), (URGENT_KEY, urgent))
    assert len(placed) == 2


def test_a_gang_that_can_never_fit_reserves_no_capacity():
    worker = make_worker("w0")
    gang = make_step(1, count=9, cpu=9000, is_gang=True)
    batch = make_step(2, count=2)
    placed = place(make_round([worker]), (IN_TIME_KEY, gang), (IN_TIME_KEY, batch))
    assert len(placed) == 2


def test_a_worker_where_the_step_failed_is_chosen_last():
    workers = [make_worker("w0"), make_worker("w1")]
    workers[0].take_capacity((20_000, 0, 0))
    step = make_step(count=1)
    step.failed_on.add("w0")
    assert place(make_round(workers), (URGENT_KEY, step))[0][1] == "w1"


def test_a_step_runs_where_it_failed_if_it_fits_nowhere_else():
    step = make_step(count=1)
    step.failed_on.add("w0")
    assert len(place(make_round([make_worker("w0")]), (URGENT_KEY, step))) == 1


def test_the_limit_per_worker_is_respected():
    workers = [make_worker("w0"), make_worker("w1")]
    placed = place(
        make_round(workers), (IN_TIME_KEY, make_step(count=9, max_per_worker=2))
    )
    assert sorted(worker for _, worker in placed) == ["w0", "w0", "w1", "w1"]


def test_only_workers_with_the_required_label_are_used():
    step = make_step(count=1, required_label="other")
    assert place(make_round([make_worker()]), (IN_TIME_KEY, step)) == []


def test_a_tightly_coupled_gang_stays_on_one_rack_where_it_fits():
    workers = [make_worker(f"w{index}") for index in range(3)]
    for worker, rack in zip(workers, ("r0", "r1", "r1"), strict=True):
        worker.info = worker.info.__class__(
            worker.info.worker, "x:1", "recon", "z", worker.info.capacity, ("a", rack)
        )
    gang = make_step(count=6, cpu=9000, is_gang=True, is_tightly_coupled=True)
    placed = place(make_round(workers), (IN_TIME_KEY, gang))
    assert {worker for _, worker in placed} == {"w1", "w2"}


def test_the_teams_limit_bounds_a_step():
    current = make_round([make_worker()], team_room=3)
    assert len(place(current, (IN_TIME_KEY, make_step(count=9)))) == 3


def test_a_gang_that_exceeds_its_teams_limit_stays_pending():
    current = make_round([make_worker()], team_room=3)
    gang = make_step(count=4, is_gang=True)
    assert place(current, (IN_TIME_KEY, gang)) == []
