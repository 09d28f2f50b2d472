"""Runs a cell under load and faults, then checks what really happened."""

import asyncio
import random
import time

import typer

from cactustiller.cli import GatewayClient
from cactustiller.model import ErrorCode, WorkloadKind

from .cell import Cell
from .demo import DemoError, take
from .faults import heal, plan_faults, strike
from .histories import read_backend_history, read_worker_history
from .layout import CellOptions
from .load import QUEUE, TEAMS, Load
from .readiness import CellError
from .verdict import Evidence, judge

QUIET_SECONDS = 60.0
STOP_SECONDS = 60.0
POLL_SECONDS = 1.0
SETTINGS_SECONDS = 20.0
SETTLE_SECONDS = 2.0
CALLS_AT_ONCE = 16
MAX_EXPLAINED = 8


class Chaos:
    """One run on a running cell.

    Parameters
    ----------
    cell : Cell
    seed : int
    seconds : float
        Length of the load; faults end before it.
    """

    def __init__(self, cell, seed, seconds):
        self._cell = cell
        self._seed = seed
        self._seconds = seconds
        self._gateways = [
            address
            for name, address in sorted(cell.addresses.items())
            if name.startswith("gateway")
        ]
        self._operator = GatewayClient(self._gateways, cell.operator_key, retries=3)
        self._load = None
        self._crashes = set()

    async def run(self):
        """Return the `Verdict`."""
        try:
            keys = await self._create_teams()
            self._load = Load(self._gateways, keys, random.Random(self._seed))
            faults = plan_faults(
                random.Random(f"faults {self._seed}"), self._cell, self._seconds
            )
            await self._run_under_faults(faults)
            await asyncio.sleep(SETTLE_SECONDS)
            await self._load.ask_again()
            statuses = await self._wait_until_quiet()
            await self._explain_waiting(statuses)
            await self._stop_services()
            statuses |= await self._wait_until_over(statuses)
            await asyncio.sleep(SETTLE_SECONDS)
            evidence = Evidence(
                statuses=statuses,
                worker_events=await read_worker_history(
                    self._cell.addresses["workers"]
                ),
                backend_events=await read_backend_history(
                    self._cell.addresses["backends"]
                ),
            )
        finally:
            await self._operator.close()
            if self._load is not None:
                await self._load.close()
        return judge(
            self._seed,
            self._seconds,
            faults,
            self._load.ledger,
            evidence,
            sorted(self._crashes),
        )

    async def _create_teams(self):
        keys = {}
        for team in TEAMS:
            take(await self._operator.add_team(team.team, team.values), "add team")
            take(await self._operator.add_queue(team.team, QUEUE), "add queue")
            created = await self._operator.create_key(team.team, "chaos")
            keys[team.team] = take(created, "create key").key
        await self._wait_for_settings()
        return keys

    async def _wait_for_settings(self):
        until = time.monotonic() + SETTINGS_SECONDS
        while time.monotonic() < until:
            status = take(await self._operator.get_settings_status(), "status")
            if len({member.version for member in status.instances}) == 1:
                return
            await asyncio.sleep(POLL_SECONDS / 5)
        raise DemoError("the settings are not in force everywhere")

    async def _run_under_faults(self, faults):
        started = time.monotonic()
        load = asyncio.create_task(self._load.run(self._seconds))
        strikes = [
            asyncio.create_task(self._strike_at(started, event)) for event in faults
        ]
        watch = asyncio.create_task(self._watch_for_crashes())
        try:
            await asyncio.gather(load, *strikes)
        finally:
            watch.cancel()
            await heal(self._cell)
        self._note_crashes()

    async def _strike_at(self, started, event):
        await asyncio.sleep(max(0.0, started + event.at - time.monotonic()))
        target = f"{event.name} on {event.target}"
        print(f"{event.at:5.1f} s: {target} for {event.seconds:.1f} s", flush=True)
        await strike(self._cell, event)

    async def _watch_for_crashes(self):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self._note_crashes()

    def _note_crashes(self):
        self._crashes.update(self._cell.list_crashed())

    async def _wait_until_quiet(self):
        """Return every job's status once all but services are over."""
        return await self._poll_jobs(self._load.ledger.jobs, QUIET_SECONDS, _is_settled)

    async def _explain_waiting(self, statuses):
        """Print why some jobs still wait, for the search of a cause."""
        waiting = [
            ticket
            for ticket in self._load.ledger.jobs
            if not _is_settled(ticket, statuses[ticket.job])
        ]
        for ticket in waiting[:MAX_EXPLAINED]:
            client = self._load.choose_client(ticket.submission.team)
            explained = await client.explain_job(ticket.job)
            reason = explained.map(lambda reply: reply.model_extra["lines"][-2:])
            print(f"{ticket.submission.team} {statuses[ticket.job]}: {reason}")

    async def _stop_services(self):
        for ticket in self._load.ledger.jobs:
            if ticket.submission.kind is WorkloadKind.SERVICE:
                await self._load.cancel(ticket)

    async def _wait_until_over(self, statuses):
        services = [
            ticket
            for ticket in self._load.ledger.jobs
            if ticket.submission.kind is WorkloadKind.SERVICE
            and statuses[ticket.job] is not None
        ]
        return await self._poll_jobs(services, STOP_SECONDS, _is_over)

    async def _poll_jobs(self, tickets, seconds, is_done):
        """Read jobs until all are done or time is up; return their statuses."""
        until = time.monotonic() + seconds
        statuses = {}
        pending = list(tickets)
        while True:
            slots = asyncio.Semaphore(CALLS_AT_ONCE)
            answers = await asyncio.gather(
                *(self._read(ticket, slots) for ticket in pending)
            )
            found = dict(zip((t.job for t in pending), answers, strict=True))
            statuses |= found
            pending = [t for t in pending if not is_done(t, found[t.job])]
            if not pending or time.monotonic() > until:
                return statuses
            await asyncio.sleep(POLL_SECONDS)

    async def _read(self, ticket, slots):
        """Return a job's status, None where there is no such job."""
        async with slots:
            client = self._load.choose_client(ticket.submission.team)
            answer = await client.get_job(ticket.job)
        if answer.is_ok():
            return answer.unwrap()
        failure = answer.unwrap_err()
        if failure.code is ErrorCode.NOT_FOUND:
            return None
        raise DemoError(f"read job {ticket.job}: {failure}")


def _is_settled(ticket, status):
    if status is None:
        return True
    if ticket.submission.kind is WorkloadKind.SERVICE and not status.state.is_final:
        return status.tasks["running"] == ticket.submission.task_count
    return _is_over(ticket, status)


def _is_over(ticket, status):
    tasks = status.tasks
    return status.state.is_final and not tasks["running"] + tasks["assigned"]


async def run_chaos(seed, seconds, base_port, folder=""):
    """Run once, print the verdict as JSON; return the process's exit code."""
    options = CellOptions(base_port=base_port, folder=folder)
    try:
        async with Cell(options) as cell:
            verdict = await Chaos(cell, seed, seconds).run()
    except (CellError, DemoError) as error:
        print(f"chaos failed: {error}", flush=True)
        return 2
    print(verdict.model_dump_json(), flush=True)
    return 0 if verdict.is_clean else 1


def main(
    seed: int = 1, seconds: float = 60.0, base_port: int = 21000, folder: str = ""
):
    """Run a cell under load and faults drawn from SEED and check the histories."""
    raise typer.Exit(asyncio.run(run_chaos(seed, seconds, base_port, folder)))


if __name__ == "__main__":
    typer.run(main)
