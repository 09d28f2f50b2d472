"""Workers that fail what others run, and when to try them again."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

WINDOW_SECONDS = 600.0
FAILURES_TO_QUARANTINE = 3
FIRST_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0
MAX_PROGRAMS = 4096
MAX_FAILURES_PER_WORKER = 16
FAULTY_PROGRAM_WORKERS = 2


class Health(Enum):
    """What may be placed on a worker."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBATION = "probation"


@dataclass(slots=True)
class _ProgramRecord:
    """Work of one (team, queue, name): where it failed, when it last succeeded."""

    failed_on: set = field(default_factory=set)
    succeeded_at: float = float("-inf")

    def has_recent_success(self, now):
        """Return whether it has run well lately."""
        return now - self.succeeded_at < WINDOW_SECONDS

    def is_faulty(self, now):
        """Return whether it fails wherever it runs."""
        return len(
            self.failed_on
        ) >= FAULTY_PROGRAM_WORKERS and not self.has_recent_success(now)


@dataclass(slots=True)
class _WorkerRecord:
    failures: OrderedDict = field(default_factory=OrderedDict)
    until: float = 0.0
    quarantine_count: int = 0


class WorkerHealth:
    """Quarantines workers by failures over distinct jobs.

    A failure counts against the worker once for each job whose program (team, queue,
    name) ran well elsewhere lately, and once for each program that is not known yet.
    A program that failed on several workers and ran well on none is at fault itself.
    After a time that doubles, a worker is on probation: one more failure quarantines
    it again, a success clears it.
    """

    def __init__(self):
        self._workers = {}
        self._programs = OrderedDict()

    def record_end(self, worker, spec, job, has_failed, now):
        """Take the end of a run; return whether the worker's health has changed."""
        before = self.find_health(worker, now)
        program = self._find_program(spec)
        record = self._workers.get(worker)
        if has_failed:
            program.failed_on.add(worker)
            record = self._workers.setdefault(worker, _WorkerRecord())
            record.failures[job] = (now, _make_program_key(spec))
            if len(record.failures) > MAX_FAILURES_PER_WORKER:
                record.failures.popitem(last=False)
        else:
            program.succeeded_at = now
            program.failed_on.discard(worker)
            if record is not None:
                self._record_success(worker, record, before)
        if before is not Health.QUARANTINED:
            suspects = [worker] if has_failed else sorted(program.failed_on)
            for name in suspects:
                self._update_quarantine(name, now)
        return self.find_health(worker, now) is not before

    def find_health(self, worker, now):
        """Return the `Health` of a worker."""
        record = self._workers.get(worker)
        if record is None or not record.quarantine_count:
            return Health.GOOD
        return Health.QUARANTINED if now < record.until else Health.PROBATION

    def list_quarantined(self, now):
        """Return the workers on which nothing may be placed."""
        return [
            worker
            for worker in self._workers
            if self.find_health(worker, now) is Health.QUARANTINED
        ]

    def describe(self, worker, now):
        """Return the evidence against a worker as text."""
        record = self._workers[worker]
        failures = [
            f"{job} {now - at:.0f} s ago" for job, (at, _) in record.failures.items()
        ]
        return (
            f"{len(failures)} jobs failed there that are not at fault: "
            f"{', '.join(failures)}; on probation in {record.until - now:.0f} s"
        )

    def _record_success(self, worker, record, health):
        if health is Health.PROBATION:
            del self._workers[worker]
        elif health is Health.GOOD and record.failures:
            record.failures.popitem(last=False)

    def _update_quarantine(self, worker, now):
        """Quarantine a worker where the failures suffice."""
        record = self._workers.get(worker)
        if record is None or self.find_health(worker, now) is Health.QUARANTINED:
            return
        counted = self._list_counted(record, now)
        needed = 1 if record.quarantine_count else FAILURES_TO_QUARANTINE
        if len(counted) < needed:
            return
        seconds = FIRST_QUARANTINE_SECONDS * 2**record.quarantine_count
        record.until = now + min(MAX_QUARANTINE_SECONDS, seconds)
        record.quarantine_count += 1
        record.failures = OrderedDict(counted)

    def _list_counted(self, record, now):
        """Return the failures that speak against the worker, one per reason."""
        counted = {}
        unknown = set()
        since = max(
            now - WINDOW_SECONDS, record.until if record.quarantine_count else 0.0
        )
        for job, (at, name) in record.failures.items():
            program = self._programs.get(name)
            if at < since or program is None or program.is_faulty(now):
                continue
            if not program.has_recent_success(now):
                if name in unknown:
                    continue
                unknown.add(name)
            counted[job] = (at, name)
        return counted

    def _find_program(self, spec):
        name = _make_program_key(spec)
        program = self._programs.setdefault(name, _ProgramRecord())
        self._programs.move_to_end(name)
        if len(self._programs) > MAX_PROGRAMS:
            self._programs.popitem(last=False)
        return program


def _make_program_key(spec):
    return (spec.team, spec.queue, spec.name)
