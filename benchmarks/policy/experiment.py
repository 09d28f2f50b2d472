"""Runs a workload on a scheduler in virtual time."""

from heapq import heappop, heappush
from itertools import count

from cactustiller.model import RunState, WorkloadKind

from .cells import make_workers
from .jobs import Job, Run
from .metrics import Samples

EVENT_BATCH_SECONDS = 0.05
START_SECONDS = 0.05
CHECKPOINT_SECONDS = 1.0
BLACK_HOLE_SECONDS = 0.2
TICK_SECONDS = 1.0


class Experiment:
    """One workload on one scheduler.

    Parameters
    ----------
    workload : Workload
    scheduler_class : type
    """

    def __init__(self, workload, scheduler_class):
        self.workload = workload
        workers = make_workers(workload.workers)
        self.samples = Samples(workers, workload.weights)
        self.scheduler = scheduler_class(
            make_workers(workload.workers), workload.weights
        )
        self.jobs = []
        self.preemptions = 0
        self.wasted = 0.0
        self.worked = 0.0
        self._black_hole_workers = {
            worker.worker for worker in workers[: workload.black_holes]
        }
        self._events = []
        self._numbers = count()
        self._needs_decision = False

    def run(self):
        """Run until the workload's end."""
        for number, arrival in enumerate(self.workload.arrivals):
            self._at(arrival.at, self._arrive, number, arrival)
        self._at(0.0, self._tick)
        while self._events and self._events[0][0] <= self.workload.until:
            now = self._events[0][0]
            while self._events and self._events[0][0] <= now + EVENT_BATCH_SECONDS:
                _, _, handle, arguments = heappop(self._events)
                handle(now, *arguments)
            if self._needs_decision:
                self._decide(now + EVENT_BATCH_SECONDS)

    def _at(self, moment, handle, *arguments):
        heappush(self._events, (moment, next(self._numbers), handle, arguments))

    def _tick(self, now):
        self._needs_decision = True
        self.samples.collect(now, self.jobs)
        self._at(now + TICK_SECONDS, self._tick)

    def _arrive(self, now, number, arrival):
        tasks = list(range(arrival.spec.task_count))
        job = Job(f"j-{number:05d}", arrival.spec, arrival.seconds, now, tasks)
        self.jobs.append(job)
        self.samples.add_waiting(job, len(tasks))
        if arrival.cancelled_at <= self.workload.until:
            self._at(arrival.cancelled_at, self._cancel, job)
        self._put(job, now)

    def _cancel(self, now, job):
        if job.ended_at <= now:
            return
        job.is_cancelled = True
        self.samples.add_waiting(job, -len(job.waiting))
        job.waiting.clear()
        for run in list(job.running.values()):
            self._at(now + CHECKPOINT_SECONDS, self._end, run, RunState.STOPPED)
        self._put(job, now)

    def _decide(self, now):
        self._needs_decision = False
        placed, stopped = self.scheduler.decide(now)
        changed = {}
        for job, index, worker in placed:
            self._start(now + START_SECONDS, job, index, worker)
            changed[job.name] = job
        for job in changed.values():
            self.scheduler.put(job, now)
        for run in stopped:
            self.preemptions += 1
            self._at(now + CHECKPOINT_SECONDS, self._end, run, RunState.STOPPED)

    def _start(self, now, job, index, worker):
        job.waiting.remove(index)
        attempt = job.attempts.get(index, 0) + 1
        job.attempts[index] = attempt
        run = Run(job, index, attempt, worker, now)
        job.running[index] = run
        if attempt == 1:
            job.waits.append(now - job.submitted_at)
        self.samples.add_waiting(job, -1)
        self.samples.add_running(job, 1)
        if worker in self._black_hole_workers or job.spec.name == "broken":
            self._at(now + BLACK_HOLE_SECONDS, self._end, run, RunState.FAILED)
        elif job.spec.kind is not WorkloadKind.SERVICE:
            self._at(now + job.seconds[index], self._end, run, RunState.SUCCEEDED)

    def _end(self, now, run, state):
        if run.is_over:
            return
        run.is_over = True
        job, index = run.job, run.index
        del job.running[index]
        self.samples.add_running(job, -1)
        self.scheduler.end(run, state, now)
        work = (now - run.started_at) * job.amounts.cpu_millis / 1000
        self.worked += work
        if state is RunState.SUCCEEDED:
            job.done += 1
        else:
            self.wasted += work
            self._requeue(job, run, state)
        over = job.done + sum(n >= job.spec.max_attempts for n in job.failures.values())
        if over == job.spec.task_count:
            job.ended_at = now
        self._put(job, now)

    def _requeue(self, job, run, state):
        if state is RunState.FAILED:
            job.failed_on.add(run.worker)
            job.failures[run.index] = job.failures.get(run.index, 0) + 1
            if job.failures[run.index] >= job.spec.max_attempts:
                job.is_failed = True
                return
        else:
            job.preemptions[run.index] = job.preemptions.get(run.index, 0) + 1
        if not job.is_cancelled:
            job.waiting.append(run.index)
            job.waiting.sort()
            self.samples.add_waiting(job, 1)

    def _put(self, job, now):
        self._needs_decision = True
        self.scheduler.put(job, now)
