"""Prints the table of all workloads and schedulers, then one JSON object."""

import json
import os
import platform
import time
from concurrent.futures import ProcessPoolExecutor

import typer

from .baselines import FirstComeFirstFit, StrictPriorityBestFit
from .experiment import Experiment
from .metrics import summarize
from .planner import PlannerScheduler
from .targets import compare
from .workloads import WORKLOADS

SCHEDULERS = (PlannerScheduler, FirstComeFirstFit, StrictPriorityBestFit)
SEED = 20_261_204
PROCESSES = 3


def run_experiment(make_workload, scheduler_class, seed):
    """Return the figures of one workload on one scheduler."""
    workload = make_workload(seed)
    started = time.perf_counter()
    experiment = Experiment(workload, scheduler_class)
    experiment.run()
    figures = summarize(experiment)
    figures["processor s"] = round(time.perf_counter() - started, 1)
    return workload.name, scheduler_class.name, figures


def main(seed: int = SEED, only: str = "", processes: int = PROCESSES):
    """Run all workloads on all schedulers; ONLY picks workloads by a part of it."""
    chosen = [make for make in WORKLOADS if only in make.__name__]
    pairs = [(make, scheduler) for make in chosen for scheduler in SCHEDULERS]
    results = {}
    with ProcessPoolExecutor(processes) as pool:
        futures = [pool.submit(run_experiment, *pair, seed) for pair in pairs]
        for future in futures:
            workload, scheduler, figures = future.result()
            results.setdefault(workload, {})[scheduler] = figures
    conditions = {
        "seed": seed,
        "processors": os.cpu_count(),
        "load": [round(load, 1) for load in os.getloadavg()],
        "python": platform.python_version(),
    }
    print(f"conditions: {conditions}")
    for workload, by_scheduler in results.items():
        _print_table(workload, by_scheduler)
    targets = compare(results)
    for target in targets:
        print(f"{'met   ' if target['met'] else 'MISSED'} {target['name']}: {target}")
    print(
        json.dumps({"conditions": conditions, "results": results, "targets": targets})
    )


def _print_table(workload, by_scheduler):
    names = list(by_scheduler)
    print(f"\n{workload:24}" + "".join(f"{name:>28}" for name in names))
    for figure in by_scheduler[names[0]]:
        values = (by_scheduler[name][figure] for name in names)
        cells = ("-" if value is None else str(value) for value in values)
        print(f"{figure:24}" + "".join(f"{cell:>28}" for cell in cells))


if __name__ == "__main__":
    typer.run(main)
