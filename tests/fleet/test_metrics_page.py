"""The operations page documents every metric and log event."""

from pathlib import Path

from cactustiller.cell.reporting.events import Event
from cactustiller.cell.reporting.metrics import Count, Gauge, Latency

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


def test_every_metric_is_documented():
    page = PAGE.read_text()
    counters = [f"`{family.value.name}_total" for family in Count]
    others = [f"`{family.value.name}" for family in (*Latency, *Gauge)]
    assert [name for name in (*counters, *others) if name not in page] == []


def test_every_event_is_documented():
    page = PAGE.read_text()
    assert [event.value for event in Event if f"`{event.value}`" not in page] == []
