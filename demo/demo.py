"""Starts a cell, uses it as its users would and checks every result."""

import asyncio
import json
import sys
import time

import typer
from result import Ok

from cactustiller.cli import GatewayClient, JobSubmission
from cactustiller.model import (
    JobState,
    Outcome,
    Resources,
    TaskTemplate,
    WorkloadKind,
)

from .cell import Cell
from .histories import check_runs, read_worker_history
from .layout import CellOptions
from .readiness import CellError

TEAM = "index"
QUEUE = "rebase"
SERVICE = "echo"
REQUESTS = 50
WAIT_SECONDS = 20.0
POLL_SECONDS = 0.1
DRAINED_INSTANCE = "entry-3"
SMALL = Resources(cpu_millis=1000, memory_mib=1024)


class DemoError(Exception):
    """A result was not as promised."""


def require(condition, reason):
    """Raise `DemoError` unless the condition holds."""
    if not condition:
        raise DemoError(reason)


def take(result, step):
    """Return the value of an ``Ok``; raise `DemoError` otherwise."""
    if isinstance(result, Ok):
        return result.ok()
    raise DemoError(f"{step}: {result.err()}")


class Demo:
    """Steps of the demonstration on a running cell."""

    def __init__(self, cell):
        self._cell = cell
        self._gateways = [
            address
            for name, address in cell.addresses.items()
            if name.startswith("gateway")
        ]
        self._operator = GatewayClient(self._gateways, cell.operator_key, retries=3)
        self._team = None
        self._key_id = ""
        self._key = ""

    async def run(self):
        """Perform every step; raises `DemoError` at the first wrong result."""
        try:
            await self._create_team()
            await self._run_jobs()
            await self._send_requests(REQUESTS)
            await self._cancel_job()
            await self._drain_instance()
            await self._withdraw_key()
            await self._check_histories()
        finally:
            await self._operator.close()
            if self._team is not None:
                await self._team.close()

    async def _create_team(self):
        take(await self._operator.add_team(TEAM), "add team")
        take(await self._operator.add_queue(TEAM, QUEUE), "add queue")
        created = take(await self._operator.create_key(TEAM, "demo"), "create key")
        self._key_id = created.key_id
        self._key = created.key
        self._team = GatewayClient(self._gateways, created.key, retries=3)
        print(f"created team {TEAM}, queue {QUEUE}, key {created.key_id}")
        # The key is in force on the other gateways after their next poll.
        await self._wait_for_version()

    async def _wait_for_version(self):
        async def is_in_force():
            status = take(await self._operator.get_settings_status(), "status")
            versions = {member.version for member in status.instances}
            return len(versions) == 1

        await self._wait(is_in_force, "the settings are in force everywhere")

    async def _run_jobs(self):
        batch = await self._submit("batch", WorkloadKind.BATCH, 20, 0.5)
        service = await self._submit("service", WorkloadKind.SERVICE, 3, 0.0)
        whole = await self._submit("all-at-once", WorkloadKind.ALL_AT_ONCE, 4, 0.5)
        for name, job in (("batch", batch), ("all-at-once", whole)):
            status = await self._wait_for_state(job, JobState.SUCCEEDED)
            print(
                f"{name} job {job} succeeded: {status.tasks}; waited "
                f"{status.first_start_seconds:.2f} s to "
                f"{status.last_start_seconds:.2f} s"
            )
        await self._wait_for_running(service, 3)
        await self._print_decisions(batch)

    async def _submit(self, name, kind, count, run_seconds):
        job = JobSubmission(
            name=name,
            team=TEAM,
            queue=QUEUE,
            kind=kind,
            task_count=count,
            template=TaskTemplate(resources=SMALL, run_seconds=run_seconds),
        )
        return take(await self._team.submit_job(job), f"submit {name}").job

    async def _wait_for_state(self, job, state):
        async def has_state():
            status = take(await self._team.get_job(job), "read job")
            return status if status.state is state else None

        return await self._wait(has_state, f"job {job} is {state}")

    async def _wait_for_running(self, job, count):
        async def runs():
            status = take(await self._team.get_job(job), "read job")
            return status.tasks["running"] == count

        await self._wait(runs, f"{count} tasks of {job} run")
        print(f"service job {job} runs {count} tasks")

    async def _wait(self, condition, reason):
        until = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < until:
            found = await condition()
            if found:
                return found
            await asyncio.sleep(POLL_SECONDS)
        raise DemoError(f"not so within {WAIT_SECONDS} s: {reason}")

    async def _print_decisions(self, job):
        found = []
        for log in sorted(self._cell.logs.glob("scheduler-*.log")):
            for line in log.read_text().splitlines():
                if "placement_decided" in line and json.loads(line)["job"] == job:
                    found.append(line)
        require(found, f"no decision of job {job} was logged")
        print(f"{len(found)} decisions of job {job}, the first:\n  {found[0]}")

    async def _send_requests(self, count):
        started = time.monotonic()
        answers = await asyncio.gather(*(self._send(i) for i in range(count)))
        for number, answer in enumerate(answers):
            body = take(answer, f"request {number}").body
            require(body == _body(number), f"request {number} got another's answer")
        seconds = time.monotonic() - started
        print(f"{count} requests answered in {seconds:.2f} s")

    async def _send(self, number):
        return await self._team.send_request(SERVICE, _body(number), idempotent=True)

    async def _cancel_job(self):
        job = await self._submit("cancelled", WorkloadKind.BATCH, 5, 300.0)
        await self._wait_for_running(job, 5)
        take(await self._team.cancel_job(job), "cancel job")

        async def has_stopped():
            status = take(await self._team.get_job(job), "read job")
            tasks = status.tasks
            return (
                status.state is JobState.CANCELLED
                and tasks["running"] + tasks["assigned"] == 0
            )

        await self._wait(has_stopped, "the cancelled tasks have stopped")
        print(f"job {job} cancelled and stopped")

    async def _drain_instance(self):
        requests = asyncio.create_task(self._send_steadily())
        take(await self._operator.drain(DRAINED_INSTANCE), "drain")

        async def has_left():
            listed = take(await self._operator.list_instances(), "list instances")
            return all(
                member.leaving
                for member in listed.members
                if member.instance == DRAINED_INSTANCE
            )

        await self._wait(has_left, f"{DRAINED_INSTANCE} is drained")
        sent = await requests
        print(f"{DRAINED_INSTANCE} drained under {sent} requests, none cut")

    async def _send_steadily(self):
        for number in range(100):
            take(await self._send(number), "request while draining")
            await asyncio.sleep(0.01)
        return number + 1

    async def _withdraw_key(self):
        take(await self._operator.withdraw_key(self._key_id), "withdraw key")
        started = time.monotonic()

        async def is_refused():
            for address in self._gateways[:2]:
                async with GatewayClient([address], self._key) as client:
                    answer = await client.send_request(SERVICE, b"", idempotent=True)
                if answer.is_ok():
                    return None
                require(
                    answer.err().outcome is Outcome.NOT_RUN, "the refusal is not clear"
                )
            return answer.err()

        refusal = await self._wait(is_refused, "the withdrawn key is refused")
        print(f"withdrawn key refused after {time.monotonic() - started:.2f} s:")
        print(f"  {refusal}")

    async def _check_histories(self):
        events = await read_worker_history(self._cell.addresses["workers"])
        report = check_runs(events)
        print(f"workers' own history: {report}")
        require(report.starts >= 32, "starts are missing")
        require(report.tasks_in_two_places == 0, "a task ran in two places")
        require(report.over_capacity == 0, "a worker was over its capacity")
        require(report.succeeded_twice == 0, "a task succeeded twice")


def _body(number):
    return f"outlet return {number}".encode()


async def run_demo(base_port):
    """Run the demonstration; return the process's exit code."""
    started = time.monotonic()
    try:
        async with Cell(CellOptions(base_port=base_port)) as cell:
            await Demo(cell).run()
    except (CellError, DemoError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    print(f"demo passed in {time.monotonic() - started:.1f} s")
    return 0


def main(base_port: int = 21000):
    """Run the demonstration on processes of this machine."""
    raise typer.Exit(asyncio.run(run_demo(base_port)))


if __name__ == "__main__":
    typer.run(main)
