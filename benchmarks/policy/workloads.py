"""Seeded workloads: who submits what and when, and how it really runs."""

import random
from dataclasses import dataclass, field

from cactustiller.model import JobSpec, Resources, TaskTemplate, Urgency, WorkloadKind

HOUR_SECONDS = 3600.0
SMALL = ((500, 1024), (1000, 2048), (1000, 1024))
MEDIUM = ((2000, 4096), (2000, 8192), (4000, 8192), (4000, 4096))
LARGE = ((8000, 16384), (16000, 24576))


@dataclass
class Arrival:
    """Job with the run seconds that its tasks really need.

    `cancelled_at` is infinite for a job that is not cancelled.
    """

    at: float
    spec: JobSpec
    seconds: list[float]
    cancelled_at: float = float("inf")


@dataclass
class Workload:
    """Everything that happens in one experiment."""

    name: str
    workers: int
    until: float
    arrivals: list[Arrival]
    weights: dict[str, float]
    black_holes: int = 0
    limits: dict[str, int] = field(default_factory=dict)


class _WorkloadBuilder:
    """Writes arrivals with one random generator."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.arrivals = []

    def submit(self, at, team, name, sizes, mean_seconds, **changes):
        """Add one job with lognormal run times around a mean."""
        cpu, memory = self.random.choice(sizes)
        tasks = changes.pop("tasks", 1)
        cancelled_at = changes.pop("cancelled_at", float("inf"))
        error = changes.pop("error", 1.0)
        scale = self.random.lognormvariate(0, 0.3) * mean_seconds
        seconds = [
            max(0.5, scale * self.random.lognormvariate(0, 0.15)) for _ in range(tasks)
        ]
        spec = JobSpec(
            name=name,
            team=team,
            queue=changes.pop("queue", "q"),
            kind=changes.pop("kind", WorkloadKind.BATCH),
            task_count=tasks,
            template=TaskTemplate(
                resources=Resources(cpu_millis=cpu, memory_mib=memory),
                run_seconds=round(mean_seconds * error, 3),
            ),
            **changes,
        )
        self.arrivals.append(Arrival(at, spec, seconds, cancelled_at))

    def generate_arrival_times(self, rate, start, end):
        """Yield Poisson arrival times at `rate` a second."""
        at = start
        while True:
            at += self.random.expovariate(rate)
            if at >= end:
                return
            yield at

    def add_urgent(self, teams, rate, end, bursts=()):
        """Add short urgent jobs, steadily and in bursts of (time, count)."""
        times = list(self.generate_arrival_times(rate, 60.0, end))
        times += [
            at + self.random.random() for at, count in bursts for _ in range(count)
        ]
        for at in times:
            team = self.random.choice(teams)
            self.submit(
                at, team, "query", SMALL, 8.0, urgency=Urgency.URGENT, queue="counter"
            )

    def finish(self, name, workers, until, weights, **changes):
        arrivals = sorted(self.arrivals, key=lambda arrival: arrival.at)
        return Workload(name, workers, until, arrivals, weights, **changes)


def make_month_end(seed):
    """Ardmore: rebasing and imputation before publication, supervisors' queries."""
    builder = _WorkloadBuilder(seed)
    teams = [f"region-{number}" for number in range(12)]
    for team in teams[:6]:
        builder.submit(
            0.0, team, "returns", SMALL, 1e9, tasks=4, kind=WorkloadKind.SERVICE
        )
    for at in builder.generate_arrival_times(0.075, 0.0, HOUR_SECONDS):
        team = builder.random.choice(teams)
        builder.submit(
            at,
            team,
            builder.random.choice(["rebase", "impute"]),
            MEDIUM,
            240.0,
            tasks=builder.random.randint(4, 30),
            deadline_seconds=builder.random.choice([1500.0, 2700.0, 5400.0]),
        )
    for at in builder.generate_arrival_times(0.01, 0.0, HOUR_SECONDS):
        team = builder.random.choice(teams)
        builder.submit(at, team, "archive", LARGE, 300.0, tasks=4, urgency=Urgency.IDLE)
    for at in (600.0, 1500.0, 2400.0):
        builder.submit(
            at, teams[0], "index", LARGE, 200.0, tasks=16, kind=WorkloadKind.ALL_AT_ONCE
        )
    builder.add_urgent(teams, 0.5, HOUR_SECONDS, ((1800.0, 30), (3000.0, 30)))
    weights = {team: 2.0 if number < 2 else 1.0 for number, team in enumerate(teams)}
    return builder.finish("month end", 24, 2 * HOUR_SECONDS, weights)


