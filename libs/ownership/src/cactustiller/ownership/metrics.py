"""Counters and histograms of a daemon."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99, 99.9)


def create_histogram():
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


class Metrics:
    """Counters by name and histograms of seconds by name."""

    def __init__(self):
        self.counters = Counter()
        self.histograms = {}

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counters[name] += amount

    def record_seconds(self, name, seconds):
        """Record a duration."""
        if name not in self.histograms:
            self.histograms[name] = create_histogram()
        self.histograms[name].record_value(max(1, int(seconds * 1e6)))

    def export(self):
        """Return counters and encoded histograms, which `merge_stats` reads."""
        return {
            "counters": dict(self.counters),
            "histograms": {
                name: histogram.encode().decode()
                for name, histogram in self.histograms.items()
            },
        }


def merge_stats(exports):
    """Return the sum of what several members exported.

    Times are milliseconds; counters that are not numbers are left out.
    """
    counters = Counter()
    histograms = {}
    for export in exports:
        counters.update(export.get("counters", {}))
        for name, encoded in export.get("histograms", {}).items():
            merged = histograms.setdefault(name, create_histogram())
            merged.decode_and_add(encoded)
    return {
        "counters": dict(sorted(counters.items())),
        "histograms": {
            name: _summarize(histogram)
            for name, histogram in sorted(histograms.items())
        },
    }


def _summarize(histogram):
    summary = {"count": histogram.get_total_count()}
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile}_ms"] = value / 1000
    summary["max_ms"] = histogram.get_max_value() / 1000
    return summary
