from cactustiller.cell.sampling import (
    MAX_LINES_PER_SECOND,
    SAMPLE_ONE_JOB_IN,
    LogSampler,
)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_lines_beyond_the_rate_are_left_out_job_by_job():
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
    # What is kept of one kind of line is kept of another.
    for number in range(MAX_LINES_PER_SECOND):
        sampler.allows("ended", f"first{number}")
    assert {job for job in jobs if sampler.allows("ended", job)} == kept


def test_each_kind_has_a_rate_of_its_own():
    sampler = LogSampler(Clock())
    for _ in range(MAX_LINES_PER_SECOND):
        sampler.allows("started", "")
    assert not sampler.allows("started", "")
    assert sampler.allows("ended", "")


def test_what_was_left_out_is_told_once_the_second_is_over():
    clock = Clock()
    sampler = LogSampler(clock)
    for _ in range(MAX_LINES_PER_SECOND + 7):
        sampler.allows("started", "")
    assert sampler.take_suppressed() == {}
    clock.now += 1
    assert sampler.take_suppressed() == {"started": 7}
    assert sampler.take_suppressed() == {}
    assert sampler.allows("started", "")
