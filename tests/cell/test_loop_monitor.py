import asyncio

import pytest
import structlog

from cactustiller.cell.reporting.loop_monitor import monitor_loop
from cactustiller.cell.reporting.metrics import Metrics


@pytest.mark.looptime
async def test_suspended_machine_is_logged():
    loop = asyncio.get_running_loop()
    offset = 0.0

    def read_wall_clock_ms():
        return (loop.time() + offset) * 1000

    watch = asyncio.create_task(monitor_loop(Metrics(list), read_wall_clock_ms))
    with structlog.testing.capture_logs() as lines:
        await asyncio.sleep(3.5)
        assert lines == []
        offset = 2.0
        await asyncio.sleep(1)
    watch.cancel()
    (line,) = lines
    assert line["event"] == "frozen"
    assert line["wall_clock_seconds"] == pytest.approx(2.0, abs=0.1)
    assert line["seconds"] == pytest.approx(0.0, abs=0.1)
