"""Starts that are void before they are sent."""

import asyncio

import pytest
from result import Ok

from cactustiller.cell.owner.dispatch import Dispatcher
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.runs import RunPhase
from cactustiller.cell.reporting.metrics import Metrics
from standins.fleet import make_job

from .builders import make_worker
from .release_builders import list_runs

pytestmark = pytest.mark.looptime


class RecordingCalls:
    """Calls to workers that record starts; `on_hold` is called during each hold."""

    def __init__(self, on_hold):
        self.starts = []
        self._on_hold = on_hold

    async def hold(self, *arguments):
        await asyncio.sleep(0.3)
        self._on_hold()
        return Ok(list_runs())

    async def start(self, worker, order):
        self.starts.append(order.task)


async def test_suspect_of_a_cancelled_job_is_not_started():
    # Guards against a start after a cancellation that came while the worker of a
    # suspect was asked for its runs.
    loop = asyncio.get_running_loop()
    engine = Engine(loop.time, lambda: 1000)
    worker = engine.workers["w0"] = make_worker(born_ms=9000, clock_offset=0.0)
    engine.add_job(make_job())
    job = next(iter(engine.jobs))
    (task,) = engine.find_eligible_steps()[0].tasks
    task.step.suspects.add(task)
    engine._suspects.add(task)
    await asyncio.sleep(1.0)
    engine.plan()
    starts = engine.confirm_batch(engine.collect(10))
    assert [start.task for start in starts] == [task]
    calls = RecordingCalls(lambda: engine.cancel_job(job))
    metrics = Metrics(list)
    dispatcher = Dispatcher(engine, calls, 1, lambda: None, lambda: None, metrics)
    dispatcher.send_starts(starts)
    await asyncio.sleep(2.0)
    await dispatcher.close()
    assert calls.starts == []
    assert task.phase is RunPhase.WAITING
    assert not worker.runs
