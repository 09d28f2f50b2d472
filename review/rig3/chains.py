"""Small jobs, sent once a second, and what becomes of those that are accepted."""

import asyncio
import time

from .cell import Job

# The rule: so long after the end of the traffic, a job has nothing running for so long
# while a task's turn has come.
FINISH_SECONDS = 14.0
MAX_IDLE_SECONDS = 3.0
STEPS = 4


def make_chain(number):
    """Return a job of four steps in a row, each of two tasks of 1 s."""
    step = {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1000}
    steps = [step, *(step | {"After": [index]} for index in range(STEPS - 1))]
    return Job(f"c{number:015x}", steps, 1000)


class ChainWatch:
    """Sends chains and watches those that are accepted.

    Parameters
    ----------
    cell : Cell
    room : int
        Processors of the service, in thousandths of a core.
    """

    def __init__(self, cell, room):
        self.accepted, self.refused = [], 0
        self._cell = cell
        self._room = room
        self._idle = []

    async def send(self, seconds):
        """Send a job each second, one try each, for a time."""
        number, next_at = len(self.accepted) + self.refused + 1, time.monotonic()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            next_at = max(next_at + 1.0, time.monotonic())
            job = make_chain(number)
            number += 1
            if await self._cell.submit(job, tries=1):
                self.accepted.append(job)
            else:
                self.refused += 1

    async def judge(self):
        """Return whether a job stands still at the end; call after the traffic."""
        cell = self._cell
        cell.tell("end of the traffic")
        await asyncio.sleep(FINISH_SECONDS)
        states = await asyncio.gather(*map(cell.find_state, self.accepted))
        self._idle = [job for job in self.accepted if not self._is_done(job)]
        until = time.monotonic() + MAX_IDLE_SECONDS + 0.2
        most_used = 0.0
        while time.monotonic() < until:
            most_used = max(most_used, self._measure_use())
            self._idle = [job for job in self._idle if not self._is_running(job)]
            await asyncio.sleep(0.05)
        self._idle = [job for job in self._idle if not self._is_done(job)]
        shown = {state: states.count(state) for state in set(states)}
        cell.tell(f"chains: {len(self.accepted)} accepted, {self.refused} not accepted")
        cell.tell(f"states {FINISH_SECONDS:.0f} s after the traffic: {shown}")
        for job in self._idle:
            cell.tell(f"job {job.id} has nothing running for {MAX_IDLE_SECONDS:.0f} s")
        cell.tell(f"highest use of the service meanwhile: {most_used:.2f}")
        return bool(self._idle) and most_used < 0.5

    def _is_running(self, job):
        runs = self._cell.fleet.list_running()
        return any(run.task.startswith(job.id + ".") for run in runs)

    def _is_done(self, job):
        ends = self._cell.fleet.ends
        done = {
            end["task"]
            for end in ends
            if end["task"].startswith(job.id + ".") and end["how"] == "done"
        }
        return len(done) == sum(step["Count"] for step in job.body["Steps"])

    def _measure_use(self):
        running = self._cell.fleet.list_running()
        return sum(run.step.get("Cpu", 0) for run in running) / self._room
