"""Approval service of a cell."""

import asyncio

from result import Ok

from cactustiller.cell import Approval


class FleetApprovals:
    """Approval service of one calling member.

    Parameters
    ----------
    decide : callable
        Step name and worker to whether the worker may run the step.
    """

    def __init__(self, decide, seconds=0.01, valid_seconds=2.0):
        self.calls = 0
        self._decide = decide
        self._seconds = seconds
        self._valid_seconds = valid_seconds
        self._lock = asyncio.Lock()

    async def ask(self, step, workers):
        """Return the approval for the workers named."""
        self.calls += 1
        async with self._lock:
            await asyncio.sleep(self._seconds)
        tickets = {
            worker: f"{step}/{worker}"
            for worker in workers
            if self._decide(step, worker)
        }
        return Ok(Approval(tickets, self._valid_seconds))