def make_quarter_end(seed):
    """Cascade: return builds before the filing date, checks at the counter."""
    builder = _WorkloadBuilder(seed)
    teams = [f"franchise-{number}" for number in range(40)]
    for at in builder.generate_arrival_times(0.4, 0.0, HOUR_SECONDS):
        builder.submit(
            at,
            builder.random.choice(teams),
            "return",
            MEDIUM,
            180.0,
            tasks=builder.random.randint(1, 8),
            deadline_seconds=builder.random.choice([900.0, 1800.0, 3600.0, 7200.0]),
        )
    for at in builder.generate_arrival_times(0.05, 0.0, HOUR_SECONDS):
        team = builder.random.choice(teams)
        builder.submit(at, team, "reconcile", MEDIUM, 400.0, tasks=3)
    for at in (900.0, 2000.0):
        builder.submit(
            at,
            teams[1],
            "credits",
            LARGE,
            150.0,
            tasks=12,
            kind=WorkloadKind.ALL_AT_ONCE,
        )
    builder.add_urgent(teams, 1.0, HOUR_SECONDS, ((2400.0, 40),))
    return builder.finish(
        "quarter end", 24, 2 * HOUR_SECONDS, dict.fromkeys(teams, 1.0)
    )


def make_cancellation_wave(seed):
    """Thousands of waiting tasks are cancelled at once."""
    builder = _WorkloadBuilder(seed)
    teams = [f"team-{number}" for number in range(10)]
    for at in builder.generate_arrival_times(0.1, 0.0, 1200.0):
        is_cancelled = builder.random.random() < 0.8
        builder.submit(
            at,
            builder.random.choice(teams),
            "sweep",
            MEDIUM,
            200.0,
            tasks=builder.random.randint(20, 60),
            cancelled_at=1200.0 if is_cancelled else float("inf"),
        )
    builder.add_urgent(teams, 0.5, 2400.0)
    weights = dict.fromkeys(teams, 1.0)
    return builder.finish("cancellation wave", 24, HOUR_SECONDS, weights)


def make_skewed_mix(seed):
    """A few teams submit most of the work of a cell with too much of it."""
    builder = _WorkloadBuilder(seed)
    teams = [f"team-{number}" for number in range(60)]
    popularity = [1 / (rank + 1) for rank in range(len(teams))]
    for at in builder.generate_arrival_times(0.55, 0.0, 1.5 * HOUR_SECONDS):
        (team,) = builder.random.choices(teams, popularity)
        builder.submit(
            at, team, "build", MEDIUM, 120.0, tasks=builder.random.randint(2, 16)
        )
    weights = {team: (1.0, 2.0, 4.0)[n % 3] for n, team in enumerate(teams)}
    return builder.finish("skewed mix", 24, 1.5 * HOUR_SECONDS, weights)


def make_wrong_estimates(seed):
    """Declared run times are 10 times too short or too long."""
    builder = _WorkloadBuilder(seed)
    teams = [f"team-{number}" for number in range(20)]
    programs = [
        (f"program-{n}", builder.random.choice([60.0, 200.0, 600.0]), error)
        for n, error in enumerate([0.1, 1.0, 10.0] * 6)
    ]
    for at in builder.generate_arrival_times(0.22, 0.0, HOUR_SECONDS):
        name, mean, error = builder.random.choice(programs)
        builder.submit(
            at,
            builder.random.choice(teams),
            name,
            MEDIUM,
            mean,
            tasks=builder.random.randint(1, 10),
            error=error,
            deadline_seconds=builder.random.choice([1200.0, 2400.0, 4800.0]),
        )
    for at in (800.0, 1600.0, 2400.0):
        builder.submit(
            at, teams[0], "whole", LARGE, 150.0, tasks=12, kind=WorkloadKind.ALL_AT_ONCE
        )
    builder.add_urgent(teams, 0.5, HOUR_SECONDS)
    weights = dict.fromkeys(teams, 1.0)
    return builder.finish("wrong estimates", 24, 2 * HOUR_SECONDS, weights)


def make_black_holes(seed):
    """Two of 40 workers fail everything within 0.2 s; one program always fails."""
    builder = _WorkloadBuilder(seed)
    teams = [f"team-{number}" for number in range(20)]
    for at in builder.generate_arrival_times(0.45, 0.0, HOUR_SECONDS):
        is_broken = builder.random.random() < 0.02
        builder.submit(
            at,
            builder.random.choice(teams),
            "broken" if is_broken else "build",
            MEDIUM,
            150.0,
            tasks=builder.random.randint(1, 12),
            deadline_seconds=3600.0,
        )
    builder.add_urgent(teams, 0.5, HOUR_SECONDS)
    weights = dict.fromkeys(teams, 1.0)
    return builder.finish("black holes", 40, 2 * HOUR_SECONDS, weights, black_holes=2)


WORKLOADS = (
    make_month_end,
    make_quarter_end,
    make_cancellation_wave,
    make_skewed_mix,
    make_wrong_estimates,
    make_black_holes,
)
