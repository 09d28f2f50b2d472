"""Index of free capacity, and what it spares on a full cell with a long queue."""

import random

from hypothesis import given
from hypothesis import strategies as st

from cactustiller.cell.decisions.free_capacity import FreeCapacity
from cactustiller.cell.decisions.ordering import IN_TIME, URGENT, OrderKey
from cactustiller.cell.decisions.placement import place_steps
from cactustiller.cell.records.workers import Worker

from .builders import make_round, make_step, make_worker

amounts = st.integers(-2, 40).map(lambda cores: cores * 1000)


def make_workers(free):
    return [make_worker(f"w{number:02}", cpu=cpu) for number, cpu in enumerate(free)]


@given(st.lists(amounts, max_size=12), amounts)
def test_fitting_workers_are_those_of_a_scan(free, cpu):
    workers = make_workers(free)
    expected = sorted(
        (w for w in workers if cpu == 0 or w.free_cpu >= cpu),
        key=lambda w: (w.free_cpu, w.info.worker),
    )
    assert list(FreeCapacity(workers).iterate_fitting(cpu)) == expected


@given(
    st.lists(amounts, min_size=1, max_size=8),
    st.lists(st.tuples(st.integers(0, 7), st.integers(0, 20)), max_size=12),
)
def test_order_is_kept_while_capacity_is_taken(free, taken):
    workers = make_workers(free)
    index = FreeCapacity(workers)
    for number, cores in taken:
        worker = workers[number % len(workers)]
        index.take(worker, (cores * 1000, 0, 0))
    expected = sorted(workers, key=lambda w: (w.free_cpu, w.info.worker))
    assert list(index.iterate_fitting(0)) == expected
    assert index.max_cpu == max(w.free_cpu for w in workers)


def choose_by_scan(workers, step, wanted):
    """Return the names of the workers that a scan of all of them chooses."""
    chosen = []
    order = sorted(
        workers,
        key=lambda w: (
            w.info.worker in step.failed_on,
            bool(step.spec.data_rack) and step.spec.data_rack != w.info.rack,
            w.free_cpu,
            w.info.worker,
        ),
    )
    for worker in order:
        fits = worker.count_fits(step.spec.counted, wanted - len(chosen))
        chosen += [worker.info.worker] * fits
    return chosen


@given(
    st.lists(st.integers(0, 32), min_size=1, max_size=8),
    st.integers(1, 9),
    st.integers(1, 12),
    st.sets(st.integers(0, 7), max_size=3),
    st.sampled_from(["", "r0", "r9"]),
)
def test_tasks_are_placed_as_by_a_scan_of_all_workers(free, count, cores, failed, rack):
    workers = make_workers([cores * 1000 for cores in free])
    step = make_step(count=count, cpu=cores * 1000, data_rack=rack)
    step.failed_on |= {f"w{number:02}" for number in failed}
    expected = choose_by_scan(workers, step, count)
    current = make_round(workers)
    place_steps(current, [(OrderKey(IN_TIME, 0, 0, 0), step, step.job.spec.rules)])
    assert [p.worker.info.worker for p in current.placements] == expected


def test_blocked_steps_do_not_look_at_full_workers(monkeypatch):
    # 270 full workers and 300 waiting queries, as in a burst on the large site.
    generator = random.Random(1)
    workers = make_workers([generator.randrange(0, 7900) for _ in range(270)])
    steps = [make_step(number, count=3, cpu=7900) for number in range(1, 301)]
    looks = []
    count_fits = Worker.count_fits

    def record(self, *arguments):
        looks.append(self)
        return count_fits(self, *arguments)

    monkeypatch.setattr(Worker, "count_fits", record)
    key = OrderKey(URGENT, 0, 0, 0)
    place_steps(
        make_round(workers), [(key, step, step.job.spec.rules) for step in steps]
    )
    assert looks == []


def test_runs_of_a_worker_are_searched_for_victims_once_a_round(monkeypatch):
    workers = make_workers([0] * 50)
    steps = [make_step(number, count=3, cpu=7900) for number in range(1, 101)]
    current = make_round(workers)
    searched = []
    inspect = current.preemption._inspect
    monkeypatch.setattr(
        current.preemption,
        "_inspect",
        lambda worker: (searched.append(worker), inspect(worker)),
    )
    key = OrderKey(URGENT, 0, 0, 0)
    place_steps(current, [(key, step, step.job.spec.rules) for step in steps])
    assert len(searched) == len(set(searched)) == 50
