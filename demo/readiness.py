"""Checks that a child process can start and that it answers."""

import asyncio
import socket

import aiohttp

READY_SECONDS = 30.0
READY_PAUSE_SECONDS = 0.05


class CellError(Exception):
    """The cell did not start, or has no process of that name."""


def check_port_free(child):
    """Raise `CellError` if another program would answer for this one."""
    if not child.address:
        return
    host, port = child.address.rsplit(":", 1)
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, int(port)))
        except OSError as error:
            raise CellError(f"{child.name}: {child.address}: {error}") from error


async def poll_until_accepted(child, url, accept, check_running):
    """Return when `accept` holds for the JSON at `url`; raises `CellError`."""
    deadline = asyncio.get_running_loop().time() + READY_SECONDS
    async with aiohttp.ClientSession() as session:
        while asyncio.get_running_loop().time() < deadline:
            check_running()
            if await _answers(session, url, accept):
                return
            await asyncio.sleep(READY_PAUSE_SECONDS)
    raise CellError(
        f"{child.name} not ready in {READY_SECONDS:.0f} s at {url}: "
        f"{child.read_log_tail()}"
    )


async def _answers(session, url, accept):
    try:
        timeout = aiohttp.ClientTimeout(total=2.0)
        async with session.get(url, timeout=timeout) as response:
            if response.status != 200:
                return False
            return accept(await response.json(content_type=None))
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return False
