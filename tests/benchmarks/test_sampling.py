import pytest

from benchmarks.idle import find_misses
from benchmarks.sampling import Sample, compute_costs


def build_sample(at, **counters):
    zero = {
        "processor_milliseconds": 0,
        "resident_kib": 65_536,
        "peer_sent_bytes": 0,
        "peer_received_bytes": 0,
    }
    return Sample(at, {"entry-1-gateway": zero | counters})


def test_rates_are_differences_over_the_interval():
    before = build_sample(10.0, processor_milliseconds=500, peer_sent_bytes=1000)
    after = build_sample(
        20.0,
        processor_milliseconds=600,
        peer_sent_bytes=21_000,
        table_received_bytes=10_000,
        table_transactions=20,
    )
    cost = compute_costs(before, after)["entry-1-gateway"]
    assert cost.core_percent == pytest.approx(1.0)
    assert cost.resident_mib == 64
    assert cost.bytes == 3000
    assert cost.table_writes == 2


def test_a_member_that_came_or_went_between_samples_is_left_out():
    before = build_sample(0.0)
    after = Sample(10.0, before.members | {"entry-2-gateway": {}})
    assert list(compute_costs(before, after)) == ["entry-1-gateway"]


@pytest.mark.parametrize(
    ("counters", "unit"),
    [
        ({"processor_milliseconds": 120}, "% of a core"),
        ({"resident_kib": 129 * 1024}, "MiB"),
        ({"peer_received_bytes": 100_001}, "bytes/s"),
    ],
)
def test_a_value_over_its_target_is_named(counters, unit):
    costs = compute_costs(build_sample(0.0), build_sample(10.0, **counters))
    (miss,) = find_misses(costs)
    assert unit in miss
    assert find_misses(compute_costs(build_sample(0.0), build_sample(10.0))) == []
