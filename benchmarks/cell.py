"""Speed of a cell's engine alone, at several numbers of workers and waiting tasks.

The cell is full: jobs of three kinds arrive as runs end, and the rest waits. Each round
applies the ends of 15 ms, places, collects and confirms, on simulated time, as the
owner does. Only the engine's own time counts.
"""

import gc
import heapq
import itertools
import json
import platform
import random
import time
import tracemalloc

import structlog
import typer

from cactustiller.cell import (
    DesiredState,
    JobSpec,
    ListedEnd,
    Listing,
    Queue,
    QueueRules,
    RunEnd,
    StepSpec,
    Team,
    WorkerInfo,
)
from cactustiller.cell.owner.engine import Engine
from cactustiller.model import Amounts, JobId, QueueName, ServiceName, TeamId, WorkerId

SEED = 20_261_204
WORKERS = (24, 270, 770, 1000)
WAITING_TASKS = (1_000, 10_000)
ROUND_SECONDS = 0.015
TEAMS = 29
MAX_ROWS = 96
RATE_TARGET = 2000.0
P99_TARGET_MS = 10.0
CAPACITY = Amounts(32_000, 65_536, 0)
SERVICE = ServiceName("service")
LISTED_AT_SECONDS = 0.001
# Priority, tasks, milli-CPU, seconds and whether a gang, of each kind of job.
KINDS = (
    (0, 3, 7_900, 0.64, False),
    (1, 15, 5_500, 3.4, False),
    (1, 16, 9_000, 6.2, True),
)
KIND_WEIGHTS = (61.5, 5.55, 3.33)

app = typer.Typer(add_completion=False)


class CellBench:
    """An engine with workers and a constant number of waiting tasks."""

    def __init__(self, workers, waiting_tasks):
        self._random = random.Random(SEED)
        self._numbers = itertools.count(1)
        self._now = 100.0
        self._ends = []
        self._end_numbers = {}
        self._waiting_tasks = waiting_tasks
        self.engine = Engine(lambda: self._now, lambda: self._now * 1000)
        rules = [
            QueueRules(SERVICE, priority, 4, 2.2, 1000.0) for priority, *_ in KINDS
        ]
        self._queues = [
            Queue(QueueName(f"q{number}"), "host", f"/q{number}/", rule)
            for number, rule in enumerate(rules)
        ]
        teams = {TeamId(f"t{n}"): Team(TeamId(f"t{n}"), 1e6) for n in range(TEAMS)}
        self.engine.apply_desired(
            DesiredState(1, {queue.name: queue for queue in self._queues}, teams)
        )
        infos = [
            WorkerInfo(
                WorkerId(f"w{number}"),
                f"w{number}:1",
                SERVICE,
                "z",
                CAPACITY,
                ("a", f"r{number // 20}"),
                born_ms=1,
            )
            for number in range(workers)
        ]
        self.engine.update_workers({info.worker: info for info in infos})
        for worker in self.engine.workers.values():
            worker.is_reachable = worker.is_synchronized = True
            worker.born_ms = 1
            self._end_numbers[worker] = 0

    def add_jobs(self):
        """Submit jobs until enough tasks wait."""
        missing = self._waiting_tasks - sum(
            step.pending_count for step in self.engine.find_eligible_steps()
        )
        while missing > 0:
            kind = self._random.choices(range(len(KINDS)), KIND_WEIGHTS)[0]
            _, count, cpu, seconds, is_gang = KINDS[kind]
            queue = self._queues[kind]
            step = StepSpec(
                count=count,
                amounts=Amounts(cpu, 1024, 0),
                estimate_ms=int(seconds * 1000),
                is_gang=is_gang,
                has_checkpoints=not is_gang,
            )
            spec = JobSpec(
                job=JobId(f"{next(self._numbers):016x}"),
                queue=queue.name,
                team=TeamId(f"t{self._random.randrange(TEAMS)}"),
                payload="",
                steps=(step,),
                rules=queue.rules,
                accepted_ms=int(self._now * 1000),
            )
            self.engine.add_job(spec)
            missing -= count

    def run_round(self):
        """Play one round; return the number of placements."""
        self._now += ROUND_SECONDS
        self._apply_ends()
        self.engine.plan()
        batch = self.engine.collect(MAX_ROWS)
        starts = self.engine.confirm_batch(batch)
        self.engine.acknowledge_ends()
        for stop in self.engine.find_due_stops():
            self.engine.confirm_stop(stop, self._now)
            self._end_run(stop.worker, stop.task, stop.run, RunEnd.STOPPED)
        for placement in starts:
            task = placement.task
            self.engine.confirm_start(task, task.run, self._now)
            seconds = task.step.spec.estimate_ms / 1000
            ends_at = self._now + seconds * self._random.uniform(0.8, 1.2)
            heapq.heappush(
                self._ends,
                (ends_at, next(self._numbers), placement.worker, task.name, task.run),
            )
        return len(starts)

    def _apply_ends(self):
        while self._ends and self._ends[0][0] <= self._now:
            _, _, worker, task, run = heapq.heappop(self._ends)
            self._end_run(worker, task, run, RunEnd.DONE)

    def _end_run(self, worker, task, run, end):
        if worker.runs.get(task, (None, 0))[1] != run:
            return
        self._end_numbers[worker] += 1
        ended = ListedEnd(self._end_numbers[worker], task, run, end, "")
        listing = Listing(int(self._now * 1000), 1, (), (ended,))
        # The other runs go on although this listing leaves them out.
        sent_at = self._now - 1e6
        self.engine.apply_listing(worker, listing, sent_at, self._now)


def measure(workers, waiting_tasks, rounds):
    """Return the figures of one size."""
    tracemalloc.start()
    bench = CellBench(workers, 0)
    before = tracemalloc.get_traced_memory()[0]
    bench._waiting_tasks = waiting_tasks
    bench.add_jobs()
    job_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    jobs = len(bench.engine.jobs)
    times, placed = [], 0
    for number in range(rounds):
        bench.add_jobs()
        if number == rounds // 3:
            times, placed = [], 0
            gc.collect()
        started = time.process_time()
        placed += bench.run_round()
        times.append(time.process_time() - started)
    times.sort()
    return {
        "workers": workers,
        "waiting_tasks": waiting_tasks,
        "placements_per_second": round(placed / sum(times)),
        "round_ms_p50": round(1000 * times[len(times) // 2], 2),
        "round_ms_p99": round(1000 * times[int(len(times) * 0.99)], 2),
        "bytes_per_job": round(job_bytes / jobs),
    }


@app.command()
def run(rounds: int = 300, workers: int = 0, waiting_tasks: int = 0):
    """Print one line of JSON for each size."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger("critical"))
    print(json.dumps({"python": platform.python_version(), "rounds": rounds}))
    for worker_count in (workers,) if workers else WORKERS:
        for waiting in (waiting_tasks,) if waiting_tasks else WAITING_TASKS:
            print(json.dumps(measure(worker_count, waiting, rounds)), flush=True)


if __name__ == "__main__":
    app()
