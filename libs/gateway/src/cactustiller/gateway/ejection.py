"""Ejection of slow or failing executors, with probation."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from statistics import median

import structlog

FAILURES_TO_EJECT = 5
INITIAL_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_FRACTION = 0.5
PROBATION_SUCCESSES = 3
SLOW_FACTOR = 3.0
MIN_SLOW_SECONDS = 0.05
SAMPLES_PER_SLOW_CHECK = 20
SMOOTHING_FACTOR = 0.1

log = structlog.get_logger(__name__)


class EjectionState(Enum):
    """Whether an executor is given requests."""

    ADMITTED = "admitted"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True)
class _ExecutorRecord:
    state: EjectionState = EjectionState.ADMITTED
    outstanding: int = 0
    consecutive_failures: int = 0
    probation_successes: int = 0
    samples: int = 0
    mean_seconds: float = 0.0
    ejected_until: float = 0.0
    next_ejection_seconds: float = INITIAL_EJECTION_SECONDS


class ExecutorHealth:
    """What one gateway has seen of a service's executors.

    An executor is ejected after consecutive failures, or when it takes several
    times as long as the median executor. After a time it gets single requests, and
    is admitted again when they succeed. At most half of the executors are ejected.

    Parameters
    ----------
    list_executors : callable
        Returns the ids of the service's executors that may be given requests.
    """

    def __init__(self, list_executors):
        self._list_executors = list_executors
        self._records = {}

    def is_admitted(self, executor):
        """Return whether an executor may be given a request now."""
        record = self._records.get(executor)
        if record is None or record.state is EjectionState.ADMITTED:
            return True
        self._end_ejection(record)
        return record.state is EjectionState.PROBATION and not record.outstanding

    def is_ejected(self, executor):
        """Return whether an executor gets no requests, not even on probation."""
        record = self._records.get(executor)
        if record is None or record.state is EjectionState.ADMITTED:
            return False
        self._end_ejection(record)
        return record.state is EjectionState.EJECTED

    def list_ejected(self):
        """Return the ids of the ejected executors."""
        return [name for name in self._records if self.is_ejected(name)]

    def count_outstanding(self, executor):
        """Return the number of requests that an executor has of this gateway."""
        record = self._records.get(executor)
        return record.outstanding if record else 0

    def record_start(self, executor):
        """Count a request as sent."""
        record = self._records.setdefault(executor, _ExecutorRecord())
        record.outstanding += 1

    def record_cancellation(self, executor):
        """Count a request as ended that says nothing about its executor."""
        self._records[executor].outstanding -= 1

    def record_result(self, executor, seconds, is_success):
        """Take in how a request went."""
        record = self._records[executor]
        record.outstanding -= 1
        if not is_success:
            record.consecutive_failures += 1
            is_on_probation = record.state is EjectionState.PROBATION
            if is_on_probation or record.consecutive_failures >= FAILURES_TO_EJECT:
                self._eject(executor, record, f"{record.consecutive_failures} failures")
            return
        record.consecutive_failures = 0
        weight = SMOOTHING_FACTOR if record.samples else 1.0
        record.mean_seconds += weight * (seconds - record.mean_seconds)
        record.samples += 1
        if record.state is EjectionState.PROBATION:
            self._record_probation_success(executor, record)
        elif record.samples % SAMPLES_PER_SLOW_CHECK == 0 and self._is_slow(
            executor, record
        ):
            reason = f"{record.mean_seconds:.3f} s, several times the median"
            self._eject(executor, record, reason)

    def _record_probation_success(self, executor, record):
        record.probation_successes += 1
        if record.probation_successes < PROBATION_SUCCESSES:
            return
        if self._is_slow(executor, record):
            self._eject(executor, record, "still slow")
            return
        record.state = EjectionState.ADMITTED
        record.next_ejection_seconds = INITIAL_EJECTION_SECONDS
        log.info("executor_admitted", executor=executor)

    def _is_slow(self, executor, record):
        others = [
            other.mean_seconds
            for name, other in self._records.items()
            if name != executor and other.samples >= PROBATION_SUCCESSES
        ]
        if not others or record.mean_seconds < MIN_SLOW_SECONDS:
            return False
        return record.mean_seconds > SLOW_FACTOR * median(others)

    def _eject(self, executor, record, reason):
        executors = self._list_executors()
        ejected_count = sum(
            name in executors and other.state is not EjectionState.ADMITTED
            for name, other in self._records.items()
            if name != executor
        )
        if ejected_count + 1 > MAX_EJECTED_FRACTION * len(executors):
            return
        now = asyncio.get_running_loop().time()
        record.state = EjectionState.EJECTED
        record.ejected_until = now + record.next_ejection_seconds
        record.next_ejection_seconds = min(
            2 * record.next_ejection_seconds, MAX_EJECTION_SECONDS
        )
        record.consecutive_failures = 0
        log.warning(
            "executor_ejected",
            executor=executor,
            reason=reason,
            until_seconds=record.ejected_until - now,
        )

    def _end_ejection(self, record):
        if record.state is not EjectionState.EJECTED:
            return
        if asyncio.get_running_loop().time() >= record.ejected_until:
            record.state = EjectionState.PROBATION
            record.probation_successes = 0
            # Its former times would have it ejected again at once.
            record.samples = 0
