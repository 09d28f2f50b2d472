"""Cost of a log line, and of one that is left out.

Run as ``python -m benchmarks.log_lines > /dev/null``; the figures go to stderr.
"""

import sys
import time

from cactustiller.cell.reporting.events import Event, log_event
from cactustiller.cell.reporting.logs import configure_logs

LINES = 20_000


def time_lines(event):
    """Return the microseconds of processor time that a line takes."""
    started = time.process_time()
    for number in range(LINES):
        log_event(
            event,
            job=f"{number:016x}",
            task=f"{number:016x}.0.0.1",
            run=1,
            worker="i-40262dd4",
            waited=0.012,
        )
    return (time.process_time() - started) / LINES * 1e6


def main():
    """Print both figures."""
    configure_logs("member")
    print(f"written: {time_lines(Event.RUN_REFUSED):.1f} us", file=sys.stderr)
    # Nearly all of these are beyond the rate at which lines are left out.
    print(f"left out: {time_lines(Event.RUN_STARTED):.1f} us", file=sys.stderr)


if __name__ == "__main__":
    main()
