"""Replay of a cell whose workers differ in speed, on simulated time."""

import itertools
import random
from dataclasses import dataclass, field

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
from cactustiller.cell.records.listings import ListedRun
from cactustiller.model import Amounts, JobId, QueueName, TeamId, WorkerId

SERVICE = "recon"
TICK_SECONDS = 0.05
# Interval of the reports of a worker on which no run ends.
REPORT_SECONDS = 1.5
RESTORE_SECONDS = 0.6
TAIL_FRACTION, TAIL_FACTOR = 0.03, 7.0
MAX_ROWS = 96
RACKS = 9
# Priority, tasks, milli-CPU, seconds and whether a gang, of each kind of job.
KINDS = {
    "urgent": (0, 3, 7_900, 0.64, False),
    "batch": (1, 15, 5_500, 3.4, False),
    "gang": (1, 16, 9_000, 6.2, True),
}
KIND_WEIGHTS = (61.5, 5.55, 3.33)


@dataclass
class Execution:
    """Run on a worker; `done` and `work` are in seconds at speed 1."""

    task: str
    run: int
    step: object
    work: float
    done: float
    restores_until: float

    @property
    def percent(self):
        return min(100, int(100 * self.done / self.work))


@dataclass
class SlowPeriod:
    """Period in which a worker has a fraction of its speed."""

    begins: float
    ends: float
    factor: float


