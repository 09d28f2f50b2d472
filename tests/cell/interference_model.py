"""Models of workers on which images interfere, and histories of samples."""

import math
import random
from dataclasses import dataclass, field

from cactustiller.cell import ListedEnd, ListedRun, Listing, RunEnd
from cactustiller.cell.decisions.interference_effects import Sample
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.desired import DesiredState, Team
from cactustiller.cell.records.workers import WorkerInfo
from cactustiller.model import Amounts, JobState, TeamId, WorkerId
from standins.fleet import make_job, make_queue

from .builders import SERVICE

IMAGES = tuple(f"image-{index}" for index in range(8))
HARMFUL = {(IMAGES[0], IMAGES[1]): 2.0, (IMAGES[1], IMAGES[0]): 2.0}
TICK_SECONDS = 0.05
TAIL_FRACTION = 0.03
TAIL_FACTOR = 7.0
# Ends in a history, a fifth to a tenth of those of a cell.
TASKS_PER_SECOND = 40


@dataclass(frozen=True)
class HistoryShape:
    """What a history of samples contains besides noise.

    Attributes
    ----------
    slowdowns : dict of (str, str) to float
        By affected and interfering image.
    slow_images : dict of str to float
        Images whose tasks always take longer than estimated.
    slow_workers : int
        Workers of 0.55 of the speed of the others.
    group_size : int
        Tasks of a step.
    estimate_spread : float
        Standard deviation of the logarithm of the estimates' errors.
    bound_image : str
        Image that runs almost only on the slow workers.
    """

    slowdowns: dict = field(default_factory=dict)
    slow_images: dict = field(default_factory=dict)
    slow_workers: int = 3
    workers: int = 12
    group_size: int = 8
    estimate_spread: float = 0.6
    noise: float = 0.1
    bound_image: str = ""


def iterate_groups(shape, seed, seconds, images=IMAGES):
    """Yield ``(image, samples, now)`` of a synthetic history."""
    source = random.Random(seed)
    groups_per_second = TASKS_PER_SECOND / shape.group_size
    for number in range(int(seconds * groups_per_second)):
        now = number / groups_per_second
        image = source.choice(images)
        error = source.gauss(0.0, shape.estimate_spread)
        error += math.log(shape.slow_images.get(image, 1.0))
        samples = []
        for _ in range(shape.group_size):
            worker = source.randrange(shape.workers)
            is_slow = worker < shape.slow_workers
            others = source.sample(images, 3)
            if shape.bound_image:
                others = [other for other in others if other != shape.bound_image]
                if is_slow or source.random() < 0.05:
                    others.append(shape.bound_image)
            exposures = {other: min(1.0, 1.5 * source.random()) for other in others}
            value = error + source.gauss(0.0, shape.noise)
            value += math.log(1 / 0.55) if is_slow else 0.0
            if source.random() < TAIL_FRACTION:
                value += math.log(TAIL_FACTOR)
            factor = 1.0
            for other, fraction in exposures.items():
                slowdown = shape.slowdowns.get((image, other), 1.0)
                factor += (slowdown - 1.0) * fraction
            value += math.log(factor)
            samples.append(Sample(value, (f"w{worker}", 1), exposures, f"w{worker}"))
        yield image, samples, now


def play_history(estimator, shape, seed, seconds):
    """Feed a history to an estimator.

    Returns
    -------
    dict of (str, str) to float
        When each pair was first known, in seconds.
    """
    learned = {}
    for image, samples, now in iterate_groups(shape, seed, seconds):
        estimator.add_group(image, samples, now)
        for pair in estimator.known:
            learned.setdefault(pair, now)
    return learned


@dataclass
class ModelRun:
    """Run on a modelled worker; `left` and `total` are seconds of work."""

    task: object
    run: int
    image: str
    left: float
    total: float
    is_service: bool


