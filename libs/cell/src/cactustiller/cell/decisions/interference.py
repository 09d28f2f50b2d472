"""Observation of interference between the images of tasks on one worker; no I/O.

Answers filling and batch tasks that slow down the tasks beside them by amounts that
depend on both images: the ends of batch tasks and the tail latencies of serving tasks
are related to the images that ran on the same worker at the time.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from ..records.runs import RunEnd
from .interference_effects import Sample
from .interference_estimates import PairEstimates

# Samples of a step are compared once all its tasks have ended, or after this time.
GROUP_SECONDS = 20.0
MAX_GROUPS = 2048
MAX_GROUP_SAMPLES = 64
# Runs that ended on a worker and are remembered for those that ran beside them.
MAX_ENDED_PER_WORKER = 64
MAX_ENDED_WORKERS = 2048
# Images beside a run that are taken into account.
MAX_NEIGHBOURS = 16
# Shorter runs measure the delay of calls and listings.
MIN_RUN_SECONDS = 0.2
# A reported tail latency covers the last 0.5 s, and a pace takes effect after 0.1 s.
LATENCY_WINDOW_SECONDS = 0.6
LATENCY_INTERVAL_SECONDS = 1.0
LATENCY_GROUP_SAMPLES = 8
MAX_SERVING_TASKS = 8192
# Limits of the processor time: a sample takes 0.13 ms on a worker of 32 runs, and a
# cell has up to 400 ends a second. Each group opened counts with all its samples.
RUN_SAMPLES_PER_SECOND = 100
LATENCY_SAMPLES_PER_SECOND = 50
# A filling task that is paced below this counts as paused: its effect is too small.
MIN_PACE_PERCENT = 20


@dataclass(slots=True)
class Group:
    """Samples that share their expected value."""

    image: str
    opened_at: float
    samples: list = field(default_factory=list)


class InterferenceObserver:
    """Learns which images interfere with which from the reports of workers.

    Steps without an image are ignored. So are, as affected tasks: those of gangs, which
    wait for each other; filling tasks, which are paced; and runs that resumed from a
    checkpoint, were started by a previous owner, or began on a worker still slow after
    its start.

    Attributes
    ----------
    estimates : PairEstimates
    """

    def __init__(self):
        self.estimates = PairEstimates()
        self._groups = OrderedDict()
        self._ended = OrderedDict()
        self._next_sample_at = OrderedDict()
        self._next_flush = 0.0
        self._run_samples_left = RUN_SAMPLES_PER_SECOND
        self._latency_samples_left = LATENCY_SAMPLES_PER_SECOND

    @property
    def size(self):
        """Number of groups and workers of which samples or ends are kept."""
        return len(self._groups) + len(self._ended) + len(self._next_sample_at)

    def record_run_end(self, task, worker, end, now):
        """Take the time of a run as a sample if it is comparable to others."""
        step = task.step
        spec = step.spec
        if not spec.image or not task.started_at:
            return
        self._flush(now)
        if (
            end is RunEnd.DONE
            and spec.estimate_ms
            and not (spec.is_service or spec.is_gang or spec.fills)
            and task.start_sent_at
            and not (task.run > 1 and task.checkpoint)
            and now - task.started_at >= MIN_RUN_SECONDS
            and task.started_at >= worker.cold_until
        ):
            self._sample_run(task, worker, now)
        self._remember_end(task, worker, now)

    def record_progress(self, task, worker, listed, now):
        """Take the tail latency of a serving task as a sample, once a second."""
        spec = task.step.spec
        if not spec.image or not spec.latency_target_ms:
            return
        if now < self._next_sample_at.get(task, 0.0):
            return
        steady_since = max(task.started_at or now, worker.pace.changed_at)
        if listed.load <= 0 or now - steady_since < LATENCY_WINDOW_SECONDS:
            return
        self._next_sample_at[task] = now + LATENCY_INTERVAL_SECONDS
        self._next_sample_at.move_to_end(task)
        if len(self._next_sample_at) > MAX_SERVING_TASKS:
            self._next_sample_at.popitem(last=False)
        self._flush(now)
        group = self._groups.get(task)
        if group is None:
            if self._latency_samples_left <= 0:
                return
            self._latency_samples_left -= LATENCY_GROUP_SAMPLES
            group = self._open_group(task, spec.image, now)
        sample = Sample(
            math.log(listed.load / spec.latency_target_ms),
            _identify(worker),
            self._find_exposures(worker, now - LATENCY_WINDOW_SECONDS, now, task),
            # Each group is evidence of its own: it compares one run with itself.
            (task.name, group.opened_at),
        )
        group.samples.append(sample)
        if len(group.samples) >= LATENCY_GROUP_SAMPLES:
            self._close_group(task, now)

    def _sample_run(self, task, worker, now):
        spec = task.step.spec
        max_samples = min(spec.count, MAX_GROUP_SAMPLES)
        group = self._groups.get(task.step)
        if group is None:
            if self._run_samples_left <= 0:
                return
            self._run_samples_left -= max_samples
            group = self._open_group(task.step, spec.image, now)
        seconds = now - task.started_at
        group.samples.append(
            Sample(
                math.log(seconds * 1000 / spec.estimate_ms),
                _identify(worker),
                self._find_exposures(worker, task.started_at, now, task),
                worker.info.worker,
            )
        )
        if len(group.samples) >= max_samples:
            self._close_group(task.step, now)

    def _find_exposures(self, worker, since, now, affected):
        """Return the fraction of a time for which each image ran beside a task."""
        intervals, first_starts = {}, {}
        for image, started_at, ended_at in reversed(
            self._ended.get(_identify(worker), ())
        ):
            if ended_at <= since:
                break
            intervals.setdefault(image, []).append((started_at, ended_at))
        for task, _ in worker.runs.values():
            image = task.step.spec.image
            if image and task.started_at and task is not affected and _is_at_work(task):
                started_at = task.started_at
                if started_at < first_starts.get(image, now):
                    first_starts[image] = started_at
        for image, started_at in first_starts.items():
            intervals.setdefault(image, []).append((started_at, now))
        seconds = now - since
        exposures = {
            image: _sum_covered(spans, since) / seconds
            for image, spans in intervals.items()
        }
        if len(exposures) > MAX_NEIGHBOURS:
            largest = sorted(exposures, key=exposures.get, reverse=True)
            exposures = {image: exposures[image] for image in largest[:MAX_NEIGHBOURS]}
        return exposures

    def _remember_end(self, task, worker, now):
        if not _is_at_work(task):
            return
        key = _identify(worker)
        ended = self._ended.get(key)
        if ended is None:
            ended = self._ended[key] = deque(maxlen=MAX_ENDED_PER_WORKER)
        self._ended.move_to_end(key)
        if len(self._ended) > MAX_ENDED_WORKERS:
            self._ended.popitem(last=False)
        ended.append((task.step.spec.image, task.started_at, now))

    def _open_group(self, key, image, now):
        if len(self._groups) >= MAX_GROUPS:
            self._close_group(next(iter(self._groups)), now)
        group = self._groups[key] = Group(image, now)
        return group

    def _close_group(self, key, now):
        group = self._groups.pop(key)
        self.estimates.add_group(group.image, group.samples, now)

    def _flush(self, now):
        """Close the groups that have waited too long, and drop outdated pairs."""
        if now < self._next_flush:
            return
        self._next_flush = now + 1.0
        self._run_samples_left = RUN_SAMPLES_PER_SECOND
        self._latency_samples_left = LATENCY_SAMPLES_PER_SECOND
        while self._groups:
            key, group = next(iter(self._groups.items()))
            if now - group.opened_at < GROUP_SECONDS:
                break
            self._close_group(key, now)
        self.estimates.sweep(now)


def _identify(worker):
    """Return the key of a worker's incarnation, whose speed may differ from others."""
    return worker.info.worker, worker.born_ms


def _is_at_work(task):
    """Return whether a run uses the worker; a filling task may be paused."""
    if not task.step.spec.fills or task.pace is None:
        return True
    return task.pace >= MIN_PACE_PERCENT


def _sum_covered(spans, since):
    """Return the time after `since` that is covered by at least one span.

    The sum of the spans, limited to the whole time, would be larger for long runs than
    for short ones beside the same images, and long runs would seem to be slowed down.
    """
    covered = 0.0
    for started_at, ended_at in sorted(spans):
        since = max(since, started_at)
        if ended_at > since:
            covered += ended_at - since
            since = ended_at
    return covered
