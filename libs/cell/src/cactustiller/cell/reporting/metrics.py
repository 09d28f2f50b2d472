"""Counters, gauges and latency histograms of a member in the Prometheus format."""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from .events import EVENT_COUNTS

NAMESPACE = "cactustiller"
# Histograms record microseconds up to one hour with two significant digits.
MICROSECONDS_PER_SECOND = 1e6
MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2
# Upper bounds of the exposed buckets: callers wait between 0.25 s and 3 s, calls
# take milliseconds, and large jobs may wait half a minute for a start.
BUCKET_BOUNDS_SECONDS = (
    0.001,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
    60,
)
# Label sets of a family beyond this number are combined into one series; a cell has up
# to 340 teams.
MAX_SERIES = 400
OTHER_LABEL = "other"


class Family(NamedTuple):
    """Name, help text and labels of a metric family."""

    name: str
    text: str
    labels: tuple[str, ...] = ()


class Count(Enum):
    """Counters, exposed as ``<name>_total``."""

    ANSWERS = Family("answers", "Answers to callers.", ("call", "status"))
    STORE_CALLS = Family("store_calls", "Calls to the store.", ("purpose", "outcome"))
    STORE_BYTES = Family("store_bytes", "Bytes of row values.", ("purpose",))
    WORKER_CALLS = Family("worker_calls", "Calls to workers.", ("call", "outcome"))
    APPROVAL_CALLS = Family("approval_calls", "Approvals asked.", ("outcome",))
    CLIENTS_REFUSED = Family(
        "clients_refused",
        "Requests and connections refused before a handler had them.",
        ("listener", "reason"),
    )
    REJECTIONS = Family("rejections", "Submissions not accepted.", ("reason",))
    STORE_WAITS = Family("store_waits", "Submissions that waited for the store.")
    RUNS_ENDED = Family("runs_ended", "Runs by their end.", ("end",))
    COPIES = Family("copies_settled", "Copies of late runs.", ("outcome",))
    WASTED_CORE_SECONDS = Family(
        "wasted_core_seconds", "Work of runs that did not succeed.", ("end",)
    )


class Latency(Enum):
    """Latency histograms in seconds."""

    ANSWER = Family("answer_seconds", "Time to answer a caller.", ("call",))
    STORE_CALL = Family("store_call_seconds", "Time of a store call.", ("purpose",))
    WORKER_CALL = Family("worker_call_seconds", "Time of a worker call.", ("call",))
    START_WAIT = Family(
        "start_wait_seconds", "From a step's turn to a start of it.", ("priority",)
    )
    LOOP_DELAY = Family("loop_delay_seconds", "Lateness of the loop's timers.")
    LOOP_HELD = Family(
        "loop_held_seconds", "Work of 10 ms and more in one piece.", ("work",)
    )


class Gauge(Enum):
    """Gauges, read when the metrics are rendered."""

    IS_OWNER = Family("is_owner", "1 at the owner of the cell.")
    EPOCH = Family("epoch", "Highest epoch known.")
    DESIRED_VERSION = Family("desired_version", "Version in force.")
    DESIRED_AGE = Family("desired_age_seconds", "Since the store confirmed it.")
    WORKERS = Family("workers", "Workers by what the owner believes.", ("state",))
    WORKER_CONNECTIONS = Family(
        "worker_connections",
        "Workers by the number of open connections to them.",
        ("connections",),
    )
    UNANSWERED_STARTS = Family(
        "unanswered_starts", "Runs whose start got no answer and that are not settled."
    )
    UNANSWERED_START_AGE = Family(
        "unanswered_start_seconds", "Since the oldest of these starts was sent."
    )
    SLOW_WORKERS = Family("slow_workers", "Workers that the owner found slow.")
    JOBS = Family("jobs", "Jobs in the owner's memory.")
    DEFERRED_JOBS = Family(
        "deferred_jobs", "Stored jobs that are not loaded for want of memory."
    )
    JOB_MEMORY = Family("job_memory_bytes", "Estimated memory of these jobs.")
    WAITING = Family(
        "waiting_tasks", "Tasks whose turn has come.", ("priority", "team")
    )
    BLOCKED = Family(
        "blocked_steps",
        "Waiting steps examined last, by what blocks them.",
        ("reason",),
    )
    COPIES = Family("copies", "Copies of late runs.")
    CAPACITY = Family("room_cores", "Cores of listed workers.", ("state",))
    WAITING_CALLERS = Family("waiting_callers", "Callers that wait for the store.")
    CLIENT_CONNECTIONS = Family(
        "client_connections", "Open connections of clients.", ("listener",)
    )
    REQUEST_MEMORY = Family(
        "request_memory_bytes", "Memory admitted for requests.", ("listener",)
    )
    INTERFERING_PAIRS = Family(
        "interfering_pairs", "Known pairs of images that are kept apart."
    )
    INTERFERENCE_SLOWDOWN = Family(
        "interference_slowdown", "Largest slowdown by a known pair, 1 for none."
    )
    PENDING_SUBMISSIONS = Family("pending_hand_ins", "Jobs that wait for the store.")


