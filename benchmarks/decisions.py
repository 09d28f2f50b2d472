"""Time of decisions at several sizes, with the log line that each one costs.

Fill: an empty cell takes what fits of the waiting work, in decisions of up to 64
placements. Churn: the cell is full; each time one task ends and one job arrives, and
the time is that of the whole decision, including the feeding of both changes.
"""

import gc
import io
import json
import os
import platform
import random
import time
from itertools import count

import structlog
import typer

from benchmarks.policy.cells import make_workers
from cactustiller.model import JobSpec, Resources, TaskTemplate, Urgency, WorkloadKind
from cactustiller.policy import Planner, TeamSnapshot, WaitingJob

SEED = 20_261_204
WORKERS = (24, 96, 770)
WAITING = (2_500, 10_000, 40_000)
TEAMS = 340
CHURN_DECISIONS = 1000
PLACEMENTS_PER_DECISION = 64
RATE_TARGET = 2000.0
P99_TARGET_MS = 5.0
GROWTH_TARGET = 1.0
SIZES = ((500, 1024), (1000, 2048), (2000, 4096), (2000, 8192), (4000, 8192))
KINDS = (WorkloadKind.BATCH, WorkloadKind.BATCH, WorkloadKind.SERVICE)


class Bench:
    """One planner with workers, teams and waiting jobs."""

    def __init__(self, workers, waiting, seed):
        self._random = random.Random(seed)
        self._numbers = count()
        self._log = structlog.wrap_logger(
            structlog.PrintLogger(io.StringIO()),
            processors=[structlog.processors.JSONRenderer()],
        )
        self._now = 0.0
        self.planner = Planner()
        self._state = self.planner.state
        for worker in make_workers(workers):
            self._state.fleet.put_worker(worker)
        for number in range(TEAMS):
            self._state.put_team(TeamSnapshot(f"team-{number}", 1.0 + number % 3))
        self._state.fleet.refresh()
        for _ in range(waiting):
            self._submit()

    def _submit(self):
        cpu, memory = self._random.choice(SIZES)
        spec = JobSpec(
            name=f"program-{self._random.randrange(20)}",
            team=f"team-{self._random.randrange(TEAMS)}",
            queue="q",
            kind=self._random.choice(KINDS),
            urgency=self._random.choices(list(Urgency), (1, 20, 2))[0],
            task_count=1,
            template=TaskTemplate(
                resources=Resources(cpu_millis=cpu, memory_mib=memory)
            ),
        )
        job = WaitingJob(
            f"j-{next(self._numbers)}",
            spec,
            (0,),
            self._now,
            p90_seconds=300.0,
            median_seconds=200.0,
        )
        self._state.put_job(job)

    def _decide(self):
        self._now += 0.05
        plan = self.planner.plan(self._now, PLACEMENTS_PER_DECISION)
        for item in plan.placements:
            self._log.info(
                "placement_decided",
                job=item.job,
                index=item.index,
                worker=item.worker,
                candidates=item.candidates,
                score=round(item.score, 3),
                reason=item.reason,
                shard=item.shard,
                epoch=1,
            )
        return len(plan.placements)

    def fill(self):
        """Return seconds of each decision and the number of placements of each."""
        times, placed = [], []
        while True:
            started = time.perf_counter()
            placements = self._decide()
            times.append(time.perf_counter() - started)
            placed.append(placements)
            if not placements:
                return times, placed

    def churn(self, decisions):
        """Return seconds and placements of decisions on the full cell."""
        times, placed = [], []
        for _ in range(decisions):
            self._submit()
            started = time.perf_counter()
            self._end_one()
            placements = self._decide()
            times.append(time.perf_counter() - started)
            placed.append(placements)
        return times, placed

    def _end_one(self):
        job = self._random.choice(list(self._state.running))
        (task,) = self._state.running[job].values()
        self._state.put_running(job, [])
        fleet = self._state.fleet
        fleet.allocate(fleet.rows[task.worker], task.amounts, -1)


def measure(workers, waiting, seed):
    """Return the figures at one size."""
    bench = Bench(workers, waiting, seed)
    gc.collect()
    gc.freeze()
    times, placed = bench.fill()
    per_placement = [
        seconds / placements
        for seconds, placements in zip(times, placed, strict=True)
        if placements
    ]
    churn, churn_placed = bench.churn(CHURN_DECISIONS)
    gc.unfreeze()
    return {
        "workers": workers,
        "waiting tasks": waiting,
        "teams": TEAMS,
        "placed": sum(placed),
        "placements/s": round(sum(placed) / sum(times)),
        "fill ms a placement p50": _find_ms(per_placement, 50),
        "fill ms a placement p99": _find_ms(per_placement, 99),
        "churn placed": sum(churn_placed),
        "churn ms a decision p50": _find_ms(churn, 50),
        "churn ms a decision p99": _find_ms(churn, 99),
    }


def main(seed: int = SEED):
    """Measure all sizes; print a table, the targets and one JSON object."""
    conditions = {
        "seed": seed,
        "processors": os.cpu_count(),
        "load": [round(load, 1) for load in os.getloadavg()],
        "python": platform.python_version(),
    }
    print(f"conditions: {conditions}")
    results = [measure(workers, 10_000, seed) for workers in WORKERS]
    growth = [measure(WORKERS[-1], waiting, seed) for waiting in WAITING]
    for row in results + growth:
        print(", ".join(f"{name} {value}" for name, value in row.items()))
    targets = _compare(results, growth)
    for target in targets:
        print(f"{'met   ' if target['met'] else 'MISSED'} {target}")
    print(
        json.dumps(
            {
                "conditions": conditions,
                "results": results,
                "growth": growth,
                "targets": targets,
            }
        )
    )


def _compare(results, growth):
    large = results[-1]
    few, many = growth[0], growth[-1]
    factor = many["waiting tasks"] / few["waiting tasks"]
    cost = many["churn ms a decision p50"] / few["churn ms a decision p50"]
    return [
        {
            "name": "placements/s",
            "figure": large["placements/s"],
            "at least": RATE_TARGET,
            "met": large["placements/s"] >= RATE_TARGET,
        },
        {
            "name": "churn ms a decision p99",
            "figure": large["churn ms a decision p99"],
            "at most": P99_TARGET_MS,
            "met": large["churn ms a decision p99"] <= P99_TARGET_MS,
        },
        {
            "name": f"cost of {factor:.0f} times the waiting tasks, by that factor",
            "figure": round(cost / factor, 3),
            "below": GROWTH_TARGET,
            "met": cost / factor < GROWTH_TARGET,
        },
    ]


def _find_ms(seconds, percent):
    ordered = sorted(seconds)
    position = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return round(1000 * ordered[position], 3)


if __name__ == "__main__":
    typer.run(main)
