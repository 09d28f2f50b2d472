"""Child processes that never outlive the process that started them."""

import asyncio
import contextlib
import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1
STOP_SECONDS = 5.0
LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent():
    """Ask the kernel to kill the calling process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """One named program, started again with the same arguments on demand.

    Parameters
    ----------
    name : str
        Name in messages and of the log file.
    arguments : list of str
        Command line.
    log_path : Path
        File to which standard output and error are appended.
    address : str
        ``ip:port`` of its HTTP interface; empty where it has none.
    health_path : str
        Path that answers 200 when the program is ready.
    """

    def __init__(self, name, arguments, log_path, address="", health_path="/healthz"):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.address = address
        self.health_path = health_path
        self._process = None
        self._told_to_end = False

    @property
    def pid(self):
        """Process id; None before the first start."""
        return self._process and self._process.pid

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def has_ended_by_itself(self):
        """Whether the process ended though nobody stopped or killed it."""
        started = self._process is not None
        return started and not self.is_running and not self._told_to_end

    async def start(self):
        """Start the process in a process group of its own."""
        self._told_to_end = False
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=die_with_parent,
            )

    async def stop(self):
        """Stop with SIGTERM, then SIGKILL to the group after `STOP_SECONDS`."""
        self._told_to_end = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self._process is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._process.wait(), STOP_SECONDS)
        await self.kill()

    async def kill(self):
        """Kill the whole process group and wait for its end."""
        self._told_to_end = True
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def send(self, number):
        """Send a signal to the process group while the process runs."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, number)

    def read_log_tail(self, length=500):
        """Return the end of the log for an error message."""
        return self.log_path.read_text(errors="replace")[-length:].strip()
