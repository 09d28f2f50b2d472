"""Replay of urgent jobs that arrive faster than a cell can run them."""

import heapq
import random
from dataclasses import replace

from cactustiller.cell.decisions.ordering import find_start_limits, make_order_key
from cactustiller.cell.records.specs import QueueRules

from .builders import SERVICE, make_step

RULES = QueueRules(SERVICE, priority=0, slack_factor=1.5, objective_ms=250.0)
ESTIMATE_MS = 800
# Time from the decision to the start of a run.
START_MS = 80


def make_arrivals(rate, seconds, seed):
    """Return steps of one task with their times of acceptance and run times."""
    generator = random.Random(seed)
    now_ms, arrivals = 0.0, []
    while now_ms < seconds * 1000:
        now_ms += generator.expovariate(rate) * 1000
        step = make_step(len(arrivals) + 1, estimate_ms=ESTIMATE_MS)
        step.job.spec = replace(step.job.spec, accepted_ms=int(now_ms))
        arrivals.append((now_ms, step, ESTIMATE_MS * generator.uniform(0.85, 1.15)))
    return arrivals


def count_in_time(arrivals, slots, make_key=make_order_key):
    """Return how many steps meet their objective if `slots` tasks run at a time.

    Parameters
    ----------
    arrivals : list of (float, StepRun, float)
        Time of acceptance, step and run time, in milliseconds.
    slots : int
    make_key : callable
        Takes the arguments of `make_order_key`.
    """
    free_at = [0.0] * slots
    waiting, position, in_time = [], 0, 0
    while position < len(arrivals) or waiting:
        now_ms = heapq.heappop(free_at)
        if not waiting:
            now_ms = max(now_ms, arrivals[position][0])
        while position < len(arrivals) and arrivals[position][0] <= now_ms:
            waiting.append(arrivals[position])
            position += 1
        best = min(
            waiting,
            key=lambda entry: make_key(
                entry[1], RULES, find_start_limits(entry[1], RULES), now_ms
            ),
        )
        waiting.remove(best)
        end_ms = now_ms + START_MS + best[2]
        heapq.heappush(free_at, end_ms)
        objective_ms = RULES.slack_factor * best[2] + RULES.objective_ms
        in_time += end_ms - best[0] <= objective_ms
    return in_time
