from cactustiller.cell.thinning import KEPT_ONE_IN, LINES_PER_SECOND, Thinner


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_lines_beyond_the_rate_are_left_out_job_by_job():
    thinner = Thinner(Clock())
    for number in range(LINES_PER_SECOND):
        assert thinner.allows("started", f"first{number}")
    jobs = [f"job{number}" for number in range(1600)]
    kept = {job for job in jobs if thinner.allows("started", job)}
    assert 0.5 * len(jobs) / KEPT_ONE_IN < len(kept) < 2 * len(jobs) / KEPT_ONE_IN
    # What is kept of one kind of line is kept of another.
    for number in range(LINES_PER_SECOND):
        thinner.allows("ended", f"first{number}")
    assert {job for job in jobs if thinner.allows("ended", job)} == kept


def test_each_kind_has_a_rate_of_its_own():
    thinner = Thinner(Clock())
    for _ in range(LINES_PER_SECOND):
        thinner.allows("started", "")
    assert not thinner.allows("started", "")
    assert thinner.allows("ended", "")


def test_what_was_left_out_is_told_once_the_second_is_over():
    clock = Clock()
    thinner = Thinner(clock)
    for _ in range(LINES_PER_SECOND + 7):
        thinner.allows("started", "")
    assert thinner.take_left_out() == {}
    clock.now += 1
    assert thinner.take_left_out() == {"started": 7}
    assert thinner.take_left_out() == {}
    assert thinner.allows("started", "")
