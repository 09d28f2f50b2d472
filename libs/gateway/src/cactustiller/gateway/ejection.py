"""Ejection of slow or failing executors, with probation."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from statistics import median

import structlog

FAILURES_TO_EJECT = 5
EJECTED_SECONDS = 5.0
LONGEST_EJECTED_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
PROBATION_SUCCESSES = 3
SLOW_FACTOR = 3.0
SLOW_SECONDS = 0.05
SLOW_SAMPLES = 20
SMOOTHING = 0.1

log = structlog.get_logger(__name__)


class Standing(Enum):
    """Whether an executor is given requests."""

    ADMITTED = "admitted"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True)
class _Record:
    standing: Standing = Standing.ADMITTED
    outstanding: int = 0
    failures: int = 0
    successes: int = 0
    samples: int = 0
    seconds: float = 0.0
    ejected_until: float = 0.0
    ejected_seconds: float = EJECTED_SECONDS


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
        if record is None or record.standing is Standing.ADMITTED:
            return True
        self._end_ejection(record)
        return record.standing is Standing.PROBATION and not record.outstanding

    def is_ejected(self, executor):
        """Return whether an executor gets no requests, not even on probation."""
        record = self._records.get(executor)
        if record is None or record.standing is Standing.ADMITTED:
            return False
        self._end_ejection(record)
        return record.standing is Standing.EJECTED

    def list_ejected(self):
        """Return the ids of the ejected executors."""
        return [name for name in self._records if self.is_ejected(name)]

    def count_outstanding(self, executor):
        """Return the number of requests that an executor has of this gateway."""
        record = self._records.get(executor)
        return record.outstanding if record else 0

    def note_start(self, executor):
        """Count a request as sent."""
        record = self._records.setdefault(executor, _Record())
        record.outstanding += 1

    def note_abort(self, executor):
        """Count a request as ended that says nothing about its executor."""
        self._records[executor].outstanding -= 1

    def note_end(self, executor, seconds, is_good):
        """Take in how a request went."""
        record = self._records[executor]
        record.outstanding -= 1
        if not is_good:
            record.failures += 1
            is_over = record.standing is Standing.PROBATION
            if is_over or record.failures >= FAILURES_TO_EJECT:
                self._eject(executor, record, f"{record.failures} failures")
            return
        record.failures = 0
        weight = SMOOTHING if record.samples else 1.0
        record.seconds += weight * (seconds - record.seconds)
        record.samples += 1
        if record.standing is Standing.PROBATION:
            self._note_success(executor, record)
        elif record.samples % SLOW_SAMPLES == 0 and self._is_slow(executor, record):
            reason = f"{record.seconds:.3f} s, several times the median"
            self._eject(executor, record, reason)

    def _note_success(self, executor, record):
        record.successes += 1
        if record.successes < PROBATION_SUCCESSES:
            return
        if self._is_slow(executor, record):
            self._eject(executor, record, "still slow")
            return
        record.standing = Standing.ADMITTED
        record.ejected_seconds = EJECTED_SECONDS
        log.info("executor_admitted", executor=executor)

    def _is_slow(self, executor, record):
        others = [
            other.seconds
            for name, other in self._records.items()
            if name != executor and other.samples >= PROBATION_SUCCESSES
        ]
        if not others or record.seconds < SLOW_SECONDS:
            return False
        return record.seconds > SLOW_FACTOR * median(others)

    def _eject(self, executor, record, reason):
        executors = self._list_executors()
        out = sum(
            name in executors and other.standing is not Standing.ADMITTED
            for name, other in self._records.items()
            if name != executor
        )
        if out + 1 > MAX_EJECTED_SHARE * len(executors):
            return
        now = asyncio.get_running_loop().time()
        record.standing = Standing.EJECTED
        record.ejected_until = now + record.ejected_seconds
        record.ejected_seconds = min(
            2 * record.ejected_seconds, LONGEST_EJECTED_SECONDS
        )
        record.failures = 0
        log.warning(
            "executor_ejected",
            executor=executor,
            reason=reason,
            until_seconds=record.ejected_until - now,
        )

    def _end_ejection(self, record):
        if record.standing is not Standing.EJECTED:
            return
        if asyncio.get_running_loop().time() >= record.ejected_until:
            record.standing = Standing.PROBATION
            record.successes = 0
            # Its former times would have it ejected again at once.
            record.samples = 0
