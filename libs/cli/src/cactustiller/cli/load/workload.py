"""Description of a workload: who submits what, how often and for how long."""

from typing import Annotated

import pyjson5
from pydantic import AfterValidator, Field, ValidationError
from result import Err, Ok, Result

from cactustiller.model import Record, Resources, WorkloadKind
from cactustiller.model.jobs import NAME_PATTERN

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Probability = Annotated[float, Field(ge=0.0, le=1.0)]


def _check_range(value):
    low, high = value
    if not 0 <= low <= high:
        raise ValueError(f"[{low}, {high}] is no range of numbers from 0")
    return value


Range = Annotated[tuple[float, float], AfterValidator(_check_range)]
Counts = Annotated[tuple[int, int], AfterValidator(_check_range)]


class TeamLoad(Record):
    """Team that the load creates where it is absent; `weight` is its share's."""

    name: Name
    weight: float = Field(default=1.0, gt=0)
    limit_tasks: int = Field(default=0, ge=0)


class JobLoad(Record):
    """Jobs that arrive at random with a mean rate; ranges are drawn uniformly.

    Parameters
    ----------
    name : str
        Name of the jobs and of the queue that they go to.
    teams : list of str
        Submitters, drawn in proportion to `skew`.
    per_minute : float
        Mean rate of arrivals.
    skew : float
        Exponent of the teams' Zipf distribution; 0 gives each the same.
    tasks, cpu_millis, memory_mib, accelerators, run_seconds : pairs
        Lowest and highest value.
    deadline_seconds : float
        From acceptance; 0 for none.
    wrong_estimates : float
        Part of the jobs whose true run time is `wrong_factor` times the declared.
    cancelled : float
        Part of the jobs that are cancelled `cancel_after_seconds` after arrival.
    fails : float
        Part of the jobs whose tasks fail.
    """

    name: Name
    kind: WorkloadKind = WorkloadKind.BATCH
    urgent: bool = False
    teams: list[Name] = Field(min_length=1)
    per_minute: float = Field(gt=0)
    skew: float = Field(default=0.0, ge=0)
    tasks: Counts = (1, 1)
    cpu_millis: Counts = (1000, 1000)
    memory_mib: Counts = (512, 512)
    accelerators: Counts = (0, 0)
    run_seconds: Range = (1.0, 1.0)
    deadline_seconds: float = Field(default=0.0, ge=0)
    wrong_estimates: Probability = 0.0
    wrong_factor: float = Field(default=3.0, gt=0)
    cancelled: Probability = 0.0
    cancel_after_seconds: float = Field(default=5.0, ge=0)
    fails: Probability = 0.0
    starts_at_seconds: float = Field(default=0.0, ge=0)


class RequestLoad(Record):
    """Interactive requests to a backend service, as one team."""

    service: Name
    team: Name
    per_second: float = Field(gt=0)
    work_ms: Counts = (5, 5)
    deadline_seconds: float = Field(default=5.0, gt=0)


class Workload(Record):
    """Whole file."""

    name: Name
    duration_seconds: float = Field(gt=0)
    drain_seconds: float = Field(default=30.0, ge=0)
    seed: int = 0
    teams: list[TeamLoad] = Field(min_length=1)
    jobs: list[JobLoad] = []
    requests: list[RequestLoad] = []

    def find_unknown_teams(self):
        """Return the teams that are used but not described."""
        known = {team.name for team in self.teams}
        used = {team for job in self.jobs for team in job.teams}
        return sorted((used | {load.team for load in self.requests}) - known)


def draw_resources(random, load):
    """Return resources between the lowest and highest of a `JobLoad`."""
    return Resources(
        cpu_millis=random.randint(*load.cpu_millis),
        memory_mib=random.randint(*load.memory_mib),
        accelerators=random.randint(*load.accelerators),
    )


def read_workload(text, source) -> Result[Workload, list[str]]:
    """Return the checked workload in JSON with comments, or a line per problem."""
    try:
        workload = Workload.model_validate(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return Err([f"{source}: {error.args[0]}"])
    except ValidationError as error:
        return Err(
            [
                f"{source}: {'.'.join(map(str, problem['loc']))}: {problem['msg']}"
                for problem in error.errors()
            ]
        )
    unknown = workload.find_unknown_teams()
    if unknown:
        return Err([f"{source}: teams: {', '.join(unknown)} used but not described"])
    return Ok(workload)
