"""Counters and histograms of a daemon, and aggregated statistics of the cell.

Histograms are merged bucket by bucket, so that percentiles hold for the whole cell. A
histogram is named ``family`` or ``family:label``; the family determines its scale.
"""

from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .shares import measure_shares

PERCENTILES = (50, 90, 99, 99.9)
MAX_LABELS = 1000
OTHER_LABEL = "other"


class Scale(NamedTuple):
    """Range, precision and unit of a histogram family.

    A value is multiplied by `factor` and recorded as an integer from 1 to `highest`
    with `digits` significant digits. Times `display_factor`, it is in `unit`.
    """

    factor: float
    highest: int
    digits: int
    unit: str
    display_factor: float


# A histogram of `DURATIONS` takes 27 KB and a labelled one, of which there are many,
# 3 KB.
DURATIONS = Scale(1e6, 3_600_000_000, 2, "ms", 1e-3)
LABELLED_DURATIONS = Scale(1e3, 86_400_000, 1, "ms", 1.0)
# Exact up to 204.7 %, so that a full worker is not reported as overcommitted.
RATIOS = Scale(1e3, 10_000, 3, "percent", 0.1)

SCALES = {
    "waiting_by_team": LABELLED_DURATIONS,
    "waiting_by_queue": LABELLED_DURATIONS,
    "packing_reserved": RATIOS,
    "packing_used": RATIOS,
}


def create_histogram(name):
    """Return an empty histogram with the scale of the name's family."""
    scale = find_scale(name)
    return HdrHistogram(1, scale.highest, scale.digits)


def find_scale(name):
    """Return the `Scale` of a histogram by its name."""
    return SCALES.get(name.partition(":")[0], DURATIONS)


class Metrics:
    """Counters and histograms of a daemon, by name."""

    def __init__(self):
        self.counters = Counter()
        self.histograms = {}
        self._labels = Counter()

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counters[name] += amount

    def record_seconds(self, name, seconds):
        """Record a duration in a family."""
        self.record(name, seconds)

    def record_wait(self, kind, team, queue, seconds):
        """Record the time from a job's submission to the first start of a task."""
        self.record("waiting", seconds)
        self.record("waiting_by_kind", seconds, kind)
        self.record("waiting_by_team", seconds, team)
        self.record("waiting_by_queue", seconds, f"{team}/{queue}")

    def record(self, family, value, label=""):
        """Record a value in a family.

        Labels beyond the first `MAX_LABELS` of a family share `OTHER_LABEL`.
        """
        name = self._name(family, label)
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = create_histogram(name)
        scale = find_scale(name)
        histogram.record_value(min(scale.highest, max(1, int(value * scale.factor))))

    def export(self):
        """Return counters and encoded histograms as input of `merge_stats`."""
        return {
            "counters": dict(self.counters),
            "histograms": encode_histograms(self.histograms),
        }

    def _name(self, family, label):
        if not label:
            return family
        name = f"{family}:{label}"
        if name in self.histograms:
            return name
        if self._labels[family] >= MAX_LABELS:
            return f"{family}:{OTHER_LABEL}"
        self._labels[family] += 1
        return name


def encode_histograms(histograms):
    """Return the encoded histograms by name."""
    return {name: histogram.encode().decode() for name, histogram in histograms.items()}


def merge_stats(exports):
    """Return the aggregated statistics of several members.

    Parameters
    ----------
    exports : iterable of dict
        Each may have ``counters``, ``histograms``, ``gauges`` (resources by name)
        and ``teams``.
    """
    counters = Counter()
    histograms = {}
    gauges = {}
    teams = {}
    for export in exports:
        counters.update(export.get("counters", {}))
        for name, encoded in export.get("histograms", {}).items():
            merged = histograms.setdefault(name, create_histogram(name))
            merged.decode_and_add(encoded)
        for name, resources in export.get("gauges", {}).items():
            gauges.setdefault(name, Counter()).update(resources)
        teams |= export.get("teams", {})
    return {
        "counters": dict(sorted(counters.items())),
        "histograms": {
            name: summarize(name, histogram)
            for name, histogram in sorted(histograms.items())
        },
        "gauges": {name: dict(found) for name, found in sorted(gauges.items())},
        "packing": _measure_packing(gauges),
        "teams": measure_shares(teams, gauges.get("capacity", {})),
    }


def summarize(name, histogram):
    """Return count, percentiles and maximum of a histogram, in its unit."""
    scale = find_scale(name)
    summary = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile}_{scale.unit}"] = round(value * scale.display_factor, 3)
    largest = histogram.get_max_value()
    summary[f"max_{scale.unit}"] = round(largest * scale.display_factor, 3)
    return summary


def _measure_packing(gauges):
    """Return the reserved and used fractions of the capacity, by resource."""
    capacity = gauges.get("capacity", {})
    return {
        name: {
            resource: round(gauges[name][resource] / amount, 4)
            for resource, amount in capacity.items()
            if amount
        }
        for name in ("reserved", "used")
        if name in gauges
    }
