"""Speeds of workers, learned from the progress and the ends of runs; no I/O.

Answers cells whose workers differ in speed without saying so: a gang ends with its
slowest task, and an urgent task has little time beyond its run time.

The tasks of a step do the same work, so only runs of the same step are compared, and
estimated durations are not used. Each run gives one sample, its latest rate. A run may
be slower than its worker (a long tail, interference) but hardly faster, so samples are
combined by an upper quantile. `docs/design/worker-speeds.md` has the alternatives.
"""

import math
from dataclasses import dataclass, field

from ..records.workers import Worker
from ..reporting.events import Event, log_event
from .run_rates import RateMeter

# All levels are computed anew within this time, in several parts so that no round of
# scheduling is delayed by more than one: all at once took 4 ms for 176 workers.
REFRESH_SECONDS = 1.0
REFRESH_PARTS = 8
PART_SECONDS = REFRESH_SECONDS / REFRESH_PARTS
MAX_RATES_PER_STEP = 32
MAX_SAMPLES_PER_WORKER = 16
# A worker is not judged by fewer samples. With three the quantile below is the highest,
# so that one long tail or two do not count.
MIN_SAMPLES = 3
# Samples and steps are forgotten after this time without a report.
SAMPLE_SECONDS = 30.0
# A worker becomes slow only by `MIN_SAMPLES` low samples of this time: one that was
# slow for 6 s was found slow 20 s later, when one long tail was added to its samples.
LOW_SAMPLE_SECONDS = 12.0
# Of the rates of a step: its median would be too low with several stragglers.
STEP_QUANTILE = 0.6
# Of the samples of a worker. Three in a hundred tasks take seven times as long, and so
# are 18% of the runs active at any time; with 0.7, a normal worker of which half of the
# runs are such still counts as normal.
WORKER_QUANTILE = 0.7
# Of the levels of the workers: the speed that counts as 1.0.
REFERENCE_QUANTILE = 0.75
MIN_KNOWN_WORKERS = 4
# Workers below this speed are not part of the reference of a step. A step of which
# fewer rates than this fraction are of other workers says nothing: slow workers that
# share a gang would all seem to be normal.
REFERENCE_LEVEL = math.log(0.9)
MIN_REFERENCE_FRACTION = 0.25
# Without new samples the level returns to 0; a slow one sooner, since a worker that is
# avoided gets fewer runs to show that it has recovered.
SLOW_HALF_LIFE_SECONDS = 30.0
FAST_HALF_LIFE_SECONDS = 60.0
MIN_LEVEL, MAX_LEVEL = math.log(0.05), math.log(4.0)
# A difference of less than a fifth counts as none. A worker becomes slow at a lower
# speed than that at which it recovers, and only once low samples cover this time: some
# workers are slow for 6 s. With 8 s, a gang of 6 s did not suffice to find a slow one.
SLOW_BELOW = 0.75
SLOW_LEVEL = math.log(SLOW_BELOW)
RECOVERED_ABOVE = 0.8
FAST_ABOVE = 1.25
CONFIRM_SECONDS = 7.0
RANKS_PER_UNIT = 5


@dataclass(slots=True, eq=False)
class _StepRates:
    """Logarithms of the latest rates of a step's tasks, with their workers.

    `baseline` is the rate of workers of level 0; None if it is unknown. It is outdated
    if rates have been added since.
    """

    updated_at: float = 0.0
    is_outdated: bool = True
    rates: dict = field(default_factory=dict)
    baseline: float | None = None


@dataclass(slots=True, eq=False)
class _WorkerSpeed:
    """Samples of a worker, and its level: the logarithm of its speed.

    Attributes
    ----------
    samples : dict of TaskRun to (float, float, _StepRates)
        Time, logarithm of the rate, and step of each sample, the oldest first.
    updated_at, known_at : float
        When the level was last computed, and when this was last done from samples.
    low_times : list of float
        Times of the recent samples that are those of a slow worker.
    low_since : float or None
        The first of them when the level became that of a slow worker.
    """

    worker: Worker
    born_ms: int
    updated_at: float
    samples: dict = field(default_factory=dict)
    level: float = 0.0
    known_at: float = -math.inf
    low_times: list = field(default_factory=list)
    low_since: float | None = None
    speed: float = 1.0
    rank: int = 0

    @property
    def has_restarted(self):
        """Whether the samples are those of an earlier incarnation."""
        return self.worker.born_ms != self.born_ms