@dataclass
class Replay:
    """Engine with simulated workers and arriving jobs.

    Attributes
    ----------
    speeds : dict of WorkerId to float
    slow_periods : dict of WorkerId to SlowPeriod
    completions : dict of str to list of float
        Seconds from arrival to end, of the jobs of each kind.
    """

    speeds: dict
    jobs_per_second: float = 45.0
    has_tails: bool = True
    ranks: bool = True
    seed: int = 1
    now: float = 100.0
    slow_periods: dict = field(default_factory=dict)
    completions: dict = field(default_factory=lambda: {kind: [] for kind in KINDS})

    def __post_init__(self):
        self._random = random.Random(self.seed)
        self._numbers = itertools.count(1)
        self._jobs = {}
        self._active = {worker: {} for worker in self.speeds}
        self._born = dict.fromkeys(self.speeds, 1)
        self._end_numbers = dict.fromkeys(self.speeds, 0)
        self._reported_at = {
            worker: self.now + self._random.uniform(-REPORT_SECONDS, 0)
            for worker in self.speeds
        }
        self._due_jobs = 0.0
        self.placed = []
        self.engine = Engine(lambda: self.now, lambda: self.now * 1000)
        if not self.ranks:
            self.engine._rankers = self.engine._rankers[:1]
        self._queues = {
            kind: Queue(
                QueueName(kind),
                "host",
                f"/{kind}/",
                QueueRules(SERVICE, priority, 4, 2.2, 1000.0),
            )
            for kind, (priority, *_) in KINDS.items()
        }
        teams = {TeamId("team"): Team(TeamId("team"), 1e6)}
        queues = {queue.name: queue for queue in self._queues.values()}
        self.engine.apply_desired(DesiredState(1, queues, teams))
        self._infos = {
            worker: WorkerInfo(
                worker,
                f"{worker}:1",
                SERVICE,
                "z",
                Amounts(32_000, 65_536, 0),
                ("a", f"r{number % RACKS}"),
            )
            for number, worker in enumerate(self.speeds)
        }
        self.engine.update_workers(self._infos)
        for worker in self.engine.workers.values():
            worker.is_reachable = worker.is_synchronized = True
            worker.born_ms = 1

    def run(self, seconds):
        """Play some seconds; yield after each of them."""
        for _ in range(seconds):
            for _ in range(round(1 / TICK_SECONDS)):
                self._run_tick()
            yield

    def restart(self, worker):
        """Restart a worker; its runs are lost."""
        self._active[worker].clear()
        self._born[worker] += 1
        self._end_numbers[worker] = 0
        self._report(worker, [])
        state = self.engine.workers[worker]
        state.is_reachable = state.is_synchronized = True

    def _run_tick(self):
        self.now += TICK_SECONDS
        self._due_jobs += self.jobs_per_second * TICK_SECONDS
        while self._due_jobs >= 1:
            self._due_jobs -= 1
            self._add_job()
        for worker, executions in self._active.items():
            if executions:
                self._advance(worker, executions)
        for worker, executions in self._active.items():
            ended = [run for run in executions.values() if self._is_done(run)]
            if ended or self.now - self._reported_at[worker] >= REPORT_SECONDS:
                self._report(worker, [(run, RunEnd.DONE) for run in ended])
        self._record_completions()
        self.engine.plan()
        batch = self.engine.collect(MAX_ROWS)
        for placement in self.engine.confirm_batch(batch):
            self._start(placement)
        self.engine.acknowledge_ends()
        for stop in self.engine.find_due_stops():
            self.engine.confirm_stop(stop, self.now)
            run = self._active[stop.worker.info.worker].get(stop.task)
            if run is not None and run.run == stop.run:
                self._report(stop.worker.info.worker, [(run, RunEnd.STOPPED)])

    def _advance(self, worker, executions):
        speed = self.speeds[worker]
        period = self.slow_periods.get(worker)
        if period is not None and period.begins <= self.now < period.ends:
            speed *= period.factor
        for run in executions.values():
            if self.now >= run.restores_until:
                run.done += speed * TICK_SECONDS

    def _is_done(self, run):
        if not run.step.spec.is_gang:
            return run.done >= run.work
        members = [
            self._active[task.worker].get(task.name) if task.worker else None
            for task in run.step.tasks
        ]
        # A member whose end has been reported is no longer active.
        return all(member is None or member.done >= member.work for member in members)

    def _report(self, worker, ends):
        """Report the active runs and some ends of a worker to the engine."""
        executions = self._active[worker]
        listed = []
        for run, end in ends:
            executions.pop(run.task, None)
            self._end_numbers[worker] += 1
            is_saved = end is RunEnd.STOPPED and run.step.spec.has_checkpoints
            checkpoint = f"{run.done / run.work}" if is_saved else ""
            number = self._end_numbers[worker]
            listed.append(ListedEnd(number, run.task, run.run, end, checkpoint))
        active = tuple(
            ListedRun(run.task, run.run, "", run.percent, 0.0)
            for run in executions.values()
        )
        listing = Listing(
            int(self.now * 1000), self._born[worker], active, tuple(listed)
        )
        self._reported_at[worker] = self.now
        state = self.engine.workers[worker]
        self.engine.apply_listing(state, listing, self.now, self.now)

    def _start(self, placement):
        task, worker = placement.task, placement.worker
        step = task.step
        kind = step.job.spec.queue
        self.placed.append((task.name, worker.info.worker))
        work = KINDS[kind][3] * self._random.uniform(0.9, 1.1)
        if self.has_tails and self._random.random() < TAIL_FRACTION:
            work *= TAIL_FACTOR
        if step.spec.data_rack and step.spec.data_rack != worker.info.rack:
            work *= self._random.uniform(1.5, 3.0)
        restores_until = self.now
        done = 0.0
        if task.checkpoint:
            done = float(task.checkpoint) * work
            restores_until += RESTORE_SECONDS
        self._active[worker.info.worker][task.name] = Execution(
            task.name, task.run, step, work, done, restores_until
        )
        self.engine.confirm_start(task, task.run, self.now)

    def _add_job(self):
        kind = self._random.choices(list(KINDS), KIND_WEIGHTS)[0]
        _, count, cpu, seconds, is_gang = KINDS[kind]
        # Estimates are off by up to 90%, in the same way for all tasks of a step.
        estimate = seconds * self._random.uniform(0.1, 1.9)
        data_rack = f"r{self._random.randrange(RACKS)}" if kind == "batch" else ""
        step = StepSpec(
            count=count,
            amounts=Amounts(cpu, 1024, 0),
            estimate_ms=int(estimate * 1000),
            is_gang=is_gang,
            has_checkpoints=kind == "batch",
            data_rack=data_rack if self._random.random() < 0.5 else "",
        )
        queue = self._queues[kind]
        spec = JobSpec(
            job=JobId(f"{next(self._numbers):016x}"),
            queue=queue.name,
            team=TeamId("team"),
            payload="",
            steps=(step,),
            rules=queue.rules,
            accepted_ms=int(self.now * 1000),
        )
        self._jobs[spec.job] = (kind, self.now)
        self.engine.add_job(spec)

    def _record_completions(self):
        for job_id in list(self._jobs):
            if self.engine.jobs[job_id].state.is_final:
                kind, arrived = self._jobs.pop(job_id)
                self.completions[kind].append(self.now - arrived)


def make_speeds(slow, fast, slow_speed=0.55, fast_speed=1.2, seed=7):
    """Return the speeds of workers whose ids do not tell slow from fast ones."""
    speeds = [slow_speed] * slow + [fast_speed] * fast
    random.Random(seed).shuffle(speeds)
    return {WorkerId(f"w{number}"): speed for number, speed in enumerate(speeds)}
