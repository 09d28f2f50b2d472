import json

import pytest

from benchmarks.capacity import (
    DESIGN,
    PAGE,
    RECORD,
    compute_total,
    render,
    replace_tables,
)
from benchmarks.driving import DESIGN as DESIGN_SIZE
from benchmarks.slopes import Observation, fit_slopes


@pytest.fixture
def record():
    return json.loads(RECORD.read_text())


def test_page_shows_the_arithmetic_of_the_recorded_slopes(record):
    page = PAGE.read_text()
    assert replace_tables(page, render(record)) == page


def test_recorded_slopes_are_those_of_the_recorded_observations(record):
    fitted = fit_slopes([Observation(**item) for item in record["observations"]])
    for role, costs in record["slopes"].items():
        for cost, slopes in costs.items():
            assert slopes == pytest.approx(fitted[role][cost], rel=1e-3, abs=1e-6)


def test_design_is_the_size_of_the_letter():
    for name in ("workers", "teams", "tasks", "starts"):
        assert DESIGN[name] == getattr(DESIGN_SIZE, name)


def test_another_slope_makes_another_page(record):
    before = compute_total(record, "scheduler", "bytes")
    record["slopes"]["scheduler"]["bytes"]["tasks"] += 1.0
    assert compute_total(record, "scheduler", "bytes") == pytest.approx(
        before + DESIGN["tasks"]
    )
    assert replace_tables(PAGE.read_text(), render(record)) != PAGE.read_text()