class SpeedEstimates:
    """Estimates the speeds of workers relative to the fast ones; a `RunObserver`.

    The estimates are kept in memory only and are learned again after a takeover.
    """

    def __init__(self):
        self._meter = RateMeter()
        self._steps = {}
        self._workers = {}
        # The slow workers only, so that a lookup in an even cell costs next to nothing.
        self._slow = {}
        # Workers that the rates of a step are not compared with.
        self._below_reference = set()
        self._next_refresh_at = self._refreshed_at = -math.inf
        self._part = 0

    @property
    def slow_count(self):
        """Number of workers that are known to be slow."""
        return len(self._slow)

    def find_speed(self, worker_id):
        """Return the speed of a worker, 1.0 if it is unknown or nearly that."""
        known = self._workers.get(worker_id)
        if known is None or known.has_restarted:
            return 1.0
        return known.speed if known.rank or known.speed > FAST_ABOVE else 1.0

    def find_rank(self, worker):
        """Return by how many fifths a worker is slow, 0 for the others."""
        known = self._slow.get(worker.info.worker)
        if known is None or worker.born_ms != known.born_ms:
            return 0
        return known.rank

    def record_progress(self, task, worker, listed, now):
        """Record the progress of an active run."""
        if now >= self._next_refresh_at:
            self._refresh(now)
        rate = self._meter.measure_progress(task, worker, listed, now)
        if rate is not None:
            self._add_rate(task, worker, rate, now)

    def record_run_end(self, task, worker, end, now):
        """Record the end of a run."""
        if now >= self._next_refresh_at:
            self._refresh(now)
        rate = self._meter.measure_end(task, worker, end, now)
        if rate is not None:
            self._add_rate(task, worker, rate, now)

    def _add_rate(self, task, worker, rate, now):
        step = self._steps.get(task.step)
        if step is None:
            step = self._steps[task.step] = _StepRates()
        step.updated_at = now
        step.is_outdated = True
        worker_id = worker.info.worker
        _put_latest(step.rates, task, (rate, worker_id), MAX_RATES_PER_STEP)
        known = self._workers.get(worker_id)
        if known is None or known.worker is not worker or known.has_restarted:
            known = _WorkerSpeed(worker, worker.born_ms, updated_at=now)
            self._workers[worker_id] = known
        _put_latest(known.samples, task, (now, rate, step), MAX_SAMPLES_PER_WORKER)

    def _refresh(self, now):
        """Compute the levels of the next parts of the workers, as many as are due."""
        overdue = min(now - self._next_refresh_at, REFRESH_SECONDS)
        self._next_refresh_at = now + PART_SECONDS
        for _ in range(min(REFRESH_PARTS, 1 + int(overdue / PART_SECONDS))):
            workers = list(self._workers.values())[self._part :: REFRESH_PARTS]
            for known in workers:
                self._update_level(known, now)
            self._part = (self._part + 1) % REFRESH_PARTS
            if not self._part:
                self._finish_refresh(now)

    def _finish_refresh(self, now):
        """Drop old state, and compute the speeds and ranks from the levels."""
        since = now - SAMPLE_SECONDS
        self._meter.drop_older(since)
        self._steps = {
            step: rates
            for step, rates in self._steps.items()
            if rates.updated_at > since
        }
        self._workers = {
            worker_id: known
            for worker_id, known in self._workers.items()
            if not known.has_restarted and (known.samples or known.level)
        }
        self._center_levels()
        self._refreshed_at = now
        below_reference = {
            worker
            for worker, known in self._workers.items()
            if known.level < REFERENCE_LEVEL
        }
        if below_reference != self._below_reference:
            self._below_reference = below_reference
            for rates in self._steps.values():
                rates.is_outdated = True
        self._update_ranks()

    def _update_level(self, known, now):
        """Compute a worker's level, or let it return to 0 without enough samples."""
        elapsed = now - known.updated_at
        known.updated_at = now
        since = now - SAMPLE_SECONDS
        while known.samples:
            oldest = next(iter(known.samples))
            if known.samples[oldest][0] > since:
                break
            del known.samples[oldest]
        usable = []
        for at, rate, step in known.samples.values():
            if step.is_outdated:
                step.baseline = _compute_baseline(step.rates, self._below_reference)
                step.is_outdated = False
            if step.baseline is not None:
                usable.append((rate - step.baseline, at))
        if len(usable) >= MIN_SAMPLES:
            values = [value for value, _ in usable]
            known.level = _find_quantile(values, WORKER_QUANTILE)
            known.known_at = now
            since = now - LOW_SAMPLE_SECONDS
            known.low_times = [
                at for value, at in usable if value < SLOW_LEVEL and at > since
            ]
            return
        is_low = known.level < 0
        half_life = SLOW_HALF_LIFE_SECONDS if is_low else FAST_HALF_LIFE_SECONDS
        known.level *= 0.5 ** (elapsed / half_life)
        if abs(known.level) < 0.01:
            known.level = 0.0

    def _center_levels(self):
        """Make the reference of the known workers level 0."""
        known_now = [
            known
            for known in self._workers.values()
            if known.known_at > self._refreshed_at
        ]
        if len(known_now) < MIN_KNOWN_WORKERS:
            return
        reference = _find_quantile([w.level for w in known_now], REFERENCE_QUANTILE)
        for known in known_now:
            known.level = min(MAX_LEVEL, max(MIN_LEVEL, known.level - reference))

    def _update_ranks(self):
        """Find the slow workers; log those that became slow or recovered."""
        for known in self._workers.values():
            known.speed = math.exp(known.level)
            limit = RECOVERED_ABOVE if known.rank else SLOW_BELOW
            is_slow = known.speed < limit
            if not is_slow:
                known.low_since, known.rank = None, 0
            elif known.rank or _is_confirmed(known):
                known.rank = max(1, int((1 - known.speed) * RANKS_PER_UNIT))
        slow = {worker: known for worker, known in self._workers.items() if known.rank}
        for worker_id, known in slow.items():
            if worker_id not in self._slow:
                log_event(
                    Event.WORKER_SLOW,
                    worker=worker_id,
                    speed=round(known.speed, 2),
                    samples=len(known.samples),
                    slow_workers=len(slow),
                )
        for worker_id, known in self._slow.items():
            if worker_id not in slow:
                log_event(
                    Event.WORKER_SPEED_RECOVERED,
                    worker=worker_id,
                    speed=round(self.find_speed(worker_id), 2),
                    samples=len(known.samples),
                    restarted=known.has_restarted,
                    slow_workers=len(slow),
                )
        self._slow = slow


def _is_confirmed(known):
    """Return whether enough recent samples, over enough time, say a worker is slow."""
    times = known.low_times
    if len(times) < MIN_SAMPLES:
        return False
    if known.low_since is None:
        known.low_since = min(times)
    return max(times) - known.low_since >= CONFIRM_SECONDS


def _put_latest(entries, key, value, max_count):
    """Set an entry as the latest of a dict, and drop the oldest beyond `max_count`."""
    entries.pop(key, None)
    entries[key] = value
    if len(entries) > max_count:
        del entries[next(iter(entries))]


def _find_quantile(values, fraction):
    ordered = sorted(values)
    return ordered[int(fraction * len(ordered))]


def _compute_baseline(rates, below_reference):
    """Return the rate of workers of level 0, or None if it is unknown.

    Parameters
    ----------
    rates : dict of TaskRun to (float, WorkerId)
    below_reference : set of WorkerId
        Workers that are too slow to be compared with.
    """
    if len({worker for _, worker in rates.values()}) < 2:
        return None
    reference = [
        rate for rate, worker in rates.values() if worker not in below_reference
    ]
    if len(reference) < max(1.0, MIN_REFERENCE_FRACTION * len(rates)):
        return None
    return _find_quantile(reference, STEP_QUANTILE)
