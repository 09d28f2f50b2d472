import asyncio
import time

import pytest

from cactustiller.model.loops import BootTimeLoop, run_daemon_loop


class SuspendedMachine:
    """Clock of a machine that is suspended for some seconds at a time."""

    def __init__(self):
        self.suspended_seconds = 0.0

    def read(self, clock):
        assert clock == time.CLOCK_BOOTTIME
        return time.monotonic() + self.suspended_seconds


@pytest.fixture
def machine(monkeypatch):
    machine = SuspendedMachine()
    monkeypatch.setattr("cactustiller.model.loops.time.clock_gettime", machine.read)
    return machine


def test_daemons_run_on_a_clock_that_counts_suspensions():
    async def find_loop():
        return asyncio.get_running_loop()

    assert isinstance(run_daemon_loop(find_loop()), BootTimeLoop)


def test_time_of_a_suspension_has_passed_on_the_loop(machine):
    async def measure_a_suspension():
        loop = asyncio.get_running_loop()
        before = loop.time()
        machine.suspended_seconds = 61.0
        return loop.time() - before

    assert run_daemon_loop(measure_a_suspension()) >= 61.0


def test_timeout_passes_while_the_machine_is_suspended(machine):
    async def wait_over_a_suspension():
        async with asyncio.timeout(60.0):
            machine.suspended_seconds = 61.0
            await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        run_daemon_loop(wait_over_a_suspension())
