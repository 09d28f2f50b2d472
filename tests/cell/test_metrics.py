import asyncio

import pytest
from prometheus_client.parser import text_string_to_metric_families

from cactustiller.cell.reporting.metrics import (
    MAX_SERIES,
    OTHER_LABEL,
    Count,
    Gauge,
    Latency,
    Metrics,
)
from standins.fleet import FleetCell, make_job


def parse(metrics):
    """Return {(sample name, label values ordered by label name): value}."""
    text = metrics.render().decode()
    return {
        (sample.name, tuple(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_counters_and_gauges_are_exposed():
    metrics = Metrics(lambda: [(Gauge.EPOCH, (), 7), (Gauge.WORKERS, ("usable",), 3)])
    metrics.count(Count.ANSWERS, "POST", "200")
    metrics.count(Count.ANSWERS, "POST", "200", amount=2)
    values = parse(metrics)
    assert values["cactustiller_answers_total", ("POST", "200")] == 3
    assert values["cactustiller_epoch", ()] == 7
    assert values["cactustiller_workers", ("usable",)] == 3


def test_histogram_buckets_are_cumulative():
    metrics = Metrics(list)
    for seconds in (0.002, 0.2, 0.2, 4.0, 100.0):
        metrics.record(Latency.ANSWER, seconds, "GET")
    values = parse(metrics)
    name = "cactustiller_answer_seconds"
    buckets = {
        bound: values[f"{name}_bucket", ("GET", bound)]
        for bound in ("0.001", "0.005", "0.25", "5.0", "60.0", "+Inf")
    }
    assert list(buckets.values()) == [0, 1, 3, 4, 4, 5]
    assert values[f"{name}_count", ("GET",)] == 5
    assert values[f"{name}_sum", ("GET",)] == pytest.approx(104.4, rel=0.01)


def test_number_of_label_sets_is_limited():
    metrics = Metrics(list)
    for number in range(MAX_SERIES + 20):
        metrics.count(Count.ANSWERS, "POST", str(number))
    values = parse(metrics)
    assert values["cactustiller_answers_total", (OTHER_LABEL, OTHER_LABEL)] == 20


@pytest.mark.looptime
async def test_cell_counts_its_calls_and_runs():
    async with FleetCell() as cell:
        await cell.submit(make_job(1))
        await asyncio.sleep(3)
        owner = cell.members[cell.find_owner()]
        values = parse(owner.metrics)
    assert values["cactustiller_is_owner", ()] == 1
    assert values["cactustiller_workers", ("usable",)] == 4
    assert values["cactustiller_room_cores", ("free",)] == 4 * 32
    assert values["cactustiller_runs_ended_total", ("done",)] == 1
    assert values["cactustiller_worker_calls_total", ("start", "started")] == 1
    assert values["cactustiller_store_calls_total", ("done", "batch")] >= 2
    assert values["cactustiller_start_wait_seconds_count", ("0",)] == 1
    assert values["cactustiller_events_total", ("run_started",)] >= 1


@pytest.mark.looptime
async def test_refused_store_call_is_counted_as_not_run():
    async with FleetCell() as cell:
        owner = cell.find_owner()
        store, metrics = cell.stores[owner], cell.members[owner].metrics
        store.trouble = type(store.trouble).REFUSING
        await asyncio.sleep(1)
        store.trouble = type(store.trouble).NONE
        values = parse(metrics)
        await cell.wait_for_owner()
    assert values["cactustiller_store_calls_total", ("notRun", "renew")] >= 1
