"""Reports of the jobs that wait and what holds them back."""

import asyncio
import heapq
from collections import Counter
from functools import cache
from itertools import islice

from ..decisions.blocking import Block, find_block, find_step_obstacle
from ..decisions.ordering import may_be_deferred
from ..decisions.service_usage import is_busy, is_half_used, measure_usage
from ..reporting.events import Event, log_event

INTERVAL_SECONDS = 1.0
# A step that waits for less time is no matter for an operator.
MIN_WAIT_SECONDS = 1.0
# An unchanged reason is reported again after this time.
REPEAT_SECONDS = 10.0
# Bounds of one report: steps of each service that are compared by their wait, steps
# that are looked at for that, steps that are examined, and looks at workers, of which
# each takes about a microsecond.
MAX_COMPARED_STEPS = 400
MAX_LISTED_STEPS = 4000
MAX_STEPS = 20
MAX_WORKER_LOOKS = 1000


class BlockReporter:
    """Logs why steps wait; those examined longest ago come first.

    Parameters
    ----------
    engine : Engine
    clock, wall_clock_ms : callable
        Event loop time in seconds; Unix milliseconds.

    Attributes
    ----------
    reasons : Counter
        Steps examined by the latest report, by reason.
    """

    def __init__(self, engine, clock, wall_clock_ms):
        self.reasons = Counter()
        self._engine = engine
        self._clock = clock
        self._wall_clock_ms = wall_clock_ms
        self._examined = {}
        self._reported = {}

    async def run(self):
        """Write a report at regular intervals."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.report()

    def report(self):
        """Examine some of the waiting steps and log what has changed."""
        now = self._clock()
        waiting = self._list_waiting(now)
        self._forget_others(waiting)
        self.reasons = Counter()
        for step, block in self._examine(waiting, now):
            self._examined[step] = now
            self.reasons[block.reason.value] += 1
            self._log(step, block, now)

    def _list_waiting(self, now):
        """Return steps that have waited, a bounded number of each service."""
        counts = Counter()
        waiting = []
        for step in islice(self._engine.iterate_eligible(), MAX_LISTED_STEPS):
            if now - step.eligible_at < MIN_WAIT_SECONDS:
                continue
            service = self._engine.find_rules(step.job).service
            counts[service] += 1
            if counts[service] <= MAX_COMPARED_STEPS:
                waiting.append(step)
        return waiting

    def _examine(self, waiting, now):
        """Yield ``(step, Block)`` within the bounds of one report."""
        engine, now_ms = self._engine, self._wall_clock_ms()
        workers = engine.workers.values()
        usage = cache(lambda: measure_usage(workers))
        looks_left = MAX_WORKER_LOOKS
        known = {}
        steps = heapq.nsmallest(
            MAX_STEPS,
            waiting,
            key=lambda step: (self._examined.get(step, 0.0), step.eligible_at),
        )
        for key, step, rules in engine.compute_order_keys(steps, now_ms):
            is_deferred = may_be_deferred(key, now_ms / 1000) and is_busy(
                usage(), rules.service
            )
            has_room = engine.has_team_room(step)
            obstacle = find_step_obstacle(step, rules, has_room, is_deferred, now)
            if obstacle is not None:
                yield step, Block(obstacle, Counter())
                continue
            shape = _make_shape(step, rules, key)
            if shape is None or shape not in known:
                if looks_left < len(workers) and looks_left < MAX_WORKER_LOOKS:
                    continue
                looks_left -= len(workers)
                known[shape] = find_block(
                    step, rules, key, workers, now, is_half_used(usage(), rules.service)
                )
            yield step, known[shape]

    def _log(self, step, block, now):
        job = step.job.spec.job
        reported_at = self._reported.get((job, block.reason), -REPEAT_SECONDS)
        if now - reported_at < REPEAT_SECONDS:
            return
        self._reported[job, block.reason] = now
        log_event(
            Event.JOB_BLOCKED,
            job=job,
            step=step.name,
            reason=block.reason.value,
            waited_seconds=round(now - step.eligible_at, 1),
            workers={name.value: count for name, count in block.counts.items()},
        )

    def _forget_others(self, waiting):
        steps = set(waiting)
        jobs = {step.job.spec.job for step in steps}
        self._examined = {
            step: at for step, at in self._examined.items() if step in steps
        }
        self._reported = {
            key: at for key, at in self._reported.items() if key[0] in jobs
        }


def _make_shape(step, rules, key):
    """Return what steps with the same `Block` have in common; None if they have none.

    Approval, reservations and the limit per worker are those of one step.
    """
    spec = step.spec
    if rules.needs_approval or spec.is_gang or spec.max_per_worker:
        return None
    return (rules.service, spec.counted, spec.required_label, spec.fills, key.band)
