"""State of a cell at its owner and the decisions on it; no I/O."""

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from cactustiller.model import Amounts, JobId, JobState, WorkerId

from .desired import DesiredState, Team
from .events import Event, log_event
from .health import is_stalled, note_failure, note_stall, note_success
from .ordering import make_order_key
from .placement import Placement, Round, place_steps
from .runs import End, JobRun, RunPhase, decode_progress, encode_progress
from .shares import ShareMeter
from .workers import CLOCK_DRIFT, Worker, WorkerInfo

STOP_RETRY_SECONDS = 0.5
# A run that is still there this long after its stop was answered is stopped again.
STOP_PATIENCE_SECONDS = 2.0
# Placements older than this go by a view of workers and tickets that is too old.
STALE_BATCH_SECONDS = 0.6
# Longest time without the store for which a former owner may go on renewing leases.
OWNER_WITHOUT_STORE_SECONDS = 10.0
# Lease that each call to a worker grants: outlasts a takeover (about 3 s) and is
# short enough that work of a lost worker is run again within its objective.
LEASE_SECONDS = 6.0
FORMER_LEASE_SECONDS = OWNER_WITHOUT_STORE_SECONDS + LEASE_SECONDS * (
    1 + 2 * CLOCK_DRIFT
)
# Finished jobs stay readable this much longer than callers are promised.
RETENTION_MARGIN_SECONDS = 30.0


class ListedEnd(NamedTuple):
    """End of a run as its worker lists it."""

    number: int
    task: str
    run: int
    end: End
    checkpoint: str


class ListedRun(NamedTuple):
    """Run at work as its worker lists it; `load` is its use or its latency."""

    task: str
    run: int
    checkpoint: str
    progress: int
    load: float


class Listing(NamedTuple):
    """Answer of a worker: its clock, what runs and what ended."""

    clock_ms: int
    born_ms: int
    active: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]


class Stop(NamedTuple):
    """Run that is to be stopped on a worker."""

    worker: Worker
    task: str
    run: int


@dataclass(slots=True)
class Batch:
    """Changes to be stored in one transaction, and what follows once they are.

    Attributes
    ----------
    rows : dict of JobId to (str, bytes)
        Progress rows.
    acknowledged : dict of WorkerId to (int, int)
        Life of the worker and its last end that the rows hold.
    """

    rows: dict = field(default_factory=dict)
    states: dict = field(default_factory=dict)
    created_at: float = 0.0
    placements: list[Placement] = field(default_factory=list)
    acknowledged: dict = field(default_factory=dict)


