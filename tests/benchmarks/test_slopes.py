import random

import pytest

from benchmarks.driving import DESIGN, scale_design
from benchmarks.slopes import DRIVERS, Observation, fit_slopes, predict

TRUE = {"workers": 0.5, "teams": 0.0, "tasks": 0.01, "starts": 2.0, "changes": 7.0}
TRUE["changed_teams"] = 0.2

SHARES = {"workers": 1, "teams": 0.4, "tasks": 25, "starts": 0.07, "changes": 0.01}


def build_observations(noise=0.0):
    generator = random.Random(5)
    observations = []
    for size in (24, 96, 192, 384, 770):
        drivers = dict.fromkeys(DRIVERS, 0.0)
        for name in DRIVERS:
            drivers[name] = size * SHARES.get(name, 0.0)
            drivers["changed_teams"] = drivers["changes"] * drivers["teams"]
            cost = 40 + sum(TRUE[driver] * drivers[driver] for driver in DRIVERS)
            cost += generator.uniform(-noise, noise)
            found = {"gateway": {"bytes": cost}}
            observations.append(Observation(size, name, dict(drivers), found))
    return observations


def test_slopes_of_an_exact_law_are_found():
    slopes = fit_slopes(build_observations())["gateway"]["bytes"]
    assert slopes["base"] == pytest.approx(40)
    assert {name: slopes[name] for name in DRIVERS} == pytest.approx(TRUE, abs=1e-6)
    design = dict.fromkeys(DRIVERS, 0.0) | {"workers": 770, "tasks": 19_000}
    assert predict(slopes, design) == pytest.approx(40 + 385 + 190)


def test_no_driver_makes_a_daemon_cheaper():
    slopes = fit_slopes(build_observations(noise=20.0))["gateway"]["bytes"]
    assert all(slopes[name] >= 0 for name in DRIVERS)
    assert slopes["residual"] < 30


def test_largest_size_is_the_design():
    assert scale_design(770) == DESIGN
    assert scale_design(24).tasks == pytest.approx(24 * 19_000 / 770, abs=1)
