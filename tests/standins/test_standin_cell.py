import os
import socket

import pytest

from demo.cell import Cell
from demo.layout import CellOptions
from demo.readiness import CellError


def is_free(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


def find_base_port():
    # Below the ports that the kernel hands out; apart for parallel test runs.
    start = 23000 + os.getpid() % 90 * 10
    candidates = range(start, start + 100, 10)
    return next(
        base for base in candidates if all(is_free(base + n) for n in range(1, 5))
    )


def build_cell(base_port):
    options = CellOptions(
        gateways=0, schedulers=0, workers=2, backends=0, base_port=base_port
    )
    return Cell(options)


async def test_cell_restarts_a_killed_process_and_leaves_none():
    async with build_cell(find_base_port()) as cell:
        first = cell.pids["table"]
        await cell.kill("table")
        await cell.restart("table")
        pids, folder = cell.pids, cell.folder
        assert pids["table"] != first
    assert not folder.exists()
    for pid in pids.values():
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


async def test_cell_does_not_start_on_a_port_in_use():
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        cell = build_cell(taken.getsockname()[1] - 1)
        with pytest.raises(CellError, match="table"):
            async with cell:
                pass
