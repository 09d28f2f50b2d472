import pytest
import structlog

from cactustiller.cell.reporting import events
from cactustiller.cell.reporting.events import Event, log_event
from cactustiller.cell.reporting.sampling import (
    MAX_LINES_PER_SECOND,
    SAMPLE_ONE_JOB_IN,
    LogSampler,
)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_lines_beyond_the_rate_are_sampled_by_job():
    sampler = LogSampler(Clock())
    for number in range(MAX_LINES_PER_SECOND):
        assert sampler.allows("started", f"first{number}")
    jobs = [f"job{number}" for number in range(1600)]
    kept = {job for job in jobs if sampler.allows("started", job)}
    assert (
        0.5 * len(jobs) / SAMPLE_ONE_JOB_IN
        < len(kept)
        < 2 * len(jobs) / SAMPLE_ONE_JOB_IN
    )
    # The same jobs are sampled for every event.
    for number in range(MAX_LINES_PER_SECOND):
        sampler.allows("ended", f"first{number}")
    assert {job for job in jobs if sampler.allows("ended", job)} == kept


def test_each_event_has_its_own_rate():
    sampler = LogSampler(Clock())
    for _ in range(MAX_LINES_PER_SECOND):
        sampler.allows("started", "")
    assert not sampler.allows("started", "")
    assert sampler.allows("ended", "")


def test_suppressed_lines_are_reported_after_the_second():
    clock = Clock()
    sampler = LogSampler(clock)
    for _ in range(MAX_LINES_PER_SECOND + 7):
        sampler.allows("started", "")
    assert sampler.take_suppressed() == {}
    clock.now += 1
    assert sampler.take_suppressed() == {"started": 7}
    assert sampler.take_suppressed() == {}
    assert sampler.allows("started", "")


# A log line with the counts of earlier tests failed a test that expects one line.
@pytest.mark.parametrize("run", [1, 2])
def test_no_lines_of_an_earlier_test_are_reported(run):
    lines = MAX_LINES_PER_SECOND + 1
    with structlog.testing.capture_logs() as captured:
        for _ in range(lines):
            log_event(Event.JOB_ENDED)
    assert all(line["event"] == Event.JOB_ENDED.value for line in captured)
    # Leaves suppressed lines from a second that is over.
    events._sampler._second = -1