class Engine:
    """Queues, workers and runs of one cell.

    Parameters
    ----------
    clock : callable
        Seconds of the loop.
    wall_clock_ms : callable
        Unix milliseconds.
    """

    def __init__(self, clock, wall_clock_ms=lambda: time.time() * 1000):
        self.jobs: dict[JobId, JobRun] = {}
        self.shown: dict[JobId, JobState] = {}
        self.workers: dict[WorkerId, Worker] = {}
        self.desired = DesiredState()
        self.shares = ShareMeter()
        self.counters = Counter()
        self._clock = clock
        self._wall_clock_ms = wall_clock_ms
        self._dirty: set[JobId] = set()
        self._eligible: dict = {}
        self._timed: set[JobId] = set()
        self._used: dict = {}
        self._stops_sent: dict = {}
        self._last_placements: list[Placement] = []

    # Jobs

    def add_job(self, spec, progress=None, is_stored=True):
        """Add a job, with its progress row where there is one.

        A job that is not stored yet is shown only after `confirm_jobs`.
        """
        if spec.job in self.jobs:
            return
        job = decode_progress(spec, progress) if progress else JobRun(spec)
        self.jobs[spec.job] = job
        if is_stored:
            self.shown[spec.job] = job.state
        if job.state.is_final:
            return
        team = self.desired.teams.get(spec.team)
        job.is_over_share = self.shares.is_over(team, spec)
        if not spec.repeat_count and not job.occurrences:
            job.open_occurrence(0)
        if spec.repeat_count:
            self._timed.add(spec.job)
        for step in job.iterate_steps():
            for task in step.tasks:
                if task.holds_room:
                    self._hold(task)
        self._refresh(job)
        if not progress:
            self._dirty.discard(spec.job)

    def drop_job(self, job_id):
        """Forget a job that was never stored; nothing of it has been sent."""
        job = self.jobs.pop(job_id)
        self._dirty.discard(job_id)
        self._timed.discard(job_id)
        for step in job.iterate_steps():
            self._eligible.pop(step, None)
            for task in step.tasks:
                worker = self.workers.get(task.worker)
                if task.holds_room and worker is not None:
                    self._release(worker, task)
                    task.phase = RunPhase.WAITING
        self._last_placements = [
            placement
            for placement in self._last_placements
            if placement.task.step.job is not job
        ]

    def confirm_jobs(self, jobs):
        """Note that the rows of jobs are stored."""
        for job_id in jobs:
            job = self.jobs.get(job_id)
            if job is not None:
                self.shown.setdefault(job_id, job.state)

    def cancel_job(self, job_id):
        """Cancel a job; its runs are stopped once the rows hold that."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return
        self._finish(job, JobState.CANCELLED)

    def forget_jobs(self, retention_ms):
        """Drop jobs that ended long ago and return their ids."""
        limit = self._wall_clock_ms() - retention_ms - RETENTION_MARGIN_SECONDS * 1000
        old = [
            job_id
            for job_id, job in self.jobs.items()
            if job.ended_ms and job.ended_ms < limit and not self._holds_room(job)
        ]
        for job_id in old:
            del self.jobs[job_id]
            self.shown.pop(job_id, None)
        return old

    def count_pending(self, queue):
        """Return the number of a queue's jobs of which nothing has started."""
        return sum(
            job.spec.queue == queue
            and not job.state.is_final
            and not job.has_started
            and not job.spec.repeat_count
            for job in self.jobs.values()
        )

    # Desired state and workers

    def apply_desired(self, desired):
        """Take a newer desired state."""
        if desired.version > self.desired.version:
            self.desired = desired

    def find_rules(self, job):
        """Return the rules in force for a job's queue."""
        queue = self.desired.queues.get(job.spec.queue)
        return queue.rules if queue else job.spec.rules

    def update_workers(self, infos):
        """Take the list of workers.

        Parameters
        ----------
        infos : dict of WorkerId to WorkerInfo
        """
        for worker_id, info in infos.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = self.workers[worker_id] = Worker(info)
                self._adopt_holdings(worker)
            else:
                self._replace_info(worker, info)
            worker.is_listed = True
        for worker_id, worker in list(self.workers.items()):
            if worker_id in infos:
                continue
            worker.is_listed = False
            if not worker.runs and not worker.is_reachable:
                del self.workers[worker_id]

    def _replace_info(self, worker, info):
        before = worker.info
        for index, name in enumerate(("free_cpu", "free_memory", "free_accelerators")):
            change = info.capacity[index] - before.capacity[index]
            setattr(worker, name, getattr(worker, name) + change)
        worker.info = info
        if info.born_ms and worker.born_ms and info.born_ms > worker.born_ms:
            self._end_life(worker, info.born_ms)

    def _adopt_holdings(self, worker):
        for job in self.jobs.values():
            for step in job.iterate_steps():
                for task in step.tasks:
                    if task.holds_room and task.worker == worker.info.worker:
                        self._count_on(worker, task)
        if worker.runs:
            worker.lease_ends_at = self._clock() + FORMER_LEASE_SECONDS

    def adopt_missing_workers(self):
        """Keep a place for workers that have runs but are not listed any more."""
        for job in self.jobs.values():
            for step in job.iterate_steps():
                for task in step.tasks:
                    if task.holds_room and task.worker not in self.workers:
                        info = WorkerInfo(task.worker, "", "", "", Amounts())
                        worker = Worker(info, is_listed=False)
                        self.workers[task.worker] = worker
                        self._adopt_holdings(worker)

    def _end_life(self, worker, born_ms):
        log_event(
            Event.WORKER_REBORN,
            worker=worker.info.worker,
            born_ms=born_ms,
            runs=len(worker.runs),
        )
        worker.born_ms = born_ms
        worker.forget_life()
        self._lose_runs(worker)

    def expire_leases(self):
        """Give up the runs of workers whose leases have surely lapsed."""
        now = self._clock()
        for worker in self.workers.values():
            if worker.is_reachable or not worker.runs:
                continue
            if now > worker.lease_ends_at:
                log_event(
                    Event.LEASE_LAPSED,
                    worker=worker.info.worker,
                    runs=len(worker.runs),
                    late_seconds=round(now - worker.lease_ends_at, 3),
                )
                self._lose_runs(worker)

    def _lose_runs(self, worker):
        for task, run in list(worker.runs.values()):
            self._release(worker, task)
            if task.run == run and task.phase is not RunPhase.SUCCEEDED:
                self._requeue(task)

    def find_stalled(self):
        """Stop runs that stand still, so that they run elsewhere."""
        now = self._clock()
        for worker in self.workers.values():
            if not worker.is_reachable:
                continue
            for task, run in worker.runs.values():
                if task.run == run and is_stalled(task, worker, now):
                    task.is_stopping = True
                    note_stall(worker, task, self.workers.values(), now)

    # Answers of workers

    def apply_listing(self, worker, listing, sent_at, received_at):
        """Take what a worker says of its runs.

        Parameters
        ----------
        worker : Worker
        listing : Listing
        sent_at, received_at : float
            When the call was sent and its answer came.
        """
        if worker.born_ms and listing.born_ms > worker.born_ms:
            self._end_life(worker, listing.born_ms)
        elif listing.born_ms and listing.born_ms < worker.born_ms:
            return
        worker.born_ms = listing.born_ms
        worker.read_clock(listing.clock_ms, received_at)
        for end in listing.ended:
            if end.number > worker.seen_through:
                worker.seen_through = end.number
                self._apply_end(worker, end)
        listed = {run.task: run for run in listing.active}
        for run in listing.active:
            self._apply_active(worker, run, received_at)
        for name, (task, run) in list(worker.runs.items()):
            if name not in listed or listed[name].run < run:
                self._check_missing(worker, task, sent_at)
        if not worker.is_synchronized:
            # The fence is raised there, so a former owner grants nothing more.
            worker.limit_lease(received_at, LEASE_SECONDS)
            worker.is_synchronized = True

    def _apply_end(self, worker, end):
        self.counters[f"runs_ended_{end.end.value}"] += 1
        held = worker.runs.get(end.task)
        if held is None or held[1] != end.run:
            worker.strays.pop((end.task, end.run), None)
            return
        task = held[0]
        self._release(worker, task)
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        if task.run != end.run or task.phase is RunPhase.SUCCEEDED:
            return
        log_event(
            Event.RUN_ENDED,
            job=task.step.job.spec.job,
            task=task.name,
            run=end.run,
            worker=worker.info.worker,
            end=end.end.value,
        )
        if end.end is End.DONE and not task.step.spec.is_service:
            note_success(worker)
            self._succeed(task)
        elif end.end is End.FAILED:
            note_failure(worker, task, self.workers.values(), self._clock())
            self._fail(task)
        else:
            self._requeue(task)

    def _succeed(self, task):
        step = task.step
        # One member that ended so speaks for its gang.
        done = step.tasks if step.spec.is_gang else [task]
        for member in done:
            if member.phase is RunPhase.WAITING:
                step.waiting -= 1
            if member.phase is not RunPhase.SUCCEEDED:
                member.phase = RunPhase.SUCCEEDED
                step.succeeded += 1
        job = step.job
        job.close_finished()
        if job.is_complete():
            self._finish(job, JobState.SUCCEEDED)
        else:
            self._refresh(job)

    def _fail(self, task):
        step = task.step
        if not step.spec.is_gang:
            task.failures += 1
        elif task.run > step.failed_run:
            step.failed_run = task.run
            for member in step.tasks:
                member.failures += 1
        limit = self.find_rules(step.job).max_attempts
        if task.failures >= limit and not step.spec.is_service:
            self._requeue(task)
            self._finish(step.job, JobState.FAILED)
        else:
            self._requeue(task)

    def _requeue(self, task):
        """Let a task wait again whose run has surely ended."""
        step = task.step
        if task.phase is RunPhase.SUCCEEDED:
            return
        if task.phase is not RunPhase.WAITING:
            task.phase = RunPhase.WAITING
            step.waiting += 1
        task.worker = WorkerId("")
        task.is_sent = task.is_stopping = task.is_unanswered = False
        if step.spec.is_gang:
            # A gang that lost a member starts again as a whole.
            for member in step.tasks:
                member.is_stopping = member.holds_room
        self._refresh(step.job)

    def _apply_active(self, worker, listed, now):
        held = worker.runs.get(listed.task)
        if held is None or held[1] != listed.run:
            worker.strays.setdefault((listed.task, listed.run), 0.0)
            return
        task = held[0]
        if listed.checkpoint:
            task.checkpoint = listed.checkpoint
        if task.phase is RunPhase.ASSIGNED:
            task.phase = RunPhase.RUNNING
            task.started_at = task.started_at or now
            self._mark_started(task.step.job)
        if listed.progress > task.progress:
            task.progress, task.progressed_at = listed.progress, now

    def _check_missing(self, worker, task, sent_at):
        """Settle a run that the worker does not list."""
        if not worker.is_synchronized:
            # The list came under this owner's fence: no earlier start is carried out.
            self._settle(worker, task, "not listed after takeover")
        elif task.started_at and task.started_at < sent_at:
            self._settle(worker, task, "no longer listed")
        elif task.stopped_at and task.stopped_at < sent_at:
            self._settle(worker, task, "stopped before it started")
        elif task.is_sent and not task.started_at and task.is_unanswered:
            task.is_stopping = True

    def _settle(self, worker, task, reason):
        log_event(
            Event.RUN_SETTLED,
            job=task.step.job.spec.job,
            task=task.name,
            run=task.run,
            worker=worker.info.worker,
            reason=reason,
        )
        self._release(worker, task)
        self._requeue(task)

    # Answers to starts and stops

    def confirm_start(self, task, run, now):
        """Note that a worker accepted a start."""
        if task.run == run and task.phase is RunPhase.ASSIGNED:
            task.phase = RunPhase.RUNNING
            task.started_at = task.progressed_at = now
            self._mark_started(task.step.job)

    def reject_start(self, worker, task, run, retry_at):
        """Note that a worker refused a start: the run is not there."""
        held = worker.runs.get(task.name)
        if held is None or held[1] != run:
            return
        self._release(worker, task)
        if task.run == run:
            task.step.retry_at = max(task.step.retry_at, retry_at)
            self._requeue(task)

    def confirm_stop(self, stop, now):
        """Note that a worker took a stop; a run that was not there never will be.

        A run that was there holds its room until its end is listed.
        """
        held = stop.worker.runs.get(stop.task)
        if held is not None and held[1] == stop.run:
            # Listings asked for before this one stay of no use, so the first counts.
            held[0].stopped_at = held[0].stopped_at or now
        stop.worker.strays.pop((stop.task, stop.run), None)

    def find_stops(self):
        """Return the stops that are due, each again after a pause."""
        now = self._clock()
        stops = []
        for worker in self.workers.values():
            for task, run in worker.runs.values():
                is_answered = (
                    task.stopped_at and now - task.stopped_at < STOP_PATIENCE_SECONDS
                )
                if task.is_stopping and not is_answered:
                    stops.append(Stop(worker, task.name, run))
            stops += [Stop(worker, name, run) for name, run in worker.strays]
        due = [
            stop
            for stop in stops
            if now - self._stops_sent.get((stop.task, stop.run), -1.0)
            >= STOP_RETRY_SECONDS
        ]
        self._stops_sent = {
            key: sent
            for key, sent in self._stops_sent.items()
            if now - sent < 2 * STOP_RETRY_SECONDS
        }
        for stop in due:
            self._stops_sent[stop.task, stop.run] = now
        return due

    # Rounds

    def plan(self):
        """Place what waits; return the steps that want approval.

        The placements become starts once their batch is stored.
        """
        now, now_ms = self._clock(), self._wall_clock_ms()
        self._open_due(now_ms)
        usable = [worker for worker in self.workers.values() if worker.takes_work(now)]
        ordered = []
        for step in list(self._eligible):
            rules = self.find_rules(step.job)
            ordered.append((make_order_key(step, rules, now_ms), step, rules))
        ordered.sort(key=lambda entry: entry[0])
        current = Round(now, usable, self._find_team_room, self._take_for_team)
        place_steps(current, ordered)
        for placement in current.placements:
            self._assign(placement)
        self._last_placements += current.placements
        return current.wants_approval

    def find_unapproved(self):
        """Return the steps whose approval was never asked, in order."""
        now_ms = self._wall_clock_ms()
        found = []
        for step in self._eligible:
            rules = self.find_rules(step.job)
            if rules.needs_approval and step.approved is None:
                found.append((make_order_key(step, rules, now_ms), step))
        found.sort(key=lambda entry: entry[0])
        return [step for _, step in found]

    def _assign(self, placement):
        task, worker, ticket = placement
        step = task.step
        if step.spec.is_gang:
            run = max(member.run for member in step.tasks)
            # The first member raises the run number for all.
            run = run + 1 if task is step.tasks[0] else run
        else:
            run = task.run + 1
        task.run = run
        task.phase = RunPhase.ASSIGNED
        task.worker = worker.info.worker
        task.ticket = ticket
        task.is_sent = task.is_stopping = task.is_unanswered = False
        task.started_at = task.stopped_at = 0.0
        task.progress = -1
        step.waiting -= 1
        worker.runs[task.name] = (task, run)
        if not step.waiting:
            self._eligible.pop(step, None)
        self._dirty.add(step.job.spec.job)

    def collect(self):
        """Return the `Batch` of all changes since the last one, or None."""
        batch = Batch(placements=self._last_placements, created_at=self._clock())
        self._last_placements = []
        for job_id in self._dirty:
            job = self.jobs.get(job_id)
            if job is not None:
                batch.rows[job_id] = encode_progress(job)
                batch.states[job_id] = (job, job.state)
        self._dirty = set()
        for worker in self.workers.values():
            if worker.seen_through > worker.acked_through:
                key = worker.info.worker
                batch.acknowledged[key] = (worker.born_ms, worker.seen_through)
        return batch if batch.rows or batch.acknowledged else None

    def confirm(self, batch):
        """Note that a batch is stored; return the starts that may be sent."""
        for job_id, (job, state) in batch.states.items():
            # A job that was dropped meanwhile may have been handed in anew.
            if self.jobs.get(job_id) is job:
                self.shown[job_id] = state
        for worker_id, (born_ms, number) in batch.acknowledged.items():
            worker = self.workers.get(worker_id)
            if worker is not None and worker.born_ms == born_ms:
                worker.acked_through = max(worker.acked_through, number)
        starts = []
        is_stale = self._clock() - batch.created_at > STALE_BATCH_SECONDS
        for placement in batch.placements:
            task, worker, _ = placement
            if is_stale or task.is_stopping or not task.holds_room:
                self.reject_start(worker, task, task.run, 0.0)
                continue
            task.is_sent = True
            starts.append(placement)
        return starts

    # Inner steps

    def _open_due(self, now_ms):
        for job_id in list(self._timed):
            job = self.jobs.get(job_id)
            if job is None or job.state.is_final:
                self._timed.discard(job_id)
                continue
            spec = job.spec
            opened = job.finished_occurrences + len(job.occurrences)
            due = spec.first_run_ms + opened * spec.interval_ms
            if opened < spec.repeat_count and now_ms >= due:
                job.open_occurrence(opened)
                self._dirty.add(job_id)
                self._refresh(job)

    def _refresh(self, job):
        """Bring the set of steps that may start up to date."""
        self._dirty.add(job.spec.job)
        if job.state.is_final:
            return
        for step in job.find_eligible():
            if step not in self._eligible:
                step.eligible_at = self._clock()
                self._eligible[step] = True

    def _finish(self, job, state):
        job.state = state
        job.ended_ms = int(self._wall_clock_ms())
        self._dirty.add(job.spec.job)
        log_event(Event.JOB_ENDED, job=job.spec.job, state=state.value)
        for step in job.iterate_steps():
            self._eligible.pop(step, None)
            for task in step.tasks:
                if task.holds_room:
                    task.is_stopping = True
        if state is JobState.SUCCEEDED:
            job.occurrences.clear()

    def _mark_started(self, job):
        if not job.has_started:
            job.has_started = True
            if job.state is JobState.WAITING:
                job.state = JobState.RUNNING
                self.shown[job.spec.job] = JobState.RUNNING
            self._dirty.add(job.spec.job)

    def _hold(self, task):
        worker = self.workers.get(task.worker)
        if worker is not None:
            self._count_on(worker, task)
        self._take_for_team(task.step.job.spec.team, task.step.spec.amounts)

    def _count_on(self, worker, task):
        worker.runs[task.name] = (task, task.run)
        worker.take(task.step.spec.counted)

    def _release(self, worker, task):
        if worker.runs.pop(task.name, None) is not None:
            worker.give_back(task.step.spec.counted)
            self._take_for_team(task.step.job.spec.team, task.step.spec.amounts, -1)

    def _take_for_team(self, team, amounts, sign=1):
        used = self._used.get(team, Amounts())
        self._used[team] = used.plus(amounts, sign)

    def _find_team_room(self, team, amounts, most):
        limit = self.desired.teams.get(team, Team(team)).limit
        used = self._used.get(team, Amounts())
        for needed, allowed, taken in zip(amounts, limit, used, strict=True):
            if needed and allowed:
                most = min(most, (allowed - taken) // needed)
        return max(0, most)

    def _holds_room(self, job):
        return any(
            task.holds_room for step in job.iterate_steps() for task in step.tasks
        )
