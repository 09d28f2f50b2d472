"""The daemons on a stand-in of the users' platform: one job's way, and two losses."""

import asyncio
import signal
import tempfile
from pathlib import Path

from standins.fleet.processes import ProcessCell


def tell(text):
    """Print one step."""
    print(text, flush=True)


async def run_demo(folder):
    """Show a job from POST to completed, a lost owner and a cold start."""
    async with ProcessCell(folder) as cell:
        owner = await cell.wait_for_owner()
        tell(f"3 daemons run; {owner} owns the cell")
        await cell.submit("0" * 15 + "1")
        await cell.wait_for_state("0" * 15 + "1", "completed")
        tell("job 1 was accepted, stored, started and is shown as completed")
        await cell.submit("0" * 15 + "2")
        await cell.end_member(owner, signal.SIGKILL)
        await cell.wait_for_state("0" * 15 + "2", "completed")
        tell(
            f"{owner} was killed; {cell.find_owner()} owns the cell, job 2 is completed"
        )
        await cell.submit("0" * 15 + "3")
        names = list(cell.members)
        for name in names:
            await cell.end_member(name, signal.SIGKILL)
        for name in names:
            await cell.start_member(name)
        await cell.wait_for_state("0" * 15 + "3", "completed")
        tell("all daemons were killed and started anew; job 3 is completed")
        starts = len(cell.audit.starts)
        tell(f"{starts} starts, broken promises: {cell.audit.violations or 'none'}")
        return not cell.audit.violations


def main():
    """Run the demo."""
    folder = Path(tempfile.mkdtemp(prefix="fleet-demo-"))
    tell(f"logs and settings in {folder}")
    raise SystemExit(0 if asyncio.run(run_demo(folder)) else 1)


if __name__ == "__main__":
    main()
