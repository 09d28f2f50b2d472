"""Jobs of several shapes and any size, and the operations that an engine needs."""

import gc
import sys
from collections import Counter
from contextlib import contextmanager
from dataclasses import replace
from unittest import mock

from cactustiller.cell import ListedEnd, Listing, RunEnd
from cactustiller.cell.owner.engine import Engine
from cactustiller.cell.records.specs import decode_job, encode_job
from cactustiller.cell.reporting import events
from cactustiller.model import JobState
from standins.fleet import make_job

from .builders import make_worker

WORKERS = 8
MAX_ROUNDS = 10_000
MAX_ROWS = 96


def make_steps(size, choose_after, count=1):
    """Return a job of steps of some tasks, with the `after` of each position."""
    spec = make_job(cpu=100, count=count)
    (first,) = spec.steps
    steps = [replace(first, after=tuple(choose_after(n))) for n in range(size)]
    return replace(spec, steps=tuple(steps))


def make_recurring(size):
    """Return a job with up to ten open occurrences of ten steps."""
    spec = make_steps(10, lambda n: range(max(0, n - 1), n), count=size // 10)
    return replace(spec, repeat_count=20)


SHAPES = {
    "tasks": lambda size: make_job(count=size, cpu=100),
    "limited": lambda size: make_job(count=size, cpu=100, max_per_worker=size),
    "gang": lambda size: make_job(count=size, cpu=100, is_gang=True),
    "copies": lambda size: make_job(count=size, cpu=100, allows_copies=True),
    "steps": lambda size: make_steps(size, lambda n: ()),
    "chain": lambda size: make_steps(size, lambda n: range(max(0, n - 1), n)),
    "fan out": lambda size: make_steps(size, lambda n: (0,) if n else ()),
    "fan in": lambda size: make_steps(
        size, lambda n: range(size - 1) if n == size - 1 else ()
    ),
    "dense": lambda size: make_steps(size, lambda n: range(max(0, n - 9), n)),
    "occurrences": make_recurring,
}


class SilentLog:
    """Log, and sampler of its lines, that write nothing."""

    def info(self, event, **fields):
        """Drop a line."""

    def allows(self, event, job):
        """Suppress a line, whatever was written before."""
        return False

    def take_suppressed(self):
        """Return that no lines were suppressed."""
        return {}


@contextmanager
def silence():
    """Exclude what depends on time: the sampling of log lines, garbage collections."""
    log = SilentLog()
    with (
        mock.patch.object(events, "log", log),
        mock.patch.object(events, "_sampler", log),
    ):
        gc.disable()
        try:
            yield
        finally:
            gc.enable()


def count_operations(function, *arguments):
    """Return what a function returns, and the number of bytecode operations it took."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    with silence():
        sys.settrace(trace)
        try:
            result = function(*arguments)
        finally:
            sys.settrace(previous)
    return result, count


class CountedEngine:
    """Engine with one job, and the most operations that a call of each kind took.

    Attributes
    ----------
    most : Counter
        Operations by kind of call.
    """

    def __init__(self, spec):
        self.now = 100.0
        self.most = Counter()
        self.engine = Engine(lambda: self.now, lambda: self.now * 1000)
        workers = [make_worker(f"w{n}") for n in range(WORKERS)]
        self.engine.workers = {worker.info.worker: worker for worker in workers}
        row = self.count("encode job", encode_job, replace(spec, accepted_ms=100_000))
        spec = self.count("decode job", decode_job, spec.job, row)
        self.count("add job", self.engine.add_job, spec)
        self.job = self.engine.jobs[spec.job]
        self._ends = Counter()

    def count(self, kind, function, *arguments):
        """Call a function; return what it returns."""
        result, operations = count_operations(function, *arguments)
        self.most[kind] = max(self.most[kind], operations)
        return result

    def play_round(self):
        """Place tasks, store the changes and start the runs."""
        self.now += 0.05
        self.count("plan", self.engine.plan)
        batch = self.count("collect", self.engine.collect, MAX_ROWS)
        starts = self.count("confirm", self.engine.confirm_batch, batch)
        for placement in starts:
            task = placement.task
            self.count("start", self.engine.confirm_start, task, task.run, self.now)
        self.engine.acknowledge_ends()

    def end_runs(self, end=RunEnd.DONE):
        """Report the ends of all runs, by one listing of each worker."""
        for worker in self.engine.workers.values():
            ended = []
            for task, run in list(worker.runs.values()):
                self._ends[worker] += 1
                ended.append(ListedEnd(self._ends[worker], task.name, run, end, ""))
            listing = Listing(int(self.now * 1000), 0, (), tuple(ended))
            arguments = (worker, listing, self.now - 0.001, self.now)
            self.count(f"listing, {end.value}", self.engine.apply_listing, *arguments)

    def play(self):
        """Play until the job has succeeded."""
        for _ in range(MAX_ROUNDS):
            self.play_round()
            if self.job.state is JobState.SUCCEEDED:
                return
            self.end_runs()
        raise AssertionError("the job has not ended")
