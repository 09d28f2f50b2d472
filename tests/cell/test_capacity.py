"""Workers whose capacity changes while they run."""

import asyncio
from dataclasses import replace

import pytest

from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.listings import Listing
from cactustiller.model import Amounts, JobState
from standins.fleet import FleetCell, make_job
from tests.cell.builders import make_worker

SMALL = Amounts(8_000, 16_384, 0)
NOW = 100.0


@pytest.mark.looptime
async def test_a_shrunk_worker_gets_no_more_than_fits_until_it_grows():
    async with FleetCell(workers=1) as cell:
        full = cell.workers["w0"].info.capacity
        running, waiting = make_job(1, cpu=20_000), make_job(2, cpu=10_000)
        await cell.submit(running, seconds=3.0)
        await cell.wait_for_state(running, JobState.RUNNING)
        cell.resize_worker("w0", SMALL)
        await asyncio.sleep(0.5)
        await cell.submit(waiting)
        await cell.wait_for_state(running, JobState.SUCCEEDED)
        await asyncio.sleep(2.0)
        assert cell.audit.count_starts(f"{waiting.job}.0.0.0") == 0
        cell.resize_worker("w0", full)
        await cell.wait_for_state(waiting, JobState.SUCCEEDED)


@pytest.mark.looptime
async def test_a_restarted_worker_is_not_used_by_its_former_capacity():
    # The entry of the new, smaller incarnation arrives after its first report.
    async with FleetCell(workers=1) as cell:
        worker = cell.workers["w0"]
        former = worker.info
        worker.be_reborn(2)
        cell.entries["w0"] = former
        worker.info = replace(worker.info, capacity=SMALL)
        await asyncio.sleep(2.5)
        spec = make_job(1, cpu=10_000)
        await cell.submit(spec)
        await asyncio.sleep(2.0)
        assert cell.audit.starts == []
        cell.resize_worker("w0", former.capacity)
        await cell.wait_for_state(spec, JobState.SUCCEEDED)


def test_a_restart_shows_even_if_the_time_of_day_was_set_back():
    engine = Engine(lambda: NOW, lambda: 1000)
    engine.workers["w0"] = worker = make_worker("w0", born_ms=5000)
    engine.apply_listing(worker, Listing(0, 5000, (), ()), NOW, NOW + 0.1)
    late = Listing(0, 4000, (), ())
    engine.apply_listing(worker, late, NOW + 0.05, NOW + 0.2)
    assert worker.born_ms == 5000
    engine.apply_listing(worker, late, NOW + 0.3, NOW + 0.4)
    assert worker.born_ms == 4000
