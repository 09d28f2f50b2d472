"""Figures of a finished load."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from .outcomes import Result

HIGHEST_MS = 86_400_000
DIGITS = 3
PERCENTILES = (50, 90, 99)
TIMES = ("answered_seconds", "first_start_seconds", "last_start_seconds")


def summarize(workload, replay, stats):
    """Return one JSON object of what was sent, waited for and missed.

    Parameters
    ----------
    workload : Workload
    replay : Replay
    stats : dict
        The cell's statistics after the load.
    """
    by_load = {}
    for tracked in replay.tracked:
        load = tracked.arrival.load
        name = getattr(load, "name", None) or f"requests to {load.service}"
        by_load.setdefault(name, []).append(tracked)
    late = [tracked.late_seconds for tracked in replay.tracked]
    return {
        "workload": workload.name,
        "seed": workload.seed,
        "duration_seconds": workload.duration_seconds,
        "loads": {name: _summarize_load(items) for name, items in by_load.items()},
        "sent_late_max_ms": round(max(late, default=0.0) * 1000, 1),
        "lost_samples": replay.lost_samples,
        "packing_max": max((moment.packing for moment in replay.moments), default=0.0),
        "cell": {name: stats.get(name, {}) for name in ("histograms", "packing")},
    }


def list_rows(summary):
    """Return a table row for each load of a summary."""
    return [
        {
            "load": name,
            "sent": load["sent"],
            "results": ", ".join(f"{n} {name}" for name, n in load["results"].items()),
            "missed": load["missed_deadlines"],
            "answer p50/p99 ms": _format(load["answered_ms"]),
            "first start p50/p99 ms": _format(load["first_start_ms"]),
            "last start p99 ms": load["last_start_ms"].get("p99", "-"),
        }
        for name, load in summary["loads"].items()
    ]


def _summarize_load(items):
    results = Counter(str(tracked.result) for tracked in items)
    reasons = Counter(
        tracked.reason
        for tracked in items
        if tracked.result in (Result.REFUSED, Result.UNKNOWN)
    )
    times = {
        name.replace("_seconds", "_ms"): measure_times(
            getattr(tracked, name) for tracked in items
        )
        for name in TIMES
    }
    return {
        "sent": len(items),
        "results": dict(sorted(results.items())),
        "reasons": dict(reasons.most_common(5)),
        "missed_deadlines": sum(tracked.missed_deadline for tracked in items),
        **times,
    }


def measure_times(seconds):
    """Return count and percentiles in milliseconds of the given times but None."""
    histogram = HdrHistogram(1, HIGHEST_MS, DIGITS)
    for value in seconds:
        if value is not None:
            histogram.record_value(min(HIGHEST_MS, max(1, round(value * 1000))))
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    found = {f"p{p}": histogram.get_value_at_percentile(p) for p in PERCENTILES}
    return {"count": count, **found, "max": histogram.get_max_value()}


def _format(times):
    return f"{times['p50']}/{times['p99']}" if times["count"] else "-"
