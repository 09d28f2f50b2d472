"""Event loop whose clock goes on while the machine is suspended."""

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on ``CLOCK_BOOTTIME``, in seconds since the machine started.

    The monotonic clock stands still while the machine is suspended, so that a lease or
    an API key that has run out meanwhile would still count as valid afterwards. On this
    clock its time has passed, and overdue timers run at once.
    """

    def time(self):
        """Return the time of the loop in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_daemon_loop(coroutine):
    """Run a coroutine on a new `BootTimeLoop` and return its result."""
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(coroutine)
