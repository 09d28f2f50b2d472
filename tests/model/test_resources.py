from cactustiller.model import Resources


def test_sum_equals_the_multiple_and_exceeds_one():
    small = Resources(cpu_millis=500, memory_mib=100)
    assert small.times(2) == small + small
    assert small.fits_within(small + small)
    assert not (small + small).fits_within(small)
