"""Seeded load of jobs and requests, with what its callers were told."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from cactustiller.cli import GatewayClient, JobSubmission
from cactustiller.gateway.jobids import make_job_id
from cactustiller.model import (
    JobId,
    Outcome,
    Record,
    Resources,
    TaskTemplate,
    WorkloadKind,
)

SERVICE = "echo"
QUEUE = "main"
JOBS_PER_SECOND = 3.0
REQUESTS_PER_SECOND = 20.0
CANCEL_FRACTION = 0.15
CANCEL_AFTER_SECONDS = (0.0, 4.0)
KIND_WEIGHTS = {
    WorkloadKind.BATCH: 16,
    WorkloadKind.ALL_AT_ONCE: 4,
    WorkloadKind.SERVICE: 1,
}
MAX_TASKS = {
    WorkloadKind.BATCH: 12,
    WorkloadKind.ALL_AT_ONCE: 8,
    WorkloadKind.SERVICE: 3,
}
CORES = {
    WorkloadKind.BATCH: (1, 1, 2, 4, 8, 16),
    WorkloadKind.ALL_AT_ONCE: (1, 2, 4),
    WorkloadKind.SERVICE: (1, 2, 4),
}
CALL_SECONDS = 10.0


class Team(Record):
    """Team of the load with its upper limits; 0 is none."""

    team: str
    limit_tasks: int = 0
    limit_cpu_millis: int = 0

    @property
    def values(self):
        """Settings values that differ from the default."""
        limits = self.model_dump(exclude={"team"})
        return {name: value for name, value in limits.items() if value}


TEAMS = (
    Team(team="index", limit_tasks=12),
    Team(team="filers", limit_cpu_millis=60_000),
    Team(team="audit"),
)
UNLIMITED_TEAM = TEAMS[-1]


@dataclass
class JobTicket:
    """Job as its submitter knows it; `outcome` None where it was accepted."""

    job: JobId
    submission: JobSubmission
    idempotency_key: str
    outcome: Outcome | None = Outcome.UNKNOWN
    cancel_asked: bool = False
    is_repeated: bool = False


@dataclass
class RequestTicket:
    """Request as its caller knows it; `outcome` None where it was answered."""

    request: str
    idempotent: bool
    outcome: Outcome | None = Outcome.UNKNOWN
    is_whole: bool = True


@dataclass
class Ledger:
    """Everything that callers sent and were told."""

    jobs: list[JobTicket] = field(default_factory=list)
    requests: list[RequestTicket] = field(default_factory=list)

    def count_outcomes(self, tickets):
        """Return the number of tickets by outcome."""
        counts = Counter(
            ticket.outcome.value if ticket.outcome else "accepted" for ticket in tickets
        )
        counts["asked_again"] = sum(
            getattr(ticket, "is_repeated", False) for ticket in tickets
        )
        return dict(sorted(counts.items()))


class Load:
    """Callers of the teams.

    Parameters
    ----------
    gateways : list of str
    keys : dict of str to str
        Secret of each team.
    random : random.Random
    """

    def __init__(self, gateways, keys, random):
        self.ledger = Ledger()
        self._random = random
        self._clients = {
            team: [
                GatewayClient(gateways[n:] + gateways[:n], key, retries=2)
                for n in range(len(gateways))
            ]
            for team, key in keys.items()
        }
        self._calls = set()

    async def close(self):
        """Close all connections."""
        for clients in self._clients.values():
            for client in clients:
                await client.close()

    async def run(self, seconds):
        """Submit jobs and send requests for a time, then await every answer."""
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            self._repeat(until, JOBS_PER_SECOND, self._submit_job),
            self._repeat(until, REQUESTS_PER_SECOND, self._send_request),
        )
        while self._calls:
            await asyncio.wait(set(self._calls))

    def choose_client(self, team):
        """Return one of a team's clients."""
        return self._random.choice(self._clients[team])

    async def _repeat(self, until, rate, begin):
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until:
            self._spawn(begin(number))
            number += 1
            await asyncio.sleep(self._random.expovariate(rate))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _submit_job(self, number):
        submission = self._draw_job(number)
        key = f"chaos-{number}"
        job = make_job_id(submission.team, submission.team, key)
        ticket = JobTicket(job, submission, key)
        self.ledger.jobs.append(ticket)
        answer = await self.choose_client(submission.team).submit_job(submission, key)
        ticket.outcome = None if answer.is_ok() else answer.unwrap_err().outcome
        if answer.is_ok() and self._random.random() < CANCEL_FRACTION:
            await asyncio.sleep(self._random.uniform(*CANCEL_AFTER_SECONDS))
            await self.cancel(ticket)

    async def ask_again(self):
        """Submit again, under the same key, the jobs whose fate is not known."""
        for ticket in self.ledger.jobs:
            if ticket.outcome is Outcome.UNKNOWN:
                client = self.choose_client(ticket.submission.team)
                answer = await client.submit_job(
                    ticket.submission, ticket.idempotency_key
                )
                ticket.outcome = None if answer.is_ok() else Outcome.UNKNOWN
                ticket.is_repeated = True

    async def cancel(self, ticket):
        """Ask once for a job's cancellation; return whether that was accepted."""
        ticket.cancel_asked = True
        client = self.choose_client(ticket.submission.team)
        return (await client.cancel_job(ticket.job)).is_ok()

    def _draw_job(self, number):
        kinds, weights = zip(*KIND_WEIGHTS.items(), strict=True)
        kind = self._random.choices(kinds, weights)[0]
        cores = self._random.choice(CORES[kind])
        is_service = kind is WorkloadKind.SERVICE
        # Services never end, so that they would fill a limited team for good.
        team = UNLIMITED_TEAM if is_service else self._random.choice(TEAMS)
        return JobSubmission(
            name=f"job-{number}",
            team=team.team,
            queue=QUEUE,
            kind=kind,
            task_count=self._random.randint(1, MAX_TASKS[kind]),
            template=TaskTemplate(
                resources=Resources(cpu_millis=cores * 1000, memory_mib=1024 * cores),
                run_seconds=0.0 if is_service else self._random.uniform(0.1, 4.0),
            ),
        )

    async def _send_request(self, number):
        team = self._random.choice(TEAMS).team
        idempotent = self._random.random() < 0.5
        ticket = RequestTicket(f"chaos-{number}", idempotent)
        self.ledger.requests.append(ticket)
        body = f"outlet return {number}".encode()
        answer = await self.choose_client(team).send_request(
            SERVICE,
            body,
            idempotent=idempotent,
            deadline_seconds=CALL_SECONDS,
            work_ms=self._random.choice((5, 20, 200)),
            request_id=ticket.request,
        )
        ticket.outcome = None if answer.is_ok() else answer.unwrap_err().outcome
        if answer.is_ok():
            ticket.is_whole = answer.unwrap().body == body
