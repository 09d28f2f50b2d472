"""Small jobs, sent once a second, and for how long they have nothing running."""

import asyncio
import time

from .cell import Job

# The rule: a job has nothing running for so long while a task's turn has come.
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
        self.worst = {}
        self.accepted, self.refused = [], 0
        self._cell = cell
        self._room = room
        self._calm_since = time.monotonic()

    async def run(self, seconds):
        """Send and watch for a time."""
        number, next_at = len(self.accepted) + 1, time.monotonic()
        sending = job = None
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if sending is None and now >= next_at:
                job = make_chain(number)
                number, next_at = number + 1, now + 1.0
                sending = asyncio.create_task(self._cell.submit(job, tries=1))
            if sending is not None and sending.done():
                if sending.result():
                    self.accepted.append((job, now))
                else:
                    self.refused += 1
                sending = None
            self._look(now)
        if sending is not None:
            sending.cancel()
        self._report()

    def is_broken(self):
        """Return whether a job had nothing running for longer than the rule allows."""
        return any(idle > MAX_IDLE_SECONDS for idle in self.worst.values())

    def _look(self, now):
        if self._measure_use() >= 0.5:
            # The rule holds only while half of the service's room is free.
            self._calm_since = now
            return
        for job, accepted_at in self.accepted:
            idle = self._find_idle_seconds(job, max(accepted_at, self._calm_since), now)
            if idle > self.worst.get(job.id, 0.0):
                self.worst[job.id] = idle

    def _find_idle_seconds(self, job, since, now):
        """Return for how long a job has had nothing running; 0 if it has ended."""
        fleet, prefix = self._cell.fleet, job.id + "."
        ends = [end for end in fleet.ends if end["task"].startswith(prefix)]
        done = {end["task"] for end in ends if end["how"] == "done"}
        total = sum(step["Count"] for step in job.body["Steps"])
        running = any(run.task.startswith(prefix) for run in fleet.list_running())
        if running or len(done) == total:
            return 0.0
        return now - max([since, *(end["at"] for end in ends)])

    def _measure_use(self):
        running = self._cell.fleet.list_running()
        return sum(run.step.get("Cpu", 0) for run in running) / self._room

    def _report(self):
        cell = self._cell
        for job_id, idle in self.worst.items():
            if idle > MAX_IDLE_SECONDS:
                cell.tell(f"job {job_id} had nothing running for {idle:.1f} s")
        lapsed = sum(end["how"] == "lapsed" for end in cell.fleet.ends)
        cell.tell(f"chains: {len(self.accepted)} accepted, {self.refused} not accepted")
        cell.tell(f"runs that lapsed: {lapsed}")
        cell.tell(f"calls that the store refused: {cell.store.refused}")
        cell.tell(f"use of the service at the end: {self._measure_use():.2f}")