class Metrics:
    """Metrics of one member.

    Parameters
    ----------
    read_gauges : callable
        Yields ``(Gauge, labels, value)``.
    """

    def __init__(self, read_gauges):
        self._read_gauges = read_gauges
        self._counts = {family: Counter() for family in Count}
        self._histograms = {family: {} for family in Latency}
        self._registry = CollectorRegistry()
        self._registry.register(self)
        ProcessCollector(NAMESPACE, registry=self._registry)

    def count(self, family, *labels, amount=1):
        """Add to a counter."""
        counts = self._counts[family]
        counts[_limit_labels(counts, labels)] += amount

    def record(self, family, seconds, *labels):
        """Record a duration in seconds."""
        histograms = self._histograms[family]
        labels = _limit_labels(histograms, labels)
        histogram = histograms.get(labels)
        if histogram is None:
            histogram = histograms[labels] = HdrHistogram(
                1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        histogram.record_value(
            min(MAX_MICROSECONDS, max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        )

    def render(self):
        """Return the metrics in the Prometheus text format, encoded."""
        return generate_latest(self._registry)

    def collect(self):
        """Yield the metric families; called by the Prometheus registry."""
        yield _make_counter(Family("events", "Log events.", ("event",)), EVENT_COUNTS)
        for family, counts in self._counts.items():
            yield _make_counter(family.value, counts)
        for family, histograms in self._histograms.items():
            yield _make_histogram(family.value, histograms)
        gauges = {family: _make_gauge(family.value) for family in Gauge}
        for family, labels, value in self._read_gauges():
            gauges[family].add_metric(labels, value)
        yield from gauges.values()


def _limit_labels(known, labels):
    """Return the labels, or those of the combined series if a family has too many."""
    if labels in known or len(known) < MAX_SERIES:
        return labels
    return (OTHER_LABEL,) * len(labels)


def _make_counter(family, counts):
    metric = CounterMetricFamily(
        f"{NAMESPACE}_{family.name}", family.text, labels=family.labels
    )
    for labels, value in counts.items():
        metric.add_metric(labels, value)
    return metric


def _make_gauge(family):
    return GaugeMetricFamily(
        f"{NAMESPACE}_{family.name}", family.text, labels=family.labels
    )


def _make_histogram(family, histograms):
    metric = HistogramMetricFamily(
        f"{NAMESPACE}_{family.name}", family.text, labels=family.labels
    )
    for labels, histogram in histograms.items():
        total = (
            histogram.get_mean_value() * histogram.total_count / MICROSECONDS_PER_SECOND
        )
        metric.add_metric(labels, _accumulate(histogram), total)
    return metric


def _accumulate(histogram):
    """Return ``(bound, count)`` pairs with the number of values up to each bound."""
    values = [
        (
            item.value_iterated_to / MICROSECONDS_PER_SECOND,
            item.count_added_in_this_iter_step,
        )
        for item in histogram.get_recorded_iterator()
    ]
    pairs = [
        (str(float(bound)), sum(count for value, count in values if value <= bound))
        for bound in BUCKET_BOUNDS_SECONDS
    ]
    return [*pairs, ("+Inf", histogram.total_count)]
