"""Run times learnt from what ran."""

from cactustiller.policy import MEDIAN_QUANTILE, RunTimes

from .builders import make_job


def test_declared_time_counts_until_enough_runs_were_seen():
    times = RunTimes()
    spec = make_job().spec
    spec = spec.with_changes(template=spec.template.with_changes(run_seconds=7.0))
    times.record(spec, 100.0)
    assert times.predict(spec) == 7.0
    for seconds in range(1, 11):
        times.record(spec, float(seconds))
    assert times.predict(spec) == 10.0
    assert times.predict(spec, MEDIAN_QUANTILE) == 6.0


def test_memory_is_bounded():
    times = RunTimes(max_programs=2)
    specs = [make_job(program=f"p{number}").spec for number in range(3)]
    for spec in specs:
        for _ in range(3):
            times.record(spec, 5.0)
    assert [times.predict(spec) for spec in specs] == [300.0, 5.0, 5.0]
