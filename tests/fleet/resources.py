"""Memory and descriptors of a process, from the proc file system, and its crowds."""

import asyncio
import os
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_SECONDS = 0.1
STREAMS = ("socket:", "pipe:")


def read_resident_bytes(pid):
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def read_unread_bytes(ports):
    """Return what the kernel has received on local ports and nobody has read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        # 0A is a listening socket, whose queue counts connections.
        if state != "0A" and int(local.rpartition(":")[2], 16) in ports:
            total += int(queues.rpartition(":")[2], 16)
    return total


def count_descriptors(pid):
    """Return the number of open descriptors, and of sockets and pipes among them."""
    total = streams = 0
    for entry in os.scandir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(entry.path)
        except FileNotFoundError:
            continue
        total += 1
        streams += target.startswith(STREAMS)
    return total, streams


class Usage:
    """Largest use of resources that was sampled.

    Parameters
    ----------
    pid : int
    addresses : iterable of str
        Addresses at which the process listens.
    max_bytes : int
        Memory of the machine; a process that exceeds it is killed.

    Attributes
    ----------
    memory_bytes : int
        Resident memory and unread bytes, at one time.
    descriptors, streams : int
    """

    def __init__(self, pid, addresses, max_bytes):
        self._pid = pid
        self._max_bytes = max_bytes
        self._ports = {int(address.rpartition(":")[2]) for address in addresses}
        self.memory_bytes = self.descriptors = self.streams = 0

    async def sample(self):
        """Sample until the process ends, also because of its memory."""
        while True:
            try:
                memory = read_resident_bytes(self._pid)
                total, streams = count_descriptors(self._pid)
            except (FileNotFoundError, ProcessLookupError):
                return
            unread = read_unread_bytes(self._ports)
            self.memory_bytes = max(self.memory_bytes, memory + unread)
            self.descriptors = max(self.descriptors, total)
            self.streams = max(self.streams, streams)
            if self.memory_bytes > self._max_bytes:
                os.kill(self._pid, signal.SIGKILL)
                return
            await asyncio.sleep(SAMPLE_SECONDS)


@asynccontextmanager
async def gather_crowd(address, kind, count, seconds):
    """Run a crowd of `standins.crowds`; its connections stay open in the block."""
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "standins.crowds", address, kind, str(count), str(seconds)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await crowd.stdout.readline()
        yield
    finally:
        if crowd.returncode is None:
            crowd.kill()
        await crowd.wait()