class ModelCell:
    """Engine whose workers run tasks at speeds that depend on the images beside them.

    Parameters
    ----------
    slowdowns : dict of (str, str) to float
        By affected and interfering image.
    speeds : sequence of float
        Speed of each worker.
    cpu : int
        Capacity of each worker; tasks take 1,000.
    is_ranking : bool
        Whether known pairs are kept apart.
    work_factors : dict of str to float
        Work of an image's tasks relative to their estimates.
    """

    def __init__(
        self,
        slowdowns=(),
        speeds=(1.0,) * 8,
        cpu=4000,
        is_ranking=True,
        work_factors=(),
        seed=1,
    ):
        self.now = 100.0
        self.random = random.Random(seed)
        self.slowdowns = dict(slowdowns)
        self.work_factors = dict(work_factors)
        self.learned = {}
        # Seconds that a run spent beside each image that harms it.
        self.harmed_seconds = 0.0
        self.engine = Engine(lambda: self.now, lambda: self.now * 1000)
        self.queue = make_queue(priority=1)
        team = Team(TeamId("team"), 1000.0, (0, 0, 0))
        self.engine.apply_desired(
            DesiredState(1, {self.queue.name: self.queue}, {team.name: team})
        )
        if not is_ranking:
            self.engine._rankers.remove(self.engine._interference_ranker)
        capacity = Amounts(cpu, 65_536, 0)
        infos = {
            WorkerId(f"w{index}"): WorkerInfo(
                WorkerId(f"w{index}"), f"w{index}:1", SERVICE, "z", capacity
            )
            for index in range(len(speeds))
        }
        self.engine.update_workers(infos)
        self.speeds = dict(zip(infos, speeds, strict=True))
        self.runs = {worker: {} for worker in infos}
        self._ends = {worker: 0 for worker in infos}
        for worker in self.engine.workers.values():
            worker.is_reachable = worker.is_synchronized = True
        self.starts = {}
        self._jobs = 0

    @property
    def estimates(self):
        """Estimates of the engine."""
        return self.engine.interference.estimates

    def submit(self, image, count=4, seconds=1.0, **step):
        """Add a job; its estimate has an error that is the same for all its tasks."""
        self._jobs += 1
        error = math.exp(self.random.gauss(0.0, 0.4))
        spec = make_job(
            self._jobs,
            self.queue,
            count=count,
            estimate_ms=int(seconds * 1000 * error),
            image=image,
            **step,
        )
        self.engine.add_job(spec, is_stored=False)
        self.starts[spec.job] = (self.now, seconds)
        return spec.job

    def advance(self):
        """Schedule, start and run tasks for a tick, and report them."""
        self.engine.plan()
        batch = self.engine.collect(10_000)
        for task, worker, *_ in self.engine.confirm_batch(batch):
            self._start(task, worker)
        self.now += TICK_SECONDS
        for worker in self.engine.workers.values():
            self._report(worker)
        self.engine.acknowledge_ends()
        for pair in self.estimates.known:
            self.learned.setdefault(pair, self.now)

    def is_done(self, job):
        """Return whether a job has succeeded."""
        return self.engine.jobs[job].state is JobState.SUCCEEDED

    def _start(self, task, worker):
        spec = task.step.spec
        _, seconds = self.starts[task.step.job.spec.job]
        work = seconds * self.work_factors.get(spec.image, 1.0)
        work *= math.exp(self.random.gauss(0.0, 0.08))
        if self.random.random() < TAIL_FRACTION:
            work *= TAIL_FACTOR
        run = ModelRun(task, task.run, spec.image, work, work, spec.is_service)
        self.runs[worker.info.worker][task.name] = run
        self.engine.confirm_start(task, task.run, self.now)

    def _report(self, worker):
        worker_id = worker.info.worker
        runs, ended = self.runs[worker_id], []
        images = {run.image for run in runs.values()}
        for name, run in list(runs.items()):
            slowdown = self.find_slowdown(run.image, images)
            if slowdown > 1.0:
                self.harmed_seconds += TICK_SECONDS
            run.left -= TICK_SECONDS * self.speeds[worker_id] / slowdown
            if run.left <= 0 and not run.is_service:
                del runs[name]
                self._ends[worker_id] += 1
                number = self._ends[worker_id]
                ended.append(ListedEnd(number, name, run.run, RunEnd.DONE, ""))
        active = tuple(
            ListedRun(
                name,
                run.run,
                "",
                max(0, int(100 * (1 - run.left / run.total))),
                40.0
                * self.find_slowdown(run.image, images)
                * math.exp(self.random.gauss(0.0, 0.05)),
            )
            for name, run in runs.items()
        )
        clock_ms = int(self.now * 1000)
        listing = Listing(clock_ms, 1, active, tuple(ended))
        self.engine.apply_listing(worker, listing, self.now - 0.001, self.now)

    def find_slowdown(self, image, others):
        """Return the factor by which a task is slower beside the given images."""
        factor = 1.0
        for other in others:
            factor *= self.slowdowns.get((image, other), 1.0)
        return factor


def play_mix(cell, seconds, jobs_per_second=2.5, images=IMAGES, **step):
    """Submit jobs of random images for some time, and run all of them to their end.

    Returns
    -------
    list of (str, float, float)
        Image, time of submission and seconds from it to the end of each job.
    """
    source = random.Random(99)
    begin, next_at = cell.now, cell.now
    open_jobs, results = {}, []
    while cell.now - begin < seconds or open_jobs:
        while next_at <= cell.now and cell.now - begin < seconds:
            image = source.choice(images)
            work = source.uniform(0.8, 2.0)
            open_jobs[cell.submit(image, seconds=work, **step)] = image, cell.now
            next_at += source.expovariate(jobs_per_second)
        cell.advance()
        for job in [job for job in open_jobs if cell.is_done(job)]:
            image, submitted = open_jobs.pop(job)
            results.append((image, submitted - begin, cell.now - submitted))
        assert cell.now - begin < 10 * seconds
    return results
