import random

import pytest

from cactustiller.ownership import Metrics, merge_stats
from cactustiller.ownership.metrics import MAX_LABELS


def test_percentiles_are_those_of_the_whole_cell():
    values = [random.Random(3).expovariate(1) for _ in range(4000)]
    # One slow daemon with most of the load and one with little.
    parts = (sorted(values)[:3900], sorted(values)[3900:])
    exports = []
    for part in parts:
        metrics = Metrics()
        for value in part:
            metrics.record_wait("batch", "red", "a", value)
        exports.append(metrics.export())
    merged = merge_stats(exports)["histograms"]
    ordered = sorted(values)
    for name, tolerance in (("waiting", 0.02), ("waiting_by_team:red", 0.1)):
        assert merged[name]["count"] == 4000
        expected = ordered[int(0.99 * 4000)] * 1000
        assert merged[name]["p99_ms"] == pytest.approx(expected, rel=tolerance)


def test_labels_are_bounded_and_every_value_is_counted():
    metrics = Metrics()
    for number in range(MAX_LABELS + 50):
        metrics.record_wait("batch", f"team-{number}", "a", 1.0)
    histograms = merge_stats([metrics.export()])["histograms"]
    found = [name for name in histograms if name.startswith("waiting_by_team:")]
    assert len(found) == MAX_LABELS + 1
    assert histograms["waiting_by_team:other"]["count"] == 50


def test_histograms_of_340_teams_with_two_queues_each_stay_small():
    metrics = Metrics()
    for number in range(340):
        for queue in ("a", "b"):
            metrics.record_wait("batch", f"team-{number}", queue, 2.0)
    counts = [histogram.counts_len for histogram in metrics.histograms.values()]
    assert sum(counts) * 8 < 8 * 2**20
    assert len("".join(metrics.export()["histograms"].values())) < 2**18


@pytest.mark.parametrize("value", [-1.0, 0.0, 1e12])
def test_values_out_of_range_are_clamped_to_the_scale(value):
    metrics = Metrics()
    metrics.record_wait("batch", "red", "a", value)
    assert merge_stats([metrics.export()])["histograms"]["waiting"]["count"] == 1


def build_team(weight=1.0, cpu=0, running=0, waiting=0):
    used = {"cpu_millis": cpu, "memory_mib": 0}
    return {"weight": weight, "used": used, "running": running, "waiting": waiting}


def test_distance_from_share_is_computed_over_all_members():
    capacity = {"cpu_millis": 1000, "memory_mib": 1000}
    exports = [
        {
            "gauges": {"capacity": capacity, "reserved": {"cpu_millis": 500}},
            "teams": {"red": build_team(3.0, cpu=600, running=6, waiting=1)},
        },
        {
            "gauges": {"capacity": capacity, "reserved": {"cpu_millis": 300}},
            "teams": {
                "blue": build_team(1.0, cpu=600, running=6),
                "idle": build_team(5.0),
            },
        },
    ]
    merged = merge_stats(exports)
    assert merged["packing"]["reserved"]["cpu_millis"] == 0.4
    teams = merged["teams"]
    assert teams["red"]["share"] == 0.75
    assert teams["red"]["distance"] == -0.25
    assert teams["blue"]["distance"] == 0.25
    assert teams["idle"]["share"] == teams["idle"]["distance"] == 0


def test_team_without_waiting_tasks_is_not_below_its_share():
    capacity = {"cpu_millis": 1000}
    teams = {
        "red": build_team(1.0, cpu=100, running=1),
        "blue": build_team(1.0, cpu=900, running=9, waiting=5),
    }
    merged = merge_stats([{"gauges": {"capacity": capacity}, "teams": teams}])
    assert merged["teams"]["red"]["distance"] == 0
    assert merged["teams"]["blue"]["distance"] == pytest.approx(0.4)


def test_full_worker_is_not_reported_as_overcommitted():
    metrics = Metrics()
    for ratio in (0.25, 1.0, 1.0):
        metrics.record("packing_reserved", ratio)
    packing = merge_stats([metrics.export()])["histograms"]["packing_reserved"]
    assert packing["p99_percent"] == packing["max_percent"] == 100.0
