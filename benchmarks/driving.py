"""Drives a cell to a given number of teams, tasks, starts and changes."""

import asyncio
from typing import NamedTuple

from cactustiller.cli import GatewayClient, JobSubmission
from cactustiller.cli.load import Workload
from cactustiller.cli.load.preparation import prepare_cell
from cactustiller.model import Resources, TaskTemplate, WorkloadKind

STANDING_QUEUE = "standing"
FLOW_QUEUE = "flow"
STANDING_TASKS_PER_JOB = 50
FLOW_TASKS_PER_JOB = 4
FLOW_RUN_SECONDS = 5.0
SUBMIT_DEADLINE_SECONDS = 15.0
FILL_TASKS_PER_SECOND = 250.0
SMALL = Resources(cpu_millis=500, memory_mib=512)
TEAM_PATH = "demo/main/"


class DriveError(Exception):
    """The cell refused what the measurement needs."""


class Size(NamedTuple):
    """Size of a cell, in proportion to the design size."""

    workers: int
    teams: int
    tasks: int
    starts: float


DESIGN = Size(workers=770, teams=340, tasks=19_000, starts=56.0)


def scale_design(workers):
    """Return the `Size` of a cell with that many workers."""
    part = workers / DESIGN.workers
    return Size(
        workers,
        max(2, round(DESIGN.teams * part)),
        round(DESIGN.tasks * part),
        DESIGN.starts * part,
    )


class Driver:
    """Submits to a cell and changes its settings.

    Parameters
    ----------
    cell : Cell
    operator : GatewayClient
    size : Size
    """

    def __init__(self, cell, operator, size):
        self.refused = 0
        self._size = size
        self._operator = operator
        self._gateways = [
            address for name, address in cell.addresses.items() if name[:7] == "gateway"
        ]
        self._teams = [f"team-{number:03d}" for number in range(size.teams)]
        self._clients = []
        self._flow_jobs = []

    async def close(self):
        """Close the submitters' connections."""
        for client in self._clients:
            await client.close()

    async def add_teams(self):
        """Add the teams, their queues and one submitter's key."""
        prepared = await prepare_cell(self._operator, self._describe())
        if prepared.is_err():
            raise DriveError(str(prepared.unwrap_err()))
        key = prepared.unwrap().key
        count = len(self._gateways)
        self._clients = [
            # Each begins with another gateway, as behind a balancer.
            GatewayClient(
                self._gateways[first:] + self._gateways[:first],
                key,
                deadline_seconds=SUBMIT_DEADLINE_SECONDS,
                retries=2,
            )
            for first in range(count)
        ]

    async def fill(self, tasks):
        """Submit services with that many tasks in all, at a bounded rate."""
        sizes = [STANDING_TASKS_PER_JOB] * (tasks // STANDING_TASKS_PER_JOB)
        sizes += [rest] if (rest := tasks % STANDING_TASKS_PER_JOB) else []
        async with asyncio.TaskGroup() as calls:
            for number, count in enumerate(sizes):
                calls.create_task(self._submit(number, STANDING_QUEUE, count))
                await asyncio.sleep(count / FILL_TASKS_PER_SECOND)

    async def keep_starting(self, per_second):
        """Submit short jobs on a fixed schedule until cancelled."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        calls = set()
        for number in range(10**9):
            due = begin + number * FLOW_TASKS_PER_JOB / per_second
            await asyncio.sleep(max(0.0, due - loop.time()))
            call = asyncio.create_task(
                self._submit(number, FLOW_QUEUE, FLOW_TASKS_PER_JOB)
            )
            calls.add(call)
            call.add_done_callback(calls.discard)

    async def keep_changing(self, per_second):
        """Change a team's weight on a fixed schedule until cancelled."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for number in range(10**9):
            await asyncio.sleep(max(0.0, begin + number / per_second - loop.time()))
            team = self._teams[number % len(self._teams)]
            changed = await self._operator.patch_settings(
                TEAM_PATH + team, "share_weight", 1.0 + number % 7 / 10
            )
            self.refused += changed.is_err()

    async def read_flow_waits(self, most):
        """Return seconds from acceptance to the last start of the newest flow jobs."""
        waits = []
        for job in self._flow_jobs[-most:]:
            answer = await self._clients[0].get_job(job)
            if answer.is_ok() and answer.unwrap().last_start_seconds >= 0:
                waits.append(answer.unwrap().last_start_seconds)
        return sorted(waits)

    def _describe(self):
        return Workload.model_validate(
            {
                "name": "bench",
                "duration_seconds": 1,
                "teams": [{"name": team} for team in self._teams],
                "jobs": [
                    {"name": queue, "teams": self._teams, "per_minute": 1}
                    for queue in (STANDING_QUEUE, FLOW_QUEUE)
                ],
            }
        )

    async def _submit(self, number, queue, tasks):
        is_flow = queue == FLOW_QUEUE
        job = JobSubmission(
            name=queue,
            team=self._teams[number % len(self._teams)],
            queue=queue,
            kind=WorkloadKind.BATCH if is_flow else WorkloadKind.SERVICE,
            task_count=tasks,
            template=TaskTemplate(
                resources=SMALL, run_seconds=FLOW_RUN_SECONDS if is_flow else 0.0
            ),
        )
        answer = await self._clients[number % len(self._clients)].submit_job(job)
        if answer.is_err():
            self.refused += 1
        elif is_flow:
            self._flow_jobs.append(answer.unwrap().job)
